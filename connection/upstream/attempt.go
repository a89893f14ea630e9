package upstream

import (
	"errors"
	"net"
	"sync/atomic"
)

// ErrAbandoned is the error of a write that came after its attempt was abandoned.
var ErrAbandoned = errors.New("attempt was abandoned before its first byte was written")

const (
	unsent int32 = iota
	written
	abandoned
)

// Attempt is one attempt to run a request on one backend server. Its state changes once,
// from unsent to written or to abandoned. Its methods are safe for concurrent use.
type Attempt struct {
	// OnWrite is called once, just before the first byte may be written; may be nil.
	OnWrite func()
	state   atomic.Int32
	// forwarder is the instance that forwards the connection; nil for none. It is set before the
	// first write.
	forwarder atomic.Pointer[string]
	// use is the use of a connection by the attempt; nil for none. It is set before the first write.
	use atomic.Pointer[Use]
}

// Use is one use of a connection, by one call.
type Use struct {
	// Connection is the number of the connection in this process, counted from 1. Number is how
	// many calls have used it, including this one.
	Connection, Number uint64
}

// Use returns the use of a connection by the attempt; zero before it has one.
func (a *Attempt) Use() Use {
	if use := a.use.Load(); use != nil {
		return *use
	}
	return Use{}
}

// Forwarder returns the name of the instance that forwards the attempt's connection; empty for
// a direct one.
func (a *Attempt) Forwarder() string {
	if name := a.forwarder.Load(); name != nil {
		return *name
	}
	return ""
}

// connect records the connection that the attempt uses.
func (a *Attempt) connect(conn net.Conn, use Use) {
	a.use.Store(&use)
	if forwarded, ok := conn.(interface{ Forwarder() string }); ok {
		name := forwarded.Forwarder()
		a.forwarder.Store(&name)
	}
}

// Abandon prevents later writes if none has begun, and reports whether none of the
// attempt's bytes was written.
//
// net/http reports an ended context before its writer goroutine has noticed it, so that
// the request may still be written and run after its caller was told that it did not run.
// The writer must therefore first change the state from unsent to written, which fails
// for an abandoned attempt.
func (a *Attempt) Abandon() bool {
	return a.state.CompareAndSwap(unsent, abandoned) || a.state.Load() == abandoned
}

// Written reports whether a byte may have been written.
func (a *Attempt) Written() bool { return a.state.Load() == written }

// beginWrite marks the attempt as written and reports whether the write may proceed.
func (a *Attempt) beginWrite() bool {
	if a.state.CompareAndSwap(unsent, written) {
		if a.OnWrite != nil {
			a.OnWrite()
		}
		return true
	}
	return a.state.Load() == written
}
