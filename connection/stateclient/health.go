package stateclient

import (
	"errors"
	"io"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// downMemory is how long a process that gave no answer is passed over.
const downMemory = 2 * time.Second

// health remembers, by address, which state processes gave no answer.
//
// It guards against a cut-off or frozen process that holds every call up for
// the whole timeout: callers would see each request hang before it is refused.
// It holds because after the first timeout the process is passed over, and then
// tried again by one call at a time.
type health struct{ down map[string]*outage }

type outage struct {
	until   time.Time
	probing bool
}

func newHealth() health { return health{down: make(map[string]*outage)} }

// admit tells whether a call may go to the address now; settle must follow.
func (h health) admit(now time.Time, address string) bool {
	o, down := h.down[address]
	if !down {
		return true
	}
	if o.probing || now.Before(o.until) {
		return false
	}
	o.probing = true
	return true
}

// settle notes how an admitted call ended; over tells that the caller's own time
// has.
func (h health) settle(now time.Time, address string, err error, over bool) {
	switch {
	case !noAnswer(err):
		delete(h.down, address)
	case over:
		// That says nothing of the process.
		if o, down := h.down[address]; down {
			o.probing = false
		}
	default:
		h.down[address] = &outage{until: now.Add(downMemory)}
	}
}

// noAnswer tells silence and broken connections from errors that the process
// itself answered with.
func noAnswer(err error) bool {
	return fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT) || errors.Is(err, link.ErrNotSent) || errors.Is(err, io.ErrUnexpectedEOF)
}
