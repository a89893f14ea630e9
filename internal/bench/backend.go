package bench

import "time"

// reportsKept bounds the history that a lag needs.
const maxReports = 64

func (e *engine) isDown() bool     { return e.down }
func (e *engine) location() string { return e.dataCenter }
func (s *service) isDown() bool    { return false }
func (s *service) location() string {
	return s.dataCenter
}

func (e *engine) sample(at time.Duration) {
	if !e.down {
		e.reports = appendReport(e.reports, report{at: at, running: len(e.running), waiting: len(e.waiting)})
	}
}

func (s *service) sample(at time.Duration) {
	s.reports = appendReport(s.reports, report{at: at, running: s.running, waiting: len(s.waiting)})
}

func appendReport(reports []report, r report) []report {
	if len(reports) >= maxReports {
		reports = append(reports[:0], reports[1:]...)
	}
	return append(reports, r)
}

func (e *engine) reportAt(at time.Duration) (report, bool)  { return newest(e.reports, at) }
func (s *service) reportAt(at time.Duration) (report, bool) { return newest(s.reports, at) }

// newest returns the last report that isn't younger than at.
func newest(reports []report, at time.Duration) (report, bool) {
	for i := len(reports) - 1; i >= 0; i-- {
		if reports[i].at <= at {
			return reports[i], true
		}
	}
	return report{}, false
}
