package upstream

import (
	"errors"
	"sync/atomic"
)

// ErrAbandoned is the error of a write that came after its attempt was sealed.
var ErrAbandoned = errors.New("attempt was given up before its first byte")

const (
	fresh int32 = iota
	written
	sealed
)

// Attempt is one try at one backend server. It moves from fresh to written or
// to sealed, and never back.
type Attempt struct {
	// OnWrite is called once, just before the first byte may go out; may be nil.
	OnWrite func()
	state   atomic.Int32
}

// Abandon gives the attempt up and reports whether none of its bytes was written.
//
// It guards against a refusal that says "not run" while the HTTP library's own
// goroutine is still about to write: the library reports an ended context
// before its writer has looked. It shows as a request that ran although its
// caller was told otherwise. It holds because the writer must first move the
// same word from fresh to written, and a sealed attempt fails that.
func (a *Attempt) Abandon() bool {
	return a.state.CompareAndSwap(fresh, sealed) || a.state.Load() == sealed
}

// Written reports whether a byte may have been written.
func (a *Attempt) Written() bool { return a.state.Load() == written }

func (a *Attempt) mayWrite() bool {
	if a.state.CompareAndSwap(fresh, written) {
		if a.OnWrite != nil {
			a.OnWrite()
		}
		return true
	}
	return a.state.Load() == written
}
