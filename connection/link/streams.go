package link

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// openStreams is the set of streams of one session that may be read or written.
//
// Between the end of a session and the close of its connection, pending reads of yamux
// streams spin without a pause. On a single CPU they may keep the goroutines of the
// connection from ending, for which its Close waits. So all streams are aborted before the
// connection is closed.
type openStreams struct {
	mu     sync.Mutex
	all    map[*yamux.Stream]struct{}
	closed bool
}

// add registers a stream that was opened or accepted.
func (s *openStreams) add(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		abortStream(stream)
		return
	}
	if s.all == nil {
		s.all = make(map[*yamux.Stream]struct{})
	}
	s.all[stream] = struct{}{}
}

// remove unregisters a stream whose call has ended. It also ends a read that still waits
// for the peer to close the stream.
func (s *openStreams) remove(stream *yamux.Stream) {
	abortStream(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, stream)
}

// abortAll aborts all streams, including those that are added later.
func (s *openStreams) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for stream := range s.all {
		abortStream(stream)
	}
	s.all = nil
}

// abortStream fails all pending and later reads and writes of the stream.
func abortStream(stream *yamux.Stream) {
	// SetDeadline fails only on a stream that has ended.
	_ = stream.SetDeadline(time.Unix(1, 0))
}
