package loadgen

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles holds percentiles of a duration, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	// Requests is the number of arrivals, Sends that of sends including resends.
	Requests int `json:"requests"`
	Sends    int `json:"sends"`
	// Complete is the number of requests with a complete and correct answer.
	Complete int `json:"whole"`
	// MetTargets is the number of those within the class's targets.
	MetTargets int `json:"met"`
	// Attainment is MetTargets as a share of the requests that were not canceled, 0 to 1.
	Attainment float64 `json:"attainment"`
	// Goodput is the number of tokens per second in answers within their targets.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// Wasted is the number of tokens received in incomplete answers.
	Wasted int `json:"wasted_tokens"`
	// Canceled is the number of requests whose callers disconnected.
	Canceled int `json:"canceled"`
	// Errors is the number of failed sends by error kind.
	Errors map[string]int `json:"errors"`
	// FirstToken covers complete streams and answers of services, Gap complete streams.
	FirstToken Percentiles `json:"first_token"`
	Gap        Percentiles `json:"between_tokens"`
	// MaxLatencyMS is the longest time to a complete answer, in milliseconds.
	MaxLatencyMS float64 `json:"longest_answer_ms"`
}

// Report holds the results by class and the violated guarantees.
type Report struct {
	Seed    uint64        `json:"seed"`
	Classes []ClassReport `json:"classes"`
	// TokensGenerated is counted by the engines, TokensDelivered in complete answers.
	TokensGenerated int `json:"tokens_made"`
	TokensDelivered int `json:"tokens_delivered"`
	TokensAvoided   int `json:"tokens_saved_by_cancel"`
	// Failovers is the number of sends that were redirected to another entry.
	Failovers   int `json:"moved"`
	Interrupted int `json:"cut"`
	// DoubleRuns are keyed requests that ran more than once.
	DoubleRuns []string `json:"double_runs"`
	// FalseNotRun are requests that ran although every answer said not_run.
	FalseNotRun []string `json:"false_not_run"`
	// Problems describes incorrect answers.
	Problems []string `json:"problems"`
	// Unreachable are the backend servers whose counts are missing.
	Unreachable []string `json:"silent"`
}

// Violations returns the number of violated guarantees.
func (r *Report) Violations() int { return len(r.DoubleRuns) + len(r.FalseNotRun) + len(r.Problems) }

// Targets maps classes to their targets.
type Targets map[string]Target

// Evaluate checks the outcomes against the counts of the backend servers and returns the
// report.
func Evaluate(plan *Plan, targets Targets, outcomes []*Outcome, counts Counts) *Report {
	report := &Report{Seed: plan.Seed, TokensGenerated: counts.TokensGenerated, TokensAvoided: counts.TokensAvoided, Unreachable: counts.Unreachable}
	groups := groupByRequest(outcomes)
	byClass := make(map[string][][]*Outcome)
	for _, sends := range groups {
		class := sends[0].Request.Flow.Class
		byClass[class] = append(byClass[class], sends)
		report.checkRuns(sends, counts.Runs[sends[0].Request.Ref])
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		report.Classes = append(report.Classes, classReport(plan, class, targets[class], byClass[class]))
	}
	slices.SortStableFunc(report.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Tier, b.Tier) })
	report.addTotals(outcomes)
	return report
}

// groupByRequest groups the outcomes by request, in order of arrival.
func groupByRequest(outcomes []*Outcome) [][]*Outcome {
	grouped := make(map[*Request][]*Outcome)
	for _, o := range outcomes {
		grouped[o.Request] = append(grouped[o.Request], o)
	}
	groups := slices.Collect(maps.Values(grouped))
	slices.SortFunc(groups, func(a, b []*Outcome) int {
		return cmp.Or(cmp.Compare(a[0].Request.At, b[0].Request.At), cmp.Compare(a[0].Request.Ref, b[0].Request.Ref))
	})
	return groups
}

// checkRuns compares what the callers were told with what the servers ran.
func (r *Report) checkRuns(sends []*Outcome, runs int) {
	request := sends[0].Request
	if request.Key != "" && runs > 1 {
		r.DoubleRuns = append(r.DoubleRuns, fmt.Sprintf("%s ran %d times", request.Ref, runs))
	}
	mayHaveRun := slices.ContainsFunc(sends, func(o *Outcome) bool { return o.NotRun != "true" })
	if !mayHaveRun && runs > 0 {
		r.FalseNotRun = append(r.FalseNotRun, fmt.Sprintf("%s ran %d times, answered %s", request.Ref, runs, sends[0].Kind))
	}
}

func (r *Report) addTotals(outcomes []*Outcome) {
	for _, o := range outcomes {
		if o.Complete() {
			r.TokensDelivered += o.Tokens
		}
		if o.Failovers > 0 {
			r.Failovers++
		}
		if o.Kind == KindInterrupted {
			r.Interrupted++
		}
		if o.Problem != "" {
			r.Problems = append(r.Problems, fmt.Sprintf("%s (%s at %s): %s", o.Request.Ref, o.RequestID, o.Instance, o.Problem))
		}
	}
	slices.Sort(r.Problems)
}

func classReport(plan *Plan, class string, target Target, requests [][]*Outcome) ClassReport {
	report := ClassReport{Class: class, Tier: target.Tier, Requests: len(requests), Errors: make(map[string]int)}
	first, gaps := newHistogram(), newHistogram()
	goodTokens, maxLatency := 0, time.Duration(0)
	for _, sends := range requests {
		report.Sends += len(sends)
		best := report.addRequest(sends)
		if best == nil {
			continue
		}
		report.Complete++
		maxLatency = max(maxLatency, best.Total)
		if best.Streamed || best.Request.Flow.Kind == KindService {
			record(first, best.FirstToken)
		}
		for _, gap := range best.Gaps {
			record(gaps, gap)
		}
		if best.MeetsTargets(target) {
			report.MetTargets++
			goodTokens += best.Tokens
		}
	}
	if notCanceled := report.Requests - report.Canceled; notCanceled > 0 {
		report.Attainment = float64(report.MetTargets) / float64(notCanceled)
	}
	report.Goodput = float64(goodTokens) / plan.Duration.Seconds()
	report.FirstToken, report.Gap = percentiles(first), percentiles(gaps)
	report.MaxLatencyMS = float64(maxLatency.Microseconds()) / 1000
	return report
}

// addRequest counts the sends of one request and returns its earliest complete answer, or nil.
func (c *ClassReport) addRequest(sends []*Outcome) *Outcome {
	var best *Outcome
	for _, o := range sends {
		if o.Kind != "" {
			c.Errors[o.Kind]++
		}
		if o.Canceled {
			c.Canceled++
		}
		if !o.Complete() {
			c.Wasted += o.Tokens
			continue
		}
		if best == nil || o.FirstToken < best.FirstToken {
			best = o
		}
	}
	return best
}

const (
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
