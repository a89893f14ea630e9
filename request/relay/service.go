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

// wholeBytes is the largest answer of a service that is read whole before its
// first byte goes to the caller, so that a broken one can be tried again.
const wholeBytes = 256 << 10

// serviceJob is a request for a plain service on its way.
type serviceJob struct {
	relay  *Relay
	flight *flight
	q      *caller.Service
	answer *caller.ResponseWriter
	copied *copied
}

var _ job = (*serviceJob)(nil)

// Service answers a request for a plain service.
func (r *Relay) Service(ctx context.Context, q *caller.Service, answer *caller.ResponseWriter) error {
	f := newFlight(&q.Meta)
	j := &serviceJob{relay: r, flight: f, q: q, answer: answer}
	arrival := policy.Arrival{
		Class: q.Class, Team: q.Team, Target: q.Target, Digest: Digest(q.Team, q.Path, q.Body),
		PromptTokens: 1, Deadline: q.Deadline,
		Idempotent: j.idempotent(),
	}
	return r.carry(ctx, f, &q.Meta, answer, func(keep *copied) error {
		j.copied = keep
		return r.run(ctx, f, arrival, j)
	})
}

func (j *serviceJob) idempotent() bool {
	return j.q.Key == "" && (j.q.Method == http.MethodGet || j.q.Method == http.MethodHead)
}

func (j *serviceJob) begun() bool       { return j.answer.HeaderWritten() }
func (j *serviceJob) continuable() bool { return false }

func (j *serviceJob) try(ctx context.Context, t *try) error {
	resp, err := j.relay.Services.Do(ctx, service.Call{
		Address: t.server.GetAddress(), Method: j.q.Method, URI: j.q.URI, Header: j.q.Header, Body: j.q.Body,
		RequestID: t.upstreamID, Attempt: t.attempt, NonIdempotent: !j.idempotent(),
	})
	if err != nil {
		return j.probed(ctx, t, err)
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return j.passOn(t, resp, nil)
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, wholeBytes))
	if err != nil {
		return j.probed(ctx, t, err)
	}
	if status := upstream.NewStatusError(resp.StatusCode, resp.Header, head); status.NotRun {
		return status
	}
	return j.passOn(t, resp, head)
}

// errCutLive is the error of a connection that broke while its server lives.
var errCutLive = errors.New("the connection broke, but the service still accepts others")

// probed tells a crashed service from a broken connection, so that a request is
// suspected of a crash only where there was one.
func (j *serviceJob) probed(ctx context.Context, t *try, err error) error { return probed(ctx, t, err) }

func probed(ctx context.Context, t *try, err error) error {
	if upstream.IsConnectionError(err) && t.attempt.Written() && upstream.Reachable(ctx, t.server.GetAddress()) {
		return errCutLive
	}
	return err
}

// passOn writes the head that was read and the rest.
func (j *serviceJob) passOn(t *try, resp *http.Response, head []byte) error {
	if j.flight.late() {
		return context.DeadlineExceeded
	}
	j.flight.record.Answered()
	j.flight.grow(j.relay.box)
	j.relay.Counter.FirstToken(j.q.Class, time.Since(j.flight.arrived))
	j.copyHeader(resp.Header)
	j.copied.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	j.answer.WriteHeader(resp.StatusCode, "", t.start.Server)
	if err := j.write(head); err != nil {
		return err
	}
	if len(head) > 0 && len(head) < wholeBytes {
		return nil
	}
	return j.copyRest(resp.Body)
}

// copyHeader keeps lilacbridge's own headers, whatever the service sends.
func (j *serviceJob) copyHeader(from http.Header) {
	to := j.answer.Header()
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
		if n > 0 {
			if err := j.write(buffer[:n]); err != nil {
				return err
			}
			if err := j.answer.Flush(); err != nil && !j.flight.claimed {
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
	j.copied.write(b)
	if _, err := j.answer.Write(b); err != nil && !j.flight.claimed {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}
