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
	serverPace        *prometheus.Desc
	retries           *prometheus.Desc
	retryPart         *prometheus.Desc
	retriesLoaned     *prometheus.Desc
	retriesDenied     *prometheus.Desc
	retriesLeft       *prometheus.Desc
	partsBlocked      *prometheus.Desc
	partRequests      *prometheus.Desc
	memory            *prometheus.Desc
	roomReserved      *prometheus.Desc
	tooLarge          *prometheus.Desc
	endRefusals       *prometheus.Desc
	endReturns        *prometheus.Desc
	endAccuracy       *prometheus.Desc
	teamsOver         *prometheus.Desc
	shareDecisions    *prometheus.Desc
}

var _ prometheus.Collector = (*coreStats)(nil)

func newCoreStats(r *relay.Relay) *coreStats {
	return &coreStats{
		relay:             r,
		events:            prometheus.NewDesc("lilacbridge_policy_decisions_total", "What the policy decided or saw.", []string{"decision"}, nil),
		requests:          prometheus.NewDesc("lilacbridge_policy_requests", "Requests in the policy's hands.", []string{"state"}, nil),
		invariantsChecked: prometheus.NewDesc("lilacbridge_policy_invariants_checked_total", "Evaluations of invariants.", nil, nil),
		invariantsBroken:  prometheus.NewDesc("lilacbridge_policy_invariants_broken_total", "Invariants of the policy seen broken; must stay 0.", []string{"invariant"}, nil),
		tokensSaved:       prometheus.NewDesc("lilacbridge_policy_tokens_spared_total", "Tokens that engines did not have to make: the estimated rest of answers whose caller left or whose deadline passed, and what moved by its KV cache.", []string{"cause"}, nil),
		serverPace:        prometheus.NewDesc("lilacbridge_server_pace", "How long work takes on a backend server relative to a usual one, by source: reported (as it stated last), lasting, expected (now), measured (by its answers); only servers that state it.", []string{"server", "source"}, nil),
		serverLimit:       prometheus.NewDesc("lilacbridge_server_limit", "Requests a second that a backend server takes from all instances together, by its own word; only servers that name a limit.", []string{"server"}, nil),
		retries:           prometheus.NewDesc("lilacbridge_retries_total", "Starts of requests of which an earlier attempt may have reached a server.", []string{"pool", "cause"}, nil),
		retriesLoaned:     prometheus.NewDesc("lilacbridge_retries_loaned_total", "Retries lent to and borrowed from other instances.", []string{"pool", "side"}, nil),
		retryPart:         prometheus.NewDesc("lilacbridge_retry_part", "Part of this instance in the retries of all instances beyond the share of requests.", []string{"pool"}, nil),
		retriesDenied:     prometheus.NewDesc("lilacbridge_retries_denied_total", "Failed requests that were not retried.", []string{"pool", "reason"}, nil),
		partsBlocked:      prometheus.NewDesc("lilacbridge_blocked_parts", "Parts of prompts whose requests are refused because servers crashed under them.", []string{"pool"}, nil),
		partRequests:      prometheus.NewDesc("lilacbridge_blocked_part_requests_total", "Requests with a blocked part of a prompt: refused, or let through to find out whether it still crashes servers.", []string{"pool", "outcome"}, nil),
		memory:            prometheus.NewDesc("lilacbridge_memory_tokens", "Memory of a contended pool's servers as this instance knows it: what requests need, and what they leave.", []string{"pool", "state"}, nil),
		roomReserved:      prometheus.NewDesc("lilacbridge_room_reserved_total", "Places on servers that were reserved for requests that need more memory than a slot's share.", []string{"pool", "reason"}, nil),
		tooLarge:          prometheus.NewDesc("lilacbridge_too_large_total", "Requests refused since they exceed the memory of each server.", []string{"pool"}, nil),
		endRefusals:       prometheus.NewDesc("lilacbridge_end_refusals_total", "Requests refused in contended pools by when their answers could begin and end.", []string{"pool", "reason"}, nil),
		endReturns:        prometheus.NewDesc("lilacbridge_returned_callers_total", "Requests in contended pools whose callers were refused before.", []string{"pool"}, nil),
		endAccuracy:       prometheus.NewDesc("lilacbridge_end_ratio", "Actual over expected durations of attempts in contended pools.", []string{"pool"}, nil),
		teamsOver:         prometheus.NewDesc("lilacbridge_teams_over_share", "Teams that were served more than their share by all instances lately; only contended pools.", []string{"pool"}, nil),
		shareDecisions:    prometheus.NewDesc("lilacbridge_team_share_decisions_total", "Requests of contended pools: refused in the place of a team served less (yielded), refused as their callers returned too early (early), and copies of waiting requests (copy).", []string{"pool", "reason"}, nil),
		retriesLeft:       prometheus.NewDesc("lilacbridge_retries_left", "Retries left in the budget of this instance.", []string{"pool"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *coreStats) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.events, c.requests, c.invariantsChecked, c.invariantsBroken, c.tokensSaved, c.serverLimit, c.serverPace, c.retries, c.retriesDenied, c.retriesLoaned, c.retryPart, c.retriesLeft, c.partsBlocked, c.partRequests, c.memory, c.roomReserved, c.tooLarge, c.endRefusals, c.endReturns, c.endAccuracy, c.teamsOver, c.shareDecisions} {
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
	for pool, retries := range stats.RetriesByPool {
		for cause, count := range retries.ByCause {
			counter(c.retries, count, pool, string(cause))
		}
		for reason, count := range retries.Denied {
			counter(c.retriesDenied, count, pool, string(reason))
		}
		counter(c.retriesLoaned, retries.Lent, pool, "lent")
		counter(c.retriesLoaned, retries.Borrowed, pool, "borrowed")
		out <- prometheus.MustNewConstMetric(c.retryPart, prometheus.GaugeValue, retries.Part, pool)
		out <- prometheus.MustNewConstMetric(c.retriesLeft, prometheus.GaugeValue, retries.Left, pool)
	}
	for pool, parts := range stats.PartsByPool {
		out <- prometheus.MustNewConstMetric(c.partsBlocked, prometheus.GaugeValue, float64(parts.Blocked), pool)
		counter(c.partRequests, parts.Refused, pool, "refused")
		counter(c.partRequests, parts.Trials, pool, "tried")
	}
	for pool, room := range stats.RoomByPool {
		out <- prometheus.MustNewConstMetric(c.memory, prometheus.GaugeValue, room.Held, pool, "held")
		out <- prometheus.MustNewConstMetric(c.memory, prometheus.GaugeValue, room.Free, pool, "free")
		counter(c.tooLarge, room.TooLarge, pool)
		for reason, count := range room.Reserved {
			counter(c.roomReserved, count, pool, reason)
		}
	}
	for pool, ends := range stats.FinishByPool {
		for reason, count := range ends.Refused {
			counter(c.endRefusals, count, pool, string(reason))
		}
		counter(c.endReturns, ends.Returned, pool)
		out <- prometheus.MustNewConstHistogram(c.endAccuracy, ends.Accuracy.Count, ends.Accuracy.Sum, ends.Accuracy.Cumulative(), pool)
	}
	for pool, shares := range stats.SharesByPool {
		out <- prometheus.MustNewConstMetric(c.teamsOver, prometheus.GaugeValue, float64(shares.Over), pool)
		counter(c.shareDecisions, shares.Yielded, pool, "yielded")
		counter(c.shareDecisions, shares.Early, pool, "early")
		counter(c.shareDecisions, shares.Copies, pool, "copy")
	}
	for server, perSecond := range stats.Limited {
		out <- prometheus.MustNewConstMetric(c.serverLimit, prometheus.GaugeValue, perSecond, server)
	}
	for server, paces := range stats.Paces {
		for source, pace := range map[string]float64{"reported": paces.Reported, "lasting": paces.Kind, "expected": paces.Now, "measured": paces.Measured} {
			if pace > 0 {
				out <- prometheus.MustNewConstMetric(c.serverPace, prometheus.GaugeValue, pace, server, source)
			}
		}
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
	gauge("lilacbridge_entries_live", "Other entries that are taken for alive.", func() float64 { return float64(len(d.liveEntries())) })
	gauge("lilacbridge_revision", "Newest revision in force here.", func() float64 { return float64(d.watcher.Revision()) })
	gauge("lilacbridge_revisions_behind", "Revisions known to exist and not in force here.", func() float64 {
		newest, _ := d.watcher.LatestKnown()
		return float64(max(newest, d.watcher.Revision()) - d.watcher.Revision())
	})
	gauge("lilacbridge_revision_age_seconds", "How long ago the newest revision was known for sure.", func() float64 {
		_, age := d.watcher.LatestKnown()
		return age.Seconds()
	})
	counter("lilacbridge_digest_exchanges_total", "Exchanges of digests begun here.", func() float64 { return float64(d.gossip.Stats().Exchanges) })
	counter("lilacbridge_digest_failures_total", "Exchanges of digests that failed.", func() float64 { return float64(d.gossip.Stats().Failures) })
	counter("lilacbridge_digest_bytes_total", "Bytes of digests, both directions, without framing.", func() float64 { return float64(d.gossip.Stats().Bytes) })
}
