package spreadlink

import (
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

// progress tells whether an update is arriving or being brought into force.
type progress struct {
	// stream is received at present; nil between two streams.
	stream link.Stream
	from   spread.Target
	// received is how many bytes had come at the last look.
	received uint64
	// applying is true while an update is brought into force: nothing is read then.
	applying bool
}

// receiveFrom notes the stream that is received until the returned function is called.
func (w *Watcher) receiveFrom(stream link.Stream, from spread.Target) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = progress{stream: stream, from: from}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.progress.stream = nil
	}
}

// receives tells whether bytes came since the last look, or an update is brought into
// force, and from whom.
func (w *Watcher) receives() (spread.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &w.progress
	if p.stream == nil {
		return spread.Target{}, false
	}
	received := p.stream.BytesReceived()
	more := received > p.received || p.applying
	p.received = received
	return p.from, more
}

func (w *Watcher) setApplying(applying bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.applying = applying
}
