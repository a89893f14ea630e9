package link

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// silence measures how long nothing was read from a connection.
type silence struct {
	begun time.Time
	// read is the time of the last read, in nanoseconds after begun.
	read atomic.Int64
}

func (s *silence) heard() { s.read.Store(int64(time.Since(s.begun))) }

func (s *silence) lasts() time.Duration { return time.Since(s.begun) - time.Duration(s.read.Load()) }

// idleAlive is keepAlive where no call waits for anything.
const idleAlive = 5 * keepAlive

// keepSession asks the other end for a sign of life once it was silent for
// keepAlive while a call waits, or for idleAlive, and ends the session without an
// answer.
//
// It guards against a connection that is cut silently: callers would see each
// call run into its timeout until the kernel gives up, after many minutes. It
// holds because every answer is a read, a ping has a time limit, and the first
// call on an idle connection that was cut has it pinged within keepAlive: a
// stream that the other end did not close stays open. The library's own
// keep-alive pings from both ends even while messages pass, which was more than
// half of the packets of a relay of digests.
func keepSession(session *yamux.Session, conn *gathering) {
	timer := time.NewTimer(keepAlive)
	defer timer.Stop()
	for {
		select {
		case <-session.CloseChan():
			return
		case <-timer.C:
		}
		conn.flushOld()
		limit := keepAlive
		if session.NumStreams() == 0 {
			limit = idleAlive
		}
		if conn.silence.lasts() >= limit {
			if _, err := session.Ping(); err != nil {
				session.Close()
				return
			}
		}
		wait := keepAlive - conn.silence.lasts()
		if wait <= 0 {
			wait = keepAlive
		}
		timer.Reset(wait)
	}
}
