package relay

import (
	"context"
	"math/rand/v2"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/originlink"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// Origins remembers at which service and software version streams began that their callers may
// resume at any instance. Its methods are called concurrently.
type Origins interface {
	// Record holds where the stream of the caller's attempt begins, for as long as ttl.
	// onlyService is set if the route has no other service. number counts the instance's own
	// attempts at servers. After an error the stream must not begin there. It waits for other
	// instances only if they may hold another origin of the attempt.
	Record(ctx context.Context, attempt string, origin streamorigin.Origin, onlyService bool, number int, ttl time.Duration) error
	// Find returns where the stream of the caller's attempt began; see originlink.Link.
	Find(ctx context.Context, attempt, service string) originlink.Finding
	// Ended tells that the answer of the attempt is complete.
	Ended(attempt string)
	// MayBegin reports whether streams of the service may begin that callers may resume at other
	// instances.
	MayBegin(service string) bool
}

const (
	// lateResumption is how long after its time limit a caller may still resume a stream, since
	// clocks and networks differ.
	lateResumption = time.Second
	// unknownOriginRetryAfter is the minimum Retry-After if no instance knows where a stream
	// began; those that do may be reached by then.
	unknownOriginRetryAfter = time.Second
	// unconfirmedRetryAfter is the minimum Retry-After if this instance is cut off from the state
	// processes; the caller may reach another one.
	unconfirmedRetryAfter = time.Second
)

// checkVersionsConfirmed returns an error if streams that callers may resume must not begin here,
// since this instance has not heard of new software versions for too long.
func (r *Relay) checkVersionsConfirmed(q *gateway.Request, req *request) error {
	if r.Origins == nil || !q.Route.Resumable || resumesStream(q) || r.Origins.MayBegin(req.target) {
		return nil
	}
	r.Counter.VersionsTooOld()
	return notResumed(req, unconfirmedRetryAfter, "this instance has been cut off from the state processes for too long to begin streams that may be resumed; send the request again after Retry-After")
}

// resumesStream reports whether the caller has a part of a stream that a server can go on with.
func resumesStream(q *gateway.Request) bool { return q.Route.Resumable && q.LastEvent != "" }

// hasOnlyService reports whether the request's route has one service, so that its only version may be
// inferred.
func hasOnlyService(q *gateway.Request) bool { return len(q.Route.Backends) == 1 }

// bindToOrigin limits a request that resumes a stream to the service and software version at
// which the stream began. The error states that the request did not run.
func (r *Relay) bindToOrigin(ctx context.Context, q *gateway.Request, req *request, arrival *policy.Arrival) error {
	service := ""
	if hasOnlyService(q) {
		service = q.Route.Backends[0].Service
	}
	finding := r.Origins.Find(ctx, q.Resumes, service)
	r.Counter.StreamResumed(string(finding.Source), string(finding.Doubt))
	r.logResumed(req, finding)
	if finding.Source == originlink.Unknown {
		return notResumed(req, unknownOriginRetryAfter, "no instance that answers knows at which software version the stream began; resume after Retry-After, or start again without Last-Event-Id")
	}
	if !q.Route.Allows(finding.Origin.Service) {
		return notResumed(req, unknownOriginRetryAfter, "the route no longer has the service at which the stream began; start again without Last-Event-Id")
	}
	req.target, arrival.Target = finding.Origin.Service, finding.Origin.Service
	arrival.Resumed, arrival.Version = true, finding.Origin.Version
	return nil
}

func notResumed(req *request, after time.Duration, message string) error {
	return req.record.Error(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, message, fault.WithRetryAfter(after+rand.N(after/2)))
}

// errOtherVersion is returned for an attempt at another software version than that of the answer.
var errOtherVersion = fault.New(lilacv1.ErrorKind_ERROR_KIND_BROKEN_STREAM, "the answer can't go on at another software version; resume it, or start again without Last-Event-Id")

// bindVersion records the software version of what the caller has of the answer.
func (j *forwardJob) bindVersion(version string) {
	if !j.bound {
		j.version, j.bound = version, true
	}
}

// prepare records where the stream begins if the attempt at the server is the one that brings the
// first event. Copies are then with other instances before the first event can leave this one.
func (j *forwardJob) prepare(ctx context.Context, start policy.Start) error {
	if j.relay.Origins == nil || !j.q.Route.Resumable {
		return nil
	}
	if j.bound && start.Version != j.version {
		j.relay.Counter.InvariantViolated("continued_at_another_version")
		return errOtherVersion
	}
	if j.q.AttemptID == "" || j.rw.HeaderWritten() {
		return nil
	}
	until := j.q.Deadline
	if j.q.CallerDeadline.After(until) {
		until = j.q.CallerDeadline
	}
	origin := streamorigin.Origin{Service: j.req.target, Version: start.Version}
	return j.relay.Origins.Record(ctx, j.q.AttemptID, origin, hasOnlyService(j.q), start.Attempt, time.Until(until)+lateResumption)
}
