package stateclient

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// downMemory is how long a process that gave no answer is passed over.
const downMemory = 2 * time.Second

// health remembers which state processes gave no answer.
//
// It guards against a cut-off or frozen process that holds every call up for
// the whole timeout: callers would see each request hang before it is refused.
// It holds because after the first timeout the process is passed over, and then
// tried again by one call at a time.
type health struct {
	mu   sync.Mutex
	down map[string]*outage
}

type outage struct {
	until   time.Time
	probing bool
}

func newHealth() *health { return &health{down: make(map[string]*outage)} }

// admit tells whether a call may go to the address now; settle must follow.
func (h *health) admit(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, down := h.down[address]
	if !down {
		return true
	}
	if o.probing || time.Now().Before(o.until) {
		return false
	}
	o.probing = true
	return true
}

// settle notes how an admitted call ended.
func (h *health) settle(ctx context.Context, address string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !noAnswer(err):
		delete(h.down, address)
	case ctx.Err() != nil:
		// The caller's own time was over: that says nothing of the process.
		if o, down := h.down[address]; down {
			o.probing = false
		}
	default:
		h.down[address] = &outage{until: time.Now().Add(downMemory)}
	}
}

// noAnswer tells silence and broken connections from errors that the process
// itself answered with.
func noAnswer(err error) bool {
	return fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT) || errors.Is(err, link.ErrNotSent) || errors.Is(err, io.ErrUnexpectedEOF)
}

// callInTime is Call, but returns when ctx ends even while the caller still
// dials, which it may do longer.
func callInTime(ctx context.Context, caller link.Caller, method string, req, resp proto.Message) error {
	sent := proto.Clone(req)
	got := resp.ProtoReflect().New().Interface()
	done := make(chan error, 1)
	go func() { done <- caller.Call(ctx, method, sent, got) }()
	select {
	case err := <-done:
		if err == nil {
			proto.Reset(resp)
			proto.Merge(resp, got)
		}
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "no answer in time")
	}
}
