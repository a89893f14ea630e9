package connguard

import "github.com/prometheus/client_golang/prometheus"

// collector reads the accounts of a process on each scrape.
type collector struct {
	guards      map[string]*Guard
	connections *prometheus.Desc
	heads       *prometheus.Desc
	rejections  *prometheus.Desc
	decisions   *prometheus.Desc
}

// Collector returns the metrics of guards, by the names of their servers.
func Collector(guards map[string]*Guard) prometheus.Collector {
	return &collector{
		guards:      guards,
		connections: prometheus.NewDesc("lilacbridge_server_connections", "Open connections of clients, by server.", []string{"server"}, nil),
		heads:       prometheus.NewDesc("lilacbridge_server_head_bytes", "Memory that the heads of requests that are being read take, by server.", []string{"server"}, nil),
		rejections:  prometheus.NewDesc("lilacbridge_server_rejections_total", "Requests that were rejected before they were read, by server and reason: head_too_large, head_too_slow or no_room.", []string{"server", "reason"}, nil),
		decisions:   prometheus.NewDesc("lilacbridge_server_room_decisions_total", "Connections and heads that were refused for lack of room, and connections that were evicted for others, by server.", []string{"server", "decision"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.connections, c.heads, c.rejections, c.decisions} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	for server, guard := range c.guards {
		stats := guard.Stats()
		out <- prometheus.MustNewConstMetric(c.connections, prometheus.GaugeValue, float64(stats.Connections), server)
		out <- prometheus.MustNewConstMetric(c.heads, prometheus.GaugeValue, float64(stats.HeadBytes), server)
		out <- prometheus.MustNewConstMetric(c.decisions, prometheus.CounterValue, float64(stats.Refused), server, "refused")
		out <- prometheus.MustNewConstMetric(c.decisions, prometheus.CounterValue, float64(stats.Evicted), server, "evicted")
		for _, r := range Rejections {
			out <- prometheus.MustNewConstMetric(c.rejections, prometheus.CounterValue, float64(guard.Rejected(r)), server, r.String())
		}
	}
}
