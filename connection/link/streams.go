package link

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// openStreams are the streams of one session that may be read or written.
//
// Between the end of a session and that of its connection, yamux has reads that wait go
// round without a pause. On one processor they may keep the connection's own goroutines
// from ending, for which its Close waits. So all streams are given up before the connection
// is closed.
type openStreams struct {
	mu    sync.Mutex
	all   map[*yamux.Stream]struct{}
	ended bool
}

// add notes a stream that was opened or accepted.
func (s *openStreams) add(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		giveUp(stream)
		return
	}
	if s.all == nil {
		s.all = make(map[*yamux.Stream]struct{})
	}
	s.all[stream] = struct{}{}
}

// remove forgets a stream whose call has ended. A read may still wait for the other end to
// close the stream: it ends too.
func (s *openStreams) remove(stream *yamux.Stream) {
	giveUp(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, stream)
}

// end gives all streams up, later ones too.
func (s *openStreams) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.all {
		giveUp(stream)
	}
	s.all = nil
}

// giveUp ends the stream's reads and writes, present and later ones.
func giveUp(stream *yamux.Stream) {
	// A stream fails to take a deadline only if it has ended.
	_ = stream.SetDeadline(time.Unix(1, 0))
}
