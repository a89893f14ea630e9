package metrics

import "github.com/prometheus/client_golang/prometheus"

// RegisterOrigins registers the number of stream origins held and the number of calls that left no
// copy of some with another instance.
func RegisterOrigins(registry prometheus.Registerer, held func() int, failures func() uint64) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lilacbridge_stream_origins", Help: "Streams whose service and software version this instance holds, its own and copies for others.",
		}, func() float64 { return float64(held()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacbridge_stream_origin_copy_failures_total", Help: "Calls to other instances that left no copy of stream origins; they are repeated.",
		}, func() float64 { return float64(failures()) }),
	)
}
