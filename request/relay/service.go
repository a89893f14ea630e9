package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/service"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// maxServiceBuffer is the number of bytes of a service's answer that are read before the first
// one is sent to the caller, so that an answer interrupted before that can be retried.
const maxServiceBuffer = 256 << 10

// serviceJob handles a request for a plain service.
type serviceJob struct {
	relay    *Relay
	req      *request
	q        *caller.Service
	rw       *caller.ResponseWriter
	recorder *answerRecorder
}

var _ job = (*serviceJob)(nil)

// Service handles a request for a plain service. It returns a typed error if it could not be
// answered.
func (r *Relay) Service(ctx context.Context, q *caller.Service, rw *caller.ResponseWriter) error {
	req := newRequest(&q.Meta)
	j := &serviceJob{relay: r, req: req, q: q, rw: rw}
	arrival := policy.Arrival{
		Class: q.Class, Team: q.Team, Target: q.Target, Digest: Digest(q.Team, q.Path, q.Body),
		PromptTokens: 1, Deadline: q.Deadline,
		Idempotent: j.idempotent(),
	}
	return r.serve(ctx, req, &q.Meta, rw, func(recorder *answerRecorder) error {
		j.recorder = recorder
		return r.run(ctx, req, arrival, j)
	})
}

func (j *serviceJob) idempotent() bool {
	return j.q.Key == "" && (j.q.Method == http.MethodGet || j.q.Method == http.MethodHead)
}

func (j *serviceJob) begun() bool       { return j.rw.HeaderWritten() }
func (j *serviceJob) continuable() bool { return false }

func (j *serviceJob) prepare(context.Context, policy.Start) error { return nil }

func (j *serviceJob) attempt(ctx context.Context, att *upstreamAttempt) error {
	resp, err := j.relay.Services.Do(ctx, service.Call{
		Address: att.server.GetAddress(), Method: j.q.Method, URI: j.q.URI, Header: j.q.Header, Body: j.q.Body,
		RequestID: att.upstreamID, Attempt: att.state, NonIdempotent: !j.idempotent(),
	})
	if err != nil {
		return j.probeServer(ctx, att, err)
	}
	defer resp.Body.Close()
	j.req.framing, j.req.stated = upstream.FramingOf(resp), resp.ContentLength
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return j.forwardResponse(att, resp, nil)
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBuffer))
	j.req.read = int64(len(head))
	if err != nil {
		return j.probeServer(ctx, att, err)
	}
	if status := upstream.NewStatusError(resp.StatusCode, resp.Header, head); status.NotRun {
		return status
	}
	return j.forwardResponse(att, resp, head)
}

// errConnectionBroken is returned for a connection that broke while its server is alive.
var errConnectionBroken = errors.New("connection broke, but the service still accepts connections")

// probeServer distinguishes a crashed service from a broken connection, so that a request
// becomes a suspect only after an actual crash.
func (j *serviceJob) probeServer(ctx context.Context, att *upstreamAttempt, err error) error {
	return probeServer(ctx, j.relay.Services, att, err)
}

// prober reports whether a server accepts connections.
type prober interface {
	Reachable(ctx context.Context, address string) bool
}

// probeServer returns errConnectionBroken if err looks like a crash but the server still
// accepts connections, else err.
func probeServer(ctx context.Context, p prober, att *upstreamAttempt, err error) error {
	if upstream.IsConnectionError(err) && att.state.Written() && p.Reachable(ctx, att.server.GetAddress()) {
		return errConnectionBroken
	}
	return err
}

// forwardResponse writes the response: the head that was already read, then the rest of the
// body.
func (j *serviceJob) forwardResponse(att *upstreamAttempt, resp *http.Response, head []byte) error {
	if j.req.pastDeadline() {
		return context.DeadlineExceeded
	}
	j.req.record.Answered()
	j.req.addToken(j.relay.mailbox)
	j.relay.Counter.FirstToken(j.q.Class, time.Since(j.req.arrived))
	j.copyHeader(resp.Header)
	if j.req.framing == upstream.Unframed {
		j.rw.EndWithConnection()
	}
	j.recorder.begin(resp.StatusCode, resp.Header.Get("Content-Type"), j.req.framing)
	j.rw.WriteHeader(resp.StatusCode, "", att.start.Server)
	if err := j.write(head); err != nil {
		return err
	}
	if len(head) > 0 && len(head) < maxServiceBuffer {
		return nil
	}
	return j.copyRest(resp.Body)
}

// copyHeader copies the service's headers, except those that lilacbridge sets itself.
func (j *serviceJob) copyHeader(from http.Header) {
	to := j.rw.Header()
	kept := make(http.Header)
	for _, key := range []string{"X-Request-Id", "X-Lilac-Instance"} {
		kept[key] = to[key]
	}
	service.CopyHeader(to, from)
	for key, values := range kept {
		to[key] = values
	}
}

func (j *serviceJob) copyRest(body io.Reader) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		j.req.read += int64(n)
		if n > 0 {
			if err := j.write(buffer[:n]); err != nil {
				return err
			}
			if err := j.rw.Flush(); err != nil && !j.req.claimed {
				return fmt.Errorf("%w: %w", errCallerGone, err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (j *serviceJob) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	j.recorder.write(b)
	if _, err := j.rw.Write(b); err != nil && !j.req.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}
