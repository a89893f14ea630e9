package spreadlink

import (
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

// progress tracks whether an update is being received or applied.
type progress struct {
	// stream is the current stream; nil between streams.
	stream link.Stream
	target spread.Target
	// received is the byte count at the previous call of checkProgress.
	received uint64
	// applying is true while an update is applied; nothing is read meanwhile.
	applying bool
}

// trackStream records the current stream until the returned function is called.
func (w *Watcher) trackStream(stream link.Stream, target spread.Target) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = progress{stream: stream, target: target}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.progress.stream = nil
	}
}

// checkProgress returns the target of the current stream and reports whether bytes
// arrived since the previous call or an update is being applied.
func (w *Watcher) checkProgress() (spread.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &w.progress
	if p.stream == nil {
		return spread.Target{}, false
	}
	received := p.stream.BytesReceived()
	active := received > p.received || p.applying
	p.received = received
	return p.target, active
}

func (w *Watcher) setApplying(applying bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress.applying = applying
}
