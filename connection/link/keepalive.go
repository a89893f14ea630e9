package link

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// readActivity measures the time since the last read from a connection.
type readActivity struct {
	started time.Time
	// lastRead is the time of the last read, in nanoseconds after started.
	lastRead atomic.Int64
}

func (a *readActivity) touch() { a.lastRead.Store(int64(time.Since(a.started))) }

// idle returns the time since the last read.
func (a *readActivity) idle() time.Duration {
	return time.Since(a.started) - time.Duration(a.lastRead.Load())
}

// idleKeepAliveInterval replaces keepAliveInterval while no stream is open.
const idleKeepAliveInterval = 5 * keepAliveInterval

// keepSessionAlive pings the peer when nothing was read for keepAliveInterval while a
// stream is open, or for idleKeepAliveInterval otherwise. It closes the session when a
// ping is not answered in time.
//
// Without it, a connection that is cut without notice makes every call run into its
// timeout until the kernel gives up after many minutes. A call on a connection that was
// cut while idle leaves its stream open, so the connection is pinged within
// keepAliveInterval. The keep-alive of yamux is disabled because it pings from both ends
// even while messages are exchanged: that was more than half of the packets of a relay
// of digests.
func keepSessionAlive(session *yamux.Session, conn *coalescingConn) {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	for {
		select {
		case <-session.CloseChan():
			return
		case <-timer.C:
		}
		conn.flushStale()
		limit := keepAliveInterval
		if session.NumStreams() == 0 {
			limit = idleKeepAliveInterval
		}
		if conn.readActivity.idle() >= limit {
			if _, err := session.Ping(); err != nil {
				session.Close()
				return
			}
		}
		wait := keepAliveInterval - conn.readActivity.idle()
		if wait <= 0 {
			wait = keepAliveInterval
		}
		timer.Reset(wait)
	}
}
