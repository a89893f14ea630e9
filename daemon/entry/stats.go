package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lilacbridge/lilacbridge/process/metrics"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/request/relay"
)

// statsTimeout bounds the wait for the core's counters.
const statsTimeout = time.Second

// coreStats is a collector that reads the policy core's counters on each scrape.
type coreStats struct {
	relay             *relay.Relay
	events            *prometheus.Desc
	requests          *prometheus.Desc
	invariantsChecked *prometheus.Desc
	invariantsBroken  *prometheus.Desc
	tokensSaved       *prometheus.Desc
	serverLimit       *prometheus.Desc
}

var _ prometheus.Collector = (*coreStats)(nil)

func newCoreStats(r *relay.Relay) *coreStats {
	return &coreStats{
		relay:             r,
		events:            prometheus.NewDesc("lilacbridge_policy_decisions_total", "Decisions made and events seen by the policy.", []string{"decision"}, nil),
		requests:          prometheus.NewDesc("lilacbridge_policy_requests", "Requests that the policy tracks.", []string{"state"}, nil),
		invariantsChecked: prometheus.NewDesc("lilacbridge_policy_invariants_checked_total", "Evaluations of invariants.", nil, nil),
		invariantsBroken:  prometheus.NewDesc("lilacbridge_policy_invariants_broken_total", "Violations of policy invariants; must stay 0.", []string{"invariant"}, nil),
		tokensSaved:       prometheus.NewDesc("lilacbridge_policy_tokens_spared_total", "Tokens that engines did not have to compute: the estimated remainder of answers whose caller disconnected or whose deadline passed, and tokens moved by KV cache transfer.", []string{"cause"}, nil),
		serverLimit:       prometheus.NewDesc("lilacbridge_server_limit", "Requests per second that a backend server accepts from all instances together, as reported by the server; only servers that report a limit.", []string{"server"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *coreStats) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.events, c.requests, c.invariantsChecked, c.invariantsBroken, c.tokensSaved, c.serverLimit} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector. It emits nothing if the core does not
// answer within statsTimeout.
func (c *coreStats) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), statsTimeout)
	defer cancel()
	stats, err := c.relay.Stats(ctx)
	if err != nil {
		return
	}
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	for decision, value := range decisions(&stats) {
		counter(c.events, value, decision)
	}
	counter(c.invariantsChecked, stats.Checked)
	for invariant, value := range stats.Violations {
		counter(c.invariantsBroken, value, string(invariant))
	}
	counter(c.tokensSaved, stats.SavedTokens.Canceled, "canceled")
	counter(c.tokensSaved, stats.SavedTokens.Expired, "expired")
	counter(c.tokensSaved, stats.SavedTokens.Moved, "moved")
	for server, perSecond := range stats.Limited {
		out <- prometheus.MustNewConstMetric(c.serverLimit, prometheus.GaugeValue, perSecond, server)
	}
	out <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(stats.Waiting), "waiting")
	out <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(stats.Running), "running")
}

func decisions(s *policy.Stats) map[string]uint64 {
	return map[string]uint64{
		"arrived": s.Arrivals, "started": s.Starts, "finished": s.Finished, "canceled": s.Canceled,
		"refused": s.Refused, "broken": s.Broken, "retried": s.Retries, "continued": s.Continued,
		"overtook": s.PriorityInversions, "preempted": s.Preempted, "moved": s.Moved, "moved_by_kv": s.MovedByKV, "crashed": s.Crashes, "convicted": s.Convicted,
	}
}

// registerMembership registers the metrics of membership, of the configuration
// revision and of the traffic that both cause.
func (d *Daemon) registerMembership() {
	registry := d.entry.registry
	metrics.RegisterTraffic(registry, metrics.LinkBytes, metrics.LinkBytesHelp, d.traffic.Bytes)
	metrics.RegisterTraffic(registry, metrics.LinkPackets, metrics.LinkPacketsHelp, d.traffic.Packets)
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	counter := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
	}
	gauge("lilacbridge_entries_live", "Other entries considered alive.", func() float64 { return float64(len(d.liveEntries())) })
	gauge("lilacbridge_revision", "Newest revision in force on this instance.", func() float64 { return float64(d.watcher.Revision()) })
	gauge("lilacbridge_revisions_behind", "Revisions known to exist but not yet in force on this instance.", func() float64 {
		newest, _ := d.watcher.LatestKnown()
		return float64(max(newest, d.watcher.Revision()) - d.watcher.Revision())
	})
	gauge("lilacbridge_revision_age_seconds", "Time since the newest revision was last confirmed.", func() float64 {
		_, age := d.watcher.LatestKnown()
		return age.Seconds()
	})
	counter("lilacbridge_digest_exchanges_total", "Digest exchanges started by this instance.", func() float64 { return float64(d.gossip.Stats().Exchanges) })
	counter("lilacbridge_digest_failures_total", "Digest exchanges that failed.", func() float64 { return float64(d.gossip.Stats().Failures) })
	counter("lilacbridge_digest_bytes_total", "Bytes of digests in both directions, without framing.", func() float64 { return float64(d.gossip.Stats().Bytes) })
}
