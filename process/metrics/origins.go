package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterOrigins registers the number of stream origins held, the number of copies left with other
// instances and the number of calls that left none.
func RegisterOrigins(registry prometheus.Registerer, held func() int, copies, failures func() uint64) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lilacbridge_stream_origins", Help: "Streams whose service and software version this instance holds, its own and copies for others.",
		}, func() float64 { return float64(held()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacbridge_stream_origin_copies_total", Help: "Copies of stream origins left with other instances.",
		}, func() float64 { return float64(copies()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacbridge_stream_origin_copy_failures_total", Help: "Calls to other instances that left no copy of stream origins; they are repeated.",
		}, func() float64 { return float64(failures()) }),
	)
}

// versionsDesc describes the record of software versions.
var versionsDesc = prometheus.NewDesc("lilacbridge_service_versions", "Software versions of all services at which streams that callers resume may have begun, by state: announced, admitted, leaving or lost.", []string{"state"}, nil)

// versions is a collector that reads the record on each scrape.
type versions struct{ count func() map[string]int }

// RegisterVersions registers the number of software versions on record, by state.
func RegisterVersions(registry prometheus.Registerer, count func() map[string]int) {
	registry.MustRegister(&versions{count})
}

// Describe implements prometheus.Collector.
func (*versions) Describe(descs chan<- *prometheus.Desc) { descs <- versionsDesc }

// Collect implements prometheus.Collector.
func (v *versions) Collect(out chan<- prometheus.Metric) {
	for state, count := range v.count() {
		out <- prometheus.MustNewConstMetric(versionsDesc, prometheus.GaugeValue, float64(count), state)
	}
}

// RegisterRecordAge registers the time since the record of software versions was known to be the
// newest.
func RegisterRecordAge(registry prometheus.Registerer, age func() time.Duration) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lilacbridge_version_record_age_seconds", Help: "Time since the record of software versions was known to be the newest.",
	}, func() float64 { return age().Seconds() }))
}

// RegisterVersionProposals registers the changes of the record of software versions that a state
// process proposed, and returns the function that counts one by outcome.
func RegisterVersionProposals(registry prometheus.Registerer) func(outcome string) {
	proposals := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacbridge_version_proposals_total", Help: "Changes of the record of software versions that this process proposed as the leader, by outcome: recorded or failed (proposed again).",
	}, []string{"outcome"})
	registry.MustRegister(proposals)
	return func(outcome string) { proposals.WithLabelValues(outcome).Inc() }
}
