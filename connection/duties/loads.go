package duties

import (
	"math"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// loadReportTTL is the age from which an instance's load no longer counts.
const loadReportTTL = 3 * time.Second

// loadTable holds the newest load report of each instance.
type loadTable struct{ instances map[string]loadReport }

type loadReport struct {
	at   time.Time
	work map[uint32]loadboard.PoolWork
}

func newLoadTable() loadTable { return loadTable{make(map[string]loadReport)} }

func (t loadTable) report(now time.Time, r *lilacv1.InstanceReport) {
	if r.GetLast() {
		delete(t.instances, r.GetInstance())
		return
	}
	report := loadReport{now, make(map[uint32]loadboard.PoolWork, len(r.GetWork()))}
	for _, work := range r.GetWork() {
		report.work[work.GetPool()] = loadboard.DecodeWork(work)
	}
	t.instances[r.GetInstance()] = report
}

// replicas returns how many replicas would carry the load of all instances at full use: by
// the work of arriving requests, or by the slots that they ask for if these are more.
func (t loadTable) replicas(now time.Time, service *routing.Service) (float64, bool) {
	var sum loadboard.PoolWork
	known := false
	for name, report := range t.instances {
		if now.Sub(report.at) > loadReportTTL {
			delete(t.instances, name)
			continue
		}
		if work, reported := report.work[loadboard.Key(service.Name)]; reported {
			sum.Add(work)
			known = true
		}
	}
	if !known || service.Engine == nil || sum.Engine.Weight == 0 {
		return 0, false
	}
	rate, slots := 0.0, 0.0
	for lane := range sum.Rates {
		rate += float64(sum.Rates[lane])
		slots += sum.LaneClaims[lane]
	}
	perSecond := 1000 * math.Pow(sum.Engine.Speed/sum.Engine.Weight, 0.25)
	return max(rate/max(perSecond, 1), slots/float64(max(service.Engine.Slots, 1))), true
}
