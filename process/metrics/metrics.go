// Package metrics defines the metrics of a process, which /metrics serves. The number of
// label values is bounded: labels are, for example, class, kind, pool, tier and end, but
// never a team or a request.
package metrics

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"

	"github.com/lilacbridge/lilacbridge/process/build"
)

// NewRegistry returns a registry with the metrics of the Go runtime and the process, and
// the build version.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	info := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lilacbridge_build_info", Help: "Always 1; the label names the version.",
		ConstLabels: prometheus.Labels{"version": build.Version},
	})
	info.Set(1)
	registry.MustRegister(info, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// ownPrefix is the prefix of lilacbridge's own metrics.
const ownPrefix = "lilacbridge_"

// Handler serves the registry with lilacbridge's own counters and gauges first, followed
// by its histograms, because some collectors only keep the beginning of the page.
func Handler(registry *prometheus.Registry) http.Handler {
	ownFirst := prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := registry.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return sortGroup(a) - sortGroup(b) })
		return families, err
	})
	return promhttp.HandlerFor(ownFirst, promhttp.HandlerOpts{Registry: registry})
}

func sortGroup(family *dto.MetricFamily) int {
	switch {
	case !strings.HasPrefix(family.GetName(), ownPrefix):
		return 2
	case family.GetType() == dto.MetricType_HISTOGRAM:
		return 1
	}
	return 0
}

// firstTokenBuckets are the upper bounds of histogram buckets in seconds.
var firstTokenBuckets = []float64{.05, .1, .2, .3, .42, .6, 1, 2, 4, 8, 16, 32, 64}

// Entry holds the metrics of an entry instance. It is safe for concurrent use.
type Entry struct {
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	repeated    *prometheus.CounterVec
	firstToken  *prometheus.HistogramVec
	tokens      prometheus.Counter
	tokensSaved prometheus.Counter
	surplus     prometheus.Counter
	violations  *prometheus.CounterVec
	// resumed counts by source of the origin and by why it was not inferred.
	resumed        *prometheus.CounterVec
	versionsTooOld prometheus.Counter
	unprepared     prometheus.Counter
	// availability and givenUp count by reason.
	availability *prometheus.CounterVec
	givenUp      *prometheus.CounterVec
	// noRoom counts by check and by how most servers were used.
	noRoom *prometheus.CounterVec
}

// NewEntry returns metrics that are registered with registry.
func NewEntry(registry *prometheus.Registry) *Entry {
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	e := &Entry{
		requests:     counters("lilacbridge_requests_total", "Requests that passed the checks.", "class"),
		refusals:     counters("lilacbridge_errors_total", "Errors answered to callers.", "kind"),
		repeated:     counters("lilacbridge_repeated_attempts_total", "Attempts after the first one of a request, by whether the request is idempotent and by what proves that the attempt before did not run.", "idempotent", "evidence"),
		attempts:     counters("lilacbridge_attempts_total", "Attempts at backend servers, by how they ended.", "end"),
		violations:   counters("lilacbridge_invariants_broken_total", "Broken invariants; must stay 0.", "invariant"),
		resumed:      counters("lilacbridge_streams_resumed_total", "Streams that callers resume, by where their software version was found: own, peer, only_version or unknown (refused), and by why the record of versions did not prove it.", "source", "not_inferred"),
		availability: counters("lilacbridge_server_availability_changes_total", "Backend servers that this instance stopped or resumed using, by reason.", "reason"),
		givenUp:      counters("lilacbridge_answers_given_up_total", "Answers that ended before their callers had read them, by reason: unread, late, room or drain.", "reason"),
		noRoom:       counters("lilacbridge_refused_for_room_total", "Requests refused for lack of room, by the check that found none and by how most servers of the pool were used, as in the log.", "check", "servers"),
		versionsTooOld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lilacbridge_version_record_refusals_total", Help: "Requests for streams that may be resumed that were refused since the record of software versions was too old.",
		}),
		unprepared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lilacbridge_attempts_unprepared_total", Help: "Attempts not sent since other instances may hold the software version of an earlier one.",
		}),
		tokens:      prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacbridge_tokens_total", Help: "Tokens of answers that came."}),
		tokensSaved: prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacbridge_tokens_saved_total", Help: "Tokens of broken answers that were not made again."}),
		surplus:     prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacbridge_answers_with_surplus_total", Help: "Answers after whose end their server sent more bytes."}),
		firstToken:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lilacbridge_first_token_seconds", Help: "From arrival to the first token.", Buckets: firstTokenBuckets}, []string{"class"}),
	}
	registry.MustRegister(e.requests, e.refusals, e.attempts, e.repeated, e.violations, e.resumed, e.versionsTooOld, e.unprepared, e.availability, e.givenUp, e.noRoom, e.tokens, e.tokensSaved, e.surplus, e.firstToken)
	return e
}

// Request counts a request that passed validation.
func (e *Entry) Request(class string) { e.requests.WithLabelValues(class).Inc() }

// Refused counts an error returned to a caller.
func (e *Entry) Refused(kind string) { e.refusals.WithLabelValues(kind).Inc() }

// Attempt counts an attempt by how it ended.
func (e *Entry) Attempt(end string) { e.attempts.WithLabelValues(end).Inc() }

// Repeated implements relay.Counter.
func (e *Entry) Repeated(idempotent bool, evidence string) {
	e.repeated.WithLabelValues(strconv.FormatBool(idempotent), evidence).Inc()
}

// FirstToken observes the time from arrival to the first token.
func (e *Entry) FirstToken(class string, wait time.Duration) {
	e.firstToken.WithLabelValues(class).Observe(wait.Seconds())
}

// Tokens adds n tokens of responses.
func (e *Entry) Tokens(n int) { e.tokens.Add(float64(n)) }

// TokensSaved adds n tokens of interrupted responses that did not have to be generated again.
func (e *Entry) TokensSaved(n int) { e.tokensSaved.Add(float64(n)) }

// StreamResumed counts a stream that its caller resumes, by where its origin was found and why it
// was not inferred.
func (e *Entry) StreamResumed(source, doubt string) { e.resumed.WithLabelValues(source, doubt).Inc() }

// VersionsTooOld implements relay.Counter.
func (e *Entry) VersionsTooOld() { e.versionsTooOld.Inc() }

// Unprepared implements relay.Counter.
func (e *Entry) Unprepared() { e.unprepared.Inc() }

// ServerAvailability counts a server that this instance stopped or resumed using.
func (e *Entry) ServerAvailability(reason string) { e.availability.WithLabelValues(reason).Inc() }

// NoRoom counts a request refused for lack of room.
func (e *Entry) NoRoom(check, use string) { e.noRoom.WithLabelValues(check, use).Inc() }

// GivenUp counts an answer that ended before its caller had read it.
func (e *Entry) GivenUp(reason string) { e.givenUp.WithLabelValues(reason).Inc() }

// AnswerWithSurplus counts an answer after whose end its server sent more bytes.
func (e *Entry) AnswerWithSurplus() { e.surplus.Inc() }

// InvariantViolated counts a violation of the invariant.
func (e *Entry) InvariantViolated(invariant string) { e.violations.WithLabelValues(invariant).Inc() }
