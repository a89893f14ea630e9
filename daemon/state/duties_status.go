package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/duties"
	"github.com/lilacbridge/lilacbridge/version/scaling"
)

// dutyRows returns the row of SHOW DUTIES; none if the settings list no duties.
func (s *Service) dutyRows() *lilacv1.QueryReply {
	reply := &lilacv1.QueryReply{Revision: s.machine.Revision()}
	if s.duties == nil {
		return reply
	}
	d := s.duties.Status()
	row := []string{"false", "-", "-", callCounts(d.Calls), strconv.Itoa(d.Unacknowledged), "-", "-", strconv.FormatUint(d.Dropped, 10)}
	if d.Holds {
		row[0], row[1], row[2] = "true", d.Since.UTC().Format(time.RFC3339), strconv.FormatUint(d.Fencing, 10)
	}
	if d.Unacknowledged > 0 {
		row[5], row[6] = strconv.FormatInt(d.OldestWindow, 10), d.OldestAge.Round(time.Millisecond).String()
	}
	reply.Rows = []*lilacv1.QueryRow{{Values: row}}
	return reply
}

// callCounts returns the counts as "duty outcome n, ...", or "-".
func callCounts(calls map[duties.CallKind]uint64) string {
	var parts []string
	kinds := slices.SortedFunc(maps.Keys(calls), func(a, b duties.CallKind) int {
		return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Outcome, b.Outcome))
	})
	for _, kind := range kinds {
		parts = append(parts, fmt.Sprintf("%s %s %d", kind.Duty, kind.Outcome, calls[kind]))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}

// replicaRows returns the rows of SHOW REPLICAS; only the holder of the duties has some.
func (s *Service) replicaRows() *lilacv1.QueryReply {
	reply := &lilacv1.QueryReply{Revision: s.machine.Revision()}
	if s.duties == nil {
		return reply
	}
	for _, g := range s.duties.Status().Groups {
		ordered := "-"
		if g.Ordered >= 0 {
			ordered = strconv.Itoa(g.Ordered)
		}
		reply.Rows = append(reply.Rows, &lilacv1.QueryRow{Values: []string{
			g.Group.Service, g.Group.DataCenter, replicaKind(g), ordered, strconv.Itoa(g.Ready), g.Reason,
		}})
	}
	return reply
}

func replicaKind(g scaling.GroupStatus) string {
	if g.Group.Reclaimable {
		return "reclaimable"
	}
	return "ordinary"
}

// dutyMetrics is a collector that reads the state of the duties on each scrape.
type dutyMetrics struct{ holder *duties.Holder }

var (
	dutyHeldDesc     = prometheus.NewDesc("lilacbridge_duties_held", "1 on the holder of the duties.", nil, nil)
	dutyCallsDesc    = prometheus.NewDesc("lilacbridge_duty_calls_total", "Calls to the platform that one process at a time makes.", []string{"duty", "outcome"}, nil)
	usagePendingDesc = prometheus.NewDesc("lilacbridge_usage_unacknowledged_windows", "Closed usage windows that the platform has not acknowledged.", nil, nil)
	usageAgeDesc     = prometheus.NewDesc("lilacbridge_usage_oldest_window_seconds", "Time since the end of the oldest unacknowledged usage window.", nil, nil)
	usageDroppedDesc = prometheus.NewDesc("lilacbridge_usage_dropped_windows", "Usage windows given up since too many waited.", nil, nil)
	replicasDesc     = prometheus.NewDesc("lilacbridge_replicas", "Replicas by state: ordered or ready; only on the holder of the duties.", []string{"service", "data_center", "kind", "state"}, nil)
)

// Describe implements prometheus.Collector.
func (*dutyMetrics) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{dutyHeldDesc, dutyCallsDesc, usagePendingDesc, usageAgeDesc, usageDroppedDesc, replicasDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (m *dutyMetrics) Collect(out chan<- prometheus.Metric) {
	d := m.holder.Status()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	held := 0.0
	if d.Holds {
		held = 1
	}
	gauge(dutyHeldDesc, held)
	gauge(usagePendingDesc, float64(d.Unacknowledged))
	gauge(usageAgeDesc, d.OldestAge.Seconds())
	gauge(usageDroppedDesc, float64(d.Dropped))
	for kind, count := range d.Calls {
		out <- prometheus.MustNewConstMetric(dutyCallsDesc, prometheus.CounterValue, float64(count), kind.Duty, kind.Outcome)
	}
	for _, g := range d.Groups {
		gauge(replicasDesc, float64(g.Ready), g.Group.Service, g.Group.DataCenter, replicaKind(g), "ready")
		if g.Ordered >= 0 {
			gauge(replicasDesc, float64(g.Ordered), g.Group.Service, g.Group.DataCenter, replicaKind(g), "ordered")
		}
	}
}
