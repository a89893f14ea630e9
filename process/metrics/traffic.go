package metrics

import "github.com/prometheus/client_golang/prometheus"

// RegisterTraffic registers a counter with the label direction, sent or received. count
// is called at each scrape and must be safe for concurrent use.
func RegisterTraffic(registry prometheus.Registerer, name, help string, count func() (sent, received uint64)) {
	add := func(direction string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"direction": direction},
		}, value))
	}
	add("sent", func() float64 {
		sent, _ := count()
		return float64(sent)
	})
	add("received", func() float64 {
		_, received := count()
		return float64(received)
	})
}

// Names and help texts of the traffic counters of the links between lilacbridge
// processes.
const (
	LinkBytes       = "lilacbridge_link_bytes_total"
	LinkBytesHelp   = "Bytes of the links to other processes of lilacbridge, without packet headers."
	LinkPackets     = "lilacbridge_link_packets_total"
	LinkPacketsHelp = "Packets of the links to other processes of lilacbridge, acknowledgements included."
)
