package metrics

import "github.com/prometheus/client_golang/prometheus"

// RegisterPaths registers the state of the paths to backend servers. counts returns the
// connections that other instances forwarded for this one and this one for others.
func RegisterPaths(registry prometheus.Registerer, lost func() int, counts func() (forwarded, served uint64)) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lilacbridge_server_paths_lost", Help: "Backend servers that this instance does not reach directly but others do.",
		}, func() float64 { return float64(lost()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacbridge_forwarded_connections_total", Help: "Connections to backend servers that other instances forwarded for this one.",
		}, func() float64 { forwarded, _ := counts(); return float64(forwarded) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lilacbridge_served_connections_total", Help: "Connections to backend servers that this instance forwarded for others.",
		}, func() float64 { _, served := counts(); return float64(served) }),
	)
}
