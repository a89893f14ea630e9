package metrics

import "github.com/prometheus/client_golang/prometheus"

// RegisterBytes adds a counter of bytes by direction, sent or received.
func RegisterBytes(registry prometheus.Registerer, name, help string, bytes func() (sent, received uint64)) {
	add := func(direction string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"direction": direction},
		}, value))
	}
	add("sent", func() float64 {
		sent, _ := bytes()
		return float64(sent)
	})
	add("received", func() float64 {
		_, received := bytes()
		return float64(received)
	})
}

// LinkBytes names the counter of the links between lilacbridge's processes.
const LinkBytes = "lilacbridge_link_bytes_total"

// LinkBytesHelp is its help text.
const LinkBytesHelp = "Bytes of the links to other processes of lilacbridge, without packet headers."
