package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

const (
	// startupTime is the time from the start of an instance until it has a configuration:
	// 1.3 to 1.7 s for 97 processes that started at once after a power failure. Callers
	// that retry earlier are refused again, and some retry only once.
	startupTime = 1600 * time.Millisecond
	// maxTableWait bounds the time that a request waits for the first configuration.
	maxTableWait = time.Second
	// tableWaitDivisor bounds that wait to this fraction of the caller's timeout; the rest
	// is left for the response or for a retry.
	tableWaitDivisor  = 4
	tablePollInterval = 10 * time.Millisecond
	// minStartingRetry is the minimum Retry-After of an instance that is starting.
	minStartingRetry = 300 * time.Millisecond
	// notReadyRetry is the minimum Retry-After of an instance without current
	// configuration: after a power failure of the whole fleet, the state processes elect
	// a leader within 0.9 s.
	notReadyRetry = 900 * time.Millisecond
	// retryJitter is the maximum random addition to a Retry-After, so that callers don't
	// retry at the same time.
	retryJitter = 400 * time.Millisecond
	// defaultMaxBodyBytes applies if the document sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxRoomWait bounds the time that a request waits for room for its header or its body. It is further
	// bounded to the same fraction of the caller's timeout as the wait for a configuration.
	maxRoomWait = time.Second
	// noRoomRetry is the Retry-After of a request for which there was no room.
	noRoomRetry = time.Second
	// partBytes is the memory that a part of a prompt takes in the types of a request.
	partBytes = 100
)

// Request is a request that passed all checks.
type Request struct {
	RequestInfo
	// Table holds the document against which the request was checked.
	Table *routing.Table
	Route *routing.Route
	// Team is the owner of the caller's key; nil if the route needs no key.
	Team   *routing.Team
	Host   string
	Method string
	// URI is the path and query as received.
	URI    string
	Header http.Header
	Body   []byte
	// Deadline is the earlier of the route's timeout and CallerDeadline.
	Deadline time.Time
	// CallerDeadline is the end of the caller's own timeout; zero if it sent none.
	CallerDeadline time.Time
	// Hold is what the instance holds for the request; nil if that isn't bounded.
	Hold *holding.Hold
}

// Router forwards requests that passed the checks. Its methods are called concurrently.
type Router interface {
	// Table returns the routing table in force; nil if there is none yet.
	Table() *routing.Table
	// KeysFresh reports whether the keys were confirmed recently enough to accept them.
	KeysFresh() bool
	// DocumentFresh reports whether the document in force was confirmed as the newest
	// recently enough to reject a route or key as unknown.
	DocumentFresh() bool
	// Forward runs the request and writes the response. If it returns an error, the
	// handler sends that to the caller.
	Forward(ctx context.Context, q *Request, rw *ResponseWriter) error
}

// Counter counts requests. Its methods are called concurrently.
type Counter interface {
	// Request counts a request that passed the checks; class is the route's name.
	Request(class string)
	// Refused counts an error that was sent to a caller.
	Refused(kind string)
}

// Log records failed requests. Its methods must not block.
type Log interface {
	// Refused records a request that failed a check.
	Refused(attemptID, host, path string, err error)
	// Failed records an error that was sent to the caller of a checked request.
	Failed(attemptID string, status int, err error)
}

// Handler is the HTTP handler for callers.
type Handler struct {
	protocol    Protocol
	router      Router
	counter     Counter
	log         Log
	noKeepAlive atomic.Bool
	started     time.Time
	// holdings is nil if what the instance holds isn't bounded.
	holdings     *holding.Store
	writeTimeout time.Duration
}

var _ http.Handler = (*Handler)(nil)

// NewHandler returns a Handler that passes checked requests to router.
func NewHandler(protocol Protocol, router Router, counter Counter, log Log) *Handler {
	return &Handler{protocol: protocol, router: router, counter: counter, log: log, started: time.Now(), writeTimeout: defaultWriteTimeout}
}

// SetHoldings has the handler hold bodies by the account of holdings, and end callers that
// accept no data, or don't send their whole body, for unread. It must be called before the first request.
func (h *Handler) SetHoldings(holdings *holding.Store, unread time.Duration) {
	h.holdings, h.writeTimeout = holdings, unread
}

// DisableKeepAlives makes each later response ask the caller to close its connection.
func (h *Handler) DisableKeepAlives() { h.noKeepAlive.Store(true) }

// ServeHTTP checks the request and passes it to the router.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.noKeepAlive.Load() {
		w.Header().Set("Connection", "close")
	}
	rw := newResponseWriter(w, r, h.writeTimeout)
	q, err := h.check(w, r)
	if q != nil {
		defer q.Hold.Close()
	}
	if err != nil {
		h.refuse(r, rw, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	h.counter.Request(q.Route.Name)
	if err := h.router.Forward(ctx, q, rw); err != nil {
		h.counter.Refused(fault.Name(fault.KindOf(err)))
		h.log.Failed(q.AttemptID, statusOf(err), err)
		rw.Fail(err)
		return
	}
	rw.End()
}

func (h *Handler) refuse(r *http.Request, rw *ResponseWriter, err error) {
	h.counter.Refused(fault.Name(fault.KindOf(err)))
	h.log.Refused(r.Header.Get(h.protocol.IDHeader()), r.Host, r.URL.Path, err)
	rw.Fail(err)
}

// startingRetryAfter returns the Retry-After of an instance that has run for uptime and
// has no configuration yet.
func startingRetryAfter(uptime time.Duration) time.Duration {
	return max(startupTime-uptime, minStartingRetry) + rand.N(retryJitter)
}

// withNotReadyRetry sets the Retry-After of an instance whose configuration may be out of
// date.
func withNotReadyRetry() fault.Option {
	return fault.WithRetryAfter(notReadyRetry + rand.N(retryJitter))
}

// refused returns the error of a failed check. It states that the request did not run,
// since checks come before any backend server gets the request.
func refused(kind fault.Kind, message string, options ...fault.Option) error {
	return fault.New(kind, message, append(options, fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))...)
}

// check reads the complete request and looks up its route and team.
func (h *Handler) check(w http.ResponseWriter, r *http.Request) (*Request, error) {
	arrived := time.Now()
	info, err := h.protocol.ParseRequest(r.Header)
	if err != nil {
		return nil, refused(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, err.Error())
	}
	q := &Request{RequestInfo: info, Table: h.router.Table(), Host: r.Host, Method: r.Method, URI: r.RequestURI, Header: r.Header}
	bodyRead := false
	if q.Table == nil {
		// The body is read before the wait, since callers treat a request as lost if
		// its body is not accepted.
		if err := h.openHold(q, r); err != nil {
			return q, err
		}
		if q.Body, err = h.readBody(w, r, q, defaultMaxBodyBytes); err != nil {
			return q, err
		}
		bodyRead = true
		if q.Table = h.awaitTable(r.Context(), info.Timeout); q.Table == nil {
			return q, refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance has no configuration yet; retry after Retry-After", fault.WithRetryAfter(startingRetryAfter(time.Since(h.started))))
		}
	}
	limits := q.Table.Document.Limits
	if err := h.matchRoute(q, q.Table); err != nil {
		return q, err
	}
	if err := checkHeaderSize(r, limits.HeaderBytes); err != nil {
		return q, err
	}
	if err := h.openHold(q, r); err != nil {
		return q, err
	}
	if !bodyRead {
		if q.Body, err = h.readBody(w, r, q, limits.BodyBytes); err != nil {
			return q, err
		}
	} else if limits.BodyBytes > 0 && int64(len(q.Body)) > limits.BodyBytes {
		return q, errBodyTooLarge()
	}
	q.Deadline = arrived.Add(q.Route.Timeout)
	if q.Timeout > 0 {
		q.CallerDeadline = arrived.Add(q.Timeout)
		if q.CallerDeadline.Before(q.Deadline) {
			q.Deadline = q.CallerDeadline
		}
	}
	return q, nil
}

// openHold opens the account of what is held for the request, unless it is open, and holds room
// for its header.
func (h *Handler) openHold(q *Request, r *http.Request) error {
	if h.holdings == nil || q.Hold != nil {
		return nil
	}
	owner := holding.Owner{Caller: hostWithoutPort(r.RemoteAddr)}
	if q.Team != nil {
		owner.Team = q.Team.Name
	}
	q.Hold = h.holdings.Open(owner)
	cost := connguard.Cost(httpserver.HeaderSize(r)) + int64(len(q.Parts))*partBytes
	if q.Hold.Wait(r.Context(), holding.Head, cost, roomWait(q)) != nil {
		return errNoRoom("header")
	}
	connguard.Release(r.Context())
	return nil
}

// matchRoute sets the request's route, and its team by the key.
func (h *Handler) matchRoute(q *Request, table *routing.Table) error {
	path, _, _ := strings.Cut(q.URI, "?")
	q.Route = table.Match(hostWithoutPort(q.Host), path)
	if q.Route == nil && !h.router.DocumentFresh() {
		return errMaybeOutdated()
	}
	if q.Route == nil {
		return refused(lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND, "no route matches this host and path; check them against the configuration")
	}
	if q.Route.Public || !table.RequiresKeys() {
		return nil
	}
	if !h.router.KeysFresh() {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance can't reach the state processes to check keys; retry, another instance may be able to", withNotReadyRetry())
	}
	q.Team = table.TeamByKey(q.Key)
	if q.Team == nil && !h.router.DocumentFresh() {
		return errMaybeOutdated()
	}
	if q.Team == nil {
		return refused(lilacv1.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "no team has this key; ask the operators for a valid one")
	}
	return nil
}

// errMaybeOutdated replaces a 404 or 401 that may be wrong under a newer document, since
// callers do not retry after those.
func errMaybeOutdated() error {
	return refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "the route or key is unknown here, but this instance may not have the newest configuration; retry, another instance may have it", withNotReadyRetry())
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func checkHeaderSize(r *http.Request, limit int) error {
	if bytes, _ := httpserver.HeaderSize(r); limit > 0 && bytes > limit {
		return refused(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the request header is larger than the configuration allows; send a smaller one")
	}
	return nil
}

// errNoRoom refuses a request of which a part finds no room.
func errNoRoom(part string) error {
	return refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this instance holds too much for others to accept the request "+part+"; retry after Retry-After", fault.WithRetryAfter(noRoomRetry+rand.N(retryJitter)))
}

func errBodyTooLarge() error {
	return refused(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the request body is larger than the configuration allows; send a smaller one")
}

// awaitTable waits for the first configuration of an instance that has just started, at
// most maxTableWait; nil if it does not arrive. Most callers retry only once, and the
// retry may reach another instance that is starting. callerTimeout is 0 if unknown.
func (h *Handler) awaitTable(ctx context.Context, callerTimeout time.Duration) *routing.Table {
	wait := maxTableWait
	if callerTimeout > 0 {
		wait = min(wait, callerTimeout/tableWaitDivisor)
	}
	if time.Since(h.started) > startupTime {
		return nil
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if table := h.router.Table(); table != nil {
				return table
			}
		case <-deadline.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// readBody reads the complete body, so that the request can be forwarded with its exact
// length and repeated if that is allowed. A limit of 0 means defaultMaxBodyBytes.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, q *Request, limit int64) (body []byte, err error) {
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	limits := httpserver.BodyLimits{Bytes: limit, RoomWait: roomWait(q)}
	if h.holdings != nil {
		limits.Time = h.writeTimeout
	}
	body, err = httpserver.ReadBody(w, r, q.Hold, limits)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errBodyTooLarge()
	case errors.Is(err, holding.ErrNoRoom):
		return nil, errNoRoom("body")
	case err != nil:
		return nil, refused(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "the request body is incomplete; send the request again")
	}
	return body, nil
}

// roomWait returns how long a request waits for room.
func roomWait(q *Request) time.Duration {
	if q.Timeout > 0 {
		return min(maxRoomWait, q.Timeout/tableWaitDivisor)
	}
	return maxRoomWait
}
