package stateclient

import (
	"errors"
	"io"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// downPeriod is how long a process that did not answer is skipped.
const downPeriod = 2 * time.Second

// health tracks, by address, the state processes that did not answer.
//
// A disconnected or frozen process would otherwise delay every call by the full timeout.
// After the first timeout the process is skipped for downPeriod, and then probed by one
// call at a time.
type health struct{ down map[string]*outage }

type outage struct {
	retryAt time.Time
	probing bool
}

func newHealth() health { return health{down: make(map[string]*outage)} }

// allow reports whether a call may go to the address now; recordResult must follow.
func (h health) allow(now time.Time, address string) bool {
	o, down := h.down[address]
	if !down {
		return true
	}
	if o.probing || now.Before(o.retryAt) {
		return false
	}
	o.probing = true
	return true
}

// recordResult records the result of a call that was allowed. contextDone is true if the
// caller's context has ended.
func (h health) recordResult(now time.Time, address string, err error, contextDone bool) {
	switch {
	case !noAnswer(err):
		delete(h.down, address)
	case contextDone:
		// The process may still be answering.
		if o, down := h.down[address]; down {
			o.probing = false
		}
	default:
		h.down[address] = &outage{retryAt: now.Add(downPeriod)}
	}
}

// noAnswer reports whether err is a timeout or a connection failure rather than an error
// that the process returned.
func noAnswer(err error) bool {
	return fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT) || errors.Is(err, link.ErrNotSent) || errors.Is(err, io.ErrUnexpectedEOF)
}
