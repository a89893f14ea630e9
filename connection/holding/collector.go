package holding

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// collector is a collector that reads the account on each scrape.
type collector struct {
	store    *Store
	held     *prometheus.Desc
	oldest   *prometheus.Desc
	requests *prometheus.Desc
	counts   *prometheus.Desc
}

var _ prometheus.Collector = (*collector)(nil)

// Collector returns the metrics of an account.
func Collector(store *Store) prometheus.Collector {
	return &collector{
		store:    store,
		held:     prometheus.NewDesc("lilacbridge_held_bytes", "Bytes held for callers and backend servers, by reason: head, body, answer or unread.", []string{"reason"}, nil),
		oldest:   prometheus.NewDesc("lilacbridge_oldest_unread_seconds", "How long ago the first of the callers that don't read stopped; 0 without one.", nil, nil),
		requests: prometheus.NewDesc("lilacbridge_held_requests", "Requests that wait for room, and answers whose callers don't read.", []string{"state"}, nil),
		counts:   prometheus.NewDesc("lilacbridge_room_decisions_total", "Requests and answers that waited for room or were refused it, and answers that were given up for it.", []string{"decision"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (h *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{h.held, h.oldest, h.requests, h.counts} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (h *collector) Collect(out chan<- prometheus.Metric) {
	stats := h.store.Stats()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, reason := range Reasons {
		gauge(h.held, float64(stats.Held[reason]), reason.String())
	}
	age := 0.0
	if !stats.OldestBlocked.IsZero() {
		age = time.Since(stats.OldestBlocked).Seconds()
	}
	gauge(h.oldest, age)
	gauge(h.requests, float64(stats.Waiting), "waiting")
	gauge(h.requests, float64(stats.Blocked), "unread")
	for decision, count := range map[string]uint64{"waited": stats.Waited, "refused": stats.Refused, "given_up": stats.GivenUp} {
		out <- prometheus.MustNewConstMetric(h.counts, prometheus.CounterValue, float64(count), decision)
	}
}
