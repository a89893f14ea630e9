package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/request/relay"
)

// statsTimeout bounds the wait of a scrape for the core.
const statsTimeout = time.Second

// coreStats shows the policy core's counters at each scrape.
type coreStats struct {
	relay   *relay.Relay
	events  *prometheus.Desc
	now     *prometheus.Desc
	checked *prometheus.Desc
	broken  *prometheus.Desc
	spared  *prometheus.Desc
}

var _ prometheus.Collector = (*coreStats)(nil)

func newCoreStats(r *relay.Relay) *coreStats {
	return &coreStats{
		relay:   r,
		events:  prometheus.NewDesc("lilacbridge_policy_decisions_total", "What the policy decided or saw.", []string{"decision"}, nil),
		now:     prometheus.NewDesc("lilacbridge_policy_requests", "Requests in the policy's hands.", []string{"state"}, nil),
		checked: prometheus.NewDesc("lilacbridge_policy_invariants_checked_total", "Evaluations of invariants.", nil, nil),
		broken:  prometheus.NewDesc("lilacbridge_policy_invariants_broken_total", "Invariants of the policy seen broken; must stay 0.", []string{"invariant"}, nil),
		spared:  prometheus.NewDesc("lilacbridge_policy_tokens_spared_total", "Tokens that engines did not have to make: the estimated rest of answers whose caller left or whose deadline passed, and what moved by its KV cache.", []string{"cause"}, nil),
	}
}

// Describe names the metrics.
func (c *coreStats) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.events, c.now, c.checked, c.broken, c.spared} {
		descs <- desc
	}
}

// Collect asks the core; a core that does not answer in time shows nothing.
func (c *coreStats) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), statsTimeout)
	defer cancel()
	stats, err := c.relay.Stats(ctx)
	if err != nil {
		return
	}
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	for decision, value := range decisions(&stats) {
		counter(c.events, value, decision)
	}
	counter(c.checked, stats.Checked)
	for invariant, value := range stats.Violations {
		counter(c.broken, value, string(invariant))
	}
	counter(c.spared, stats.Spared.Canceled, "canceled")
	counter(c.spared, stats.Spared.Expired, "expired")
	counter(c.spared, stats.Spared.Moved, "moved")
	metrics <- prometheus.MustNewConstMetric(c.now, prometheus.GaugeValue, float64(stats.Waiting), "waiting")
	metrics <- prometheus.MustNewConstMetric(c.now, prometheus.GaugeValue, float64(stats.Running), "running")
}

func decisions(s *policy.Stats) map[string]uint64 {
	return map[string]uint64{
		"arrived": s.Arrivals, "started": s.Starts, "finished": s.Finished, "canceled": s.Canceled,
		"refused": s.Refused, "broken": s.Broken, "retried": s.Retries, "continued": s.Continued,
		"preempted": s.Preempted, "moved": s.Moved, "moved_by_kv": s.MovedByKV, "crashed": s.Crashes, "convicted": s.Convicted,
	}
}

// registerControlBytes counts the bytes of polls and cancels by direction.
func registerControlBytes(registry prometheus.Registerer, clients *upstream.Client) {
	add := func(direction string, bytes func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "lilacbridge_control_upstream_bytes_total",
			Help:        "Bytes of control calls to backend servers, without packet headers.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, bytes))
	}
	add("sent", func() float64 {
		sent, _ := clients.ControlBytes()
		return float64(sent)
	})
	add("received", func() float64 {
		_, received := clients.ControlBytes()
		return float64(received)
	})
}
