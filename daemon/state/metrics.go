package state

import (
	"github.com/prometheus/client_golang/prometheus"
)

// registerMetrics registers the gauges of a state process.
func registerMetrics(registry prometheus.Registerer, s *Service) {
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "lilacbridge_state_" + name, Help: help}, value))
	}
	gauge("revision", "Newest revision applied here.", func() float64 { return float64(s.machine.Counts().Revision) })
	gauge("applied_index", "Last log entry applied here.", func() float64 { return float64(s.machine.Counts().Applied) })
	gauge("claims", "Keys of non-idempotent requests within their retention.", func() float64 { return float64(s.machine.Counts().Claims) })
	gauge("open_claims", "Non-idempotent requests claimed and not ended.", func() float64 { return float64(s.machine.Counts().OpenClaims) })
	gauge("tombstones", "Remembered keys past their retention.", func() float64 { return float64(s.machine.Counts().Tombstones) })
	gauge("late_outcomes", "Outcomes that came after their claim had ended otherwise.", func() float64 { return float64(s.machine.Counts().LateOutcomes) })
	gauge("keys_in_doubt", "Claims refused since a lost majority may have known the key.", func() float64 { return float64(s.machine.Counts().InDoubtClaims) })
	gauge("ledger_invariants_broken", "Broken invariants of the request ledger; must stay 0.", func() float64 { return float64(s.machine.Counts().BrokenInvariants) })
	gauge("leads", "1 on the leader.", func() float64 {
		if s.log.Status().IsLeader {
			return 1
		}
		return 0
	})
	if s.duties != nil {
		registry.MustRegister(&dutyMetrics{s.duties})
	}
	gauge("leader_contact_seconds", "How long ago all that was committed was surely applied here.", func() float64 { return s.log.Status().Staleness.Seconds() })
}
