package relay

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/logs"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

const (
	// slowAfter is how long a write to a caller may take before the caller counts as slow. It
	// is well below the time after which a server cuts off an answer that nobody reads.
	slowAfter = 200 * time.Millisecond
	// slowScanInterval is the pause between two scans for slow callers.
	slowScanInterval = 100 * time.Millisecond
)

// slowCaller is the way to a caller that may read slowly.
type slowCaller struct {
	rw   *gateway.ResponseWriter
	hold *holding.Hold
	// blocked is whether the hold counts the caller as one that doesn't read; used only by the
	// core's goroutine.
	blocked bool

	// mu guards the fields below. It is taken after request.mu.
	mu     sync.Mutex
	stream *stream
	cause  error
}

// begin states which stream is being sent; nil if none is.
func (s *slowCaller) begin(events *stream) {
	if s.hold == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream = events
}

// end ends the answer: a write that has blocked fails.
func (s *slowCaller) end(cause error) {
	s.mu.Lock()
	s.cause = cause
	s.mu.Unlock()
	s.rw.Interrupt()
}

// ended returns the cause given to end; nil before it.
func (s *slowCaller) ended() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// scan has the stream read on if its caller is slow.
func (s *slowCaller) scan(now time.Time) {
	since := s.rw.BlockedSince()
	blocked := !since.IsZero() && now.Sub(since) >= slowAfter
	if blocked != s.blocked {
		s.blocked = blocked
		if !blocked {
			since = time.Time{}
		}
		s.hold.SetBlocked(since)
	}
	if !blocked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream != nil {
		s.stream.startReadOn()
	}
}

// readOnForSlow has the streams of callers that don't read go on reading from their servers.
func (r *Relay) readOnForSlow(now time.Time) {
	if r.Holdings == nil || now.Sub(r.mailbox.lastSlowScan) < slowScanInterval {
		return
	}
	r.mailbox.lastSlowScan = now
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, req := range r.requests {
		if req.slow != nil && req.slow.hold != nil {
			req.slow.scan(now)
		}
	}
}

// The states of a stream's reader.
const (
	// readerIdle: the request's goroutine reads.
	readerIdle int32 = iota
	// readerWriting: the request's goroutine writes to the caller.
	readerWriting
	// readerOn: a goroutine of its own reads on.
	readerOn
)

// stream is an event stream of a backend server. The request's goroutine reads it until a
// write to the caller has blocked; from then on a goroutine of its own does and queues the
// events.
type stream struct {
	job    *forwardJob
	start  policy.Start
	resp   *gateway.Response
	reader eventReader
	tokens int
	// running is true once an event has come. It and reader belong to the goroutine that
	// reads.
	running bool
	state   atomic.Int32
	// readOn is true once the request's goroutine takes events from the queue.
	readOn bool
	done   chan struct{}

	// mu guards the fields below; changed is signaled with each change of them.
	mu      sync.Mutex
	changed *sync.Cond
	queue   [][]byte
	// drained is true while the request's goroutine waits for an event.
	drained bool
	// err is the end of the stream, after the queued events.
	err    error
	closed bool
}

func (s *stream) beginWrite() { s.state.CompareAndSwap(readerIdle, readerWriting) }

func (s *stream) endWrite() {
	if !s.readOn && !s.state.CompareAndSwap(readerWriting, readerIdle) {
		s.readOn = true
	}
}

// startReadOn starts the goroutine that reads on, if the stream is being written.
func (s *stream) startReadOn() {
	if s.state.Load() != readerWriting {
		return
	}
	s.changed, s.done = sync.NewCond(&s.mu), make(chan struct{})
	if s.state.CompareAndSwap(readerWriting, readerOn) {
		go s.readAhead()
	}
}

// read reads the next event from the server.
func (s *stream) read() ([]byte, error) {
	event, err := s.reader.next()
	if len(event) > 0 && !s.running {
		s.running = true
		s.job.reportRun()
	}
	return event, err
}

// readAhead reads the rest of the stream into the queue.
func (s *stream) readAhead() {
	defer close(s.done)
	// The event that is being written stays in the old slice.
	s.reader.event = nil
	for {
		event, err := s.read()
		if len(event) > 0 && (err == nil || err == io.EOF) {
			s.job.reportTokens(s.tokens)
			if !s.push(event) {
				return
			}
		}
		if err != nil {
			s.endOfStream(err)
			return
		}
	}
}

// push queues an event once there is room for it, or once the caller has read all others. It
// returns false if the stream is closed.
func (s *stream) push(event []byte) bool {
	size := int64(len(event))
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && !s.job.q.Hold.Take(holding.Unread, size) {
		if s.drained {
			s.job.q.Hold.Force(holding.Unread, size)
			break
		}
		s.changed.Wait()
	}
	s.drained = false
	s.queue = append(s.queue, append([]byte(nil), event...))
	s.changed.Signal()
	return !s.closed
}

func (s *stream) endOfStream(err error) {
	if err == io.EOF && s.endsWhole() {
		s.job.relay.postFinished(s.job.req, s.start)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	s.changed.Signal()
}

// endsWhole reports whether the regular end of the stream will end the answer.
func (s *stream) endsWhole() bool {
	return s.job.req.framing != upstream.Unframed || s.job.rw.Unframed()
}

// next returns the next event. The slice is valid until the next call.
func (s *stream) next() ([]byte, error) {
	if !s.readOn {
		return s.read()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && s.err == nil {
		s.drained = true
		s.changed.Signal()
		s.changed.Wait()
	}
	if len(s.queue) == 0 {
		return nil, s.err
	}
	event := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	return event, nil
}

// written returns the room of an event that was sent.
func (s *stream) written(event []byte) {
	s.job.q.Hold.Free(holding.Unread, int64(len(event)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Signal()
}

// close ends reading on and returns the room of what is left.
func (s *stream) close() {
	if s.state.Load() != readerOn {
		return
	}
	s.mu.Lock()
	s.closed = true
	s.changed.Broadcast()
	s.mu.Unlock()
	s.resp.Body.Close()
	<-s.done
	for _, event := range s.queue {
		s.job.q.Hold.Free(holding.Unread, int64(len(event)))
	}
}

// mayDeliverHeld returns an error if an event that was read on may not be sent. What was read
// is delivered although its attempt has ended, since the next one goes on after it, and the
// rest of a complete answer also after the deadline.
func (j *forwardJob) mayDeliverHeld(ctx context.Context, events *stream) error {
	if cause := j.slow.ended(); cause != nil {
		return cause
	}
	switch {
	case errors.Is(j.ctx.Err(), context.Canceled):
		return errCallerGone
	case !j.req.finished.Load() && j.req.pastDeadline():
		return context.DeadlineExceeded
	case !j.req.deadline.IsZero() && time.Since(j.req.deadline) > j.relay.UnreadTimeout:
		j.relay.logGivenUp(j.req, "late", j.slow.hold)
		return context.DeadlineExceeded
	}
	return nil
}

// callerGone returns the error of a write to the caller that failed, and logs the end of an
// answer that was not read.
func (j *forwardJob) callerGone(err error) error {
	cause := j.slow.ended()
	switch {
	case errors.Is(cause, errGivenUp):
		j.relay.logGivenUp(j.req, "room", j.q.Hold)
	case errors.Is(cause, errDrainExpired):
		j.relay.logGivenUp(j.req, "drain", j.q.Hold)
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.relay.logGivenUp(j.req, "unread", j.q.Hold)
	}
	if cause != nil {
		return cause
	}
	return errCallerGone
}

// logGivenUp logs and counts an answer that ends although the server has made it.
func (r *Relay) logGivenUp(req *request, reason string, hold *holding.Hold) {
	r.Counter.GivenUp(reason)
	held, owner := hold.Held(), hold.Owner()
	r.Log.Line(logs.Failure, "answer given up", "request", req.requestID, "class", req.class, "team", req.team, "caller", owner.Caller,
		"reason", reason, "unread_bytes", held[holding.Unread], "answer_bytes", held[holding.Answer], "body_bytes", held[holding.Body],
		"after", req.lastEvent, "tokens", req.tokens.Load(), "after_ms", time.Since(req.arrived).Milliseconds())
}
