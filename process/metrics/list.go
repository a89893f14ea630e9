package metrics

import "github.com/prometheus/client_golang/prometheus"

// RegisterRefusedEntries registers the number of refused entries of the list of backend servers, and
// returns the function that counts them. The fields come from a fixed set.
func RegisterRefusedEntries(registry prometheus.Registerer) func(field string, count int) {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacbridge_list_entries_refused_total", Help: "Entries of the list of backend servers that were refused for a field, at each read of the list.",
	}, []string{"field"})
	registry.MustRegister(refused)
	return func(field string, count int) { refused.WithLabelValues(field).Add(float64(count)) }
}
