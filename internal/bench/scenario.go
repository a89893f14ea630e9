package bench

import "time"

// scenario is a load with faults.
type scenario struct {
	name   string
	length time.Duration
	load   float64

	burstAt, burstFor time.Duration
	// burstCapacity is the demand of the burst class as a multiple of the fleet's capacity.
	burstCapacity float64
	// burstAtOneInstance sends the whole burst to the first instance.
	burstAtOneInstance bool

	longAt, longUntil time.Duration
	longFactor        float64

	reportLag time.Duration
	// digestLoss is the fraction of digests lost, at least the default of the
	// bench. digestDelay is the largest delay of a digest in addition to the latency.
	digestLoss  float64
	digestDelay time.Duration
	faults      func(w *world)
}

const (
	faultAt   = 30 * time.Second
	runLength = 120 * time.Second
	// overloadLength is the length of the run with three times the load.
	overloadLength = 60 * time.Second
	steadyLag      = 300 * time.Millisecond
	staleLag       = 5 * time.Second
)

// capacity returns the tokens per second that all engines generate with full batches.
func capacity() float64 {
	sum := 0.0
	for i := range engineCount {
		base, perRequest := engineSpeed(i)
		sum += engineSlots / (base + perRequest*engineSlots).Seconds()
	}
	return sum
}

// burstFactor returns the factor on the arrival rate with which the burst class
// demands burstCapacity times the capacity.
func (s *scenario) burstFactor(f *fleet) float64 {
	for i := range f.classes {
		if k := &f.classes[i]; k.name == f.burst {
			mean := k.output * 1.25
			return s.burstCapacity * capacity() / (k.rate * mean)
		}
	}
	return 1
}

var scenarios = []scenario{
	{name: "steady", length: runLength, load: 1, reportLag: steadyLag},
	{name: "burst", length: runLength, load: 0.8, reportLag: steadyLag, burstAt: faultAt, burstFor: 20 * time.Second, burstCapacity: 3},
	{name: "burst-one", length: runLength, load: 0.8, reportLag: steadyLag, burstAt: faultAt, burstFor: 20 * time.Second, burstCapacity: 3, burstAtOneInstance: true},
	{name: "straggler", length: runLength, load: 0.9, reportLag: steadyLag, faults: slowDownEngines},
	{name: "crash", length: runLength, load: 0.9, reportLag: staleLag, faults: crash},
	{name: "cut", length: runLength, load: 0.9, reportLag: steadyLag, faults: partitionDataCenter},
	{name: "crashing-request", length: runLength, load: 0.9, reportLag: steadyLag, faults: crashingRequest},
	{name: "long-answers", length: runLength, load: 0.9, reportLag: steadyLag, longAt: faultAt, longUntil: 70 * time.Second, longFactor: 2.5},
	{name: "drain", length: runLength, load: 1, reportLag: steadyLag, faults: drain},
	{name: "overload", length: overloadLength, load: 3, reportLag: steadyLag},
	{name: "late-reports", length: runLength, load: 1.05, reportLag: staleLag},
}

// slowDownEngines makes two engines six times slower for a minute.
func slowDownEngines(w *world) {
	for _, i := range []int{0, 4} {
		e := w.engines[i]
		w.clock.after(faultAt, func() { e.slowdown = 6 })
		w.clock.after(faultAt+60*time.Second, func() { e.slowdown = 1 })
	}
}

// crash stops three engines, one after the other, for 30 s each.
func crash(w *world) {
	for n, i := range []int{1, 5, 6} {
		e := w.engines[i]
		at := faultAt + time.Duration(n)*4*time.Second
		w.clock.after(at, func() { e.crash(30 * time.Second) })
	}
}

const (
	drainNotice    = 5 * time.Second
	drainAbsence   = 15 * time.Second
	drainEvery     = 10 * time.Second
	drainedEngines = 8
)

// drain terminates eight engines in turn, as a platform that reclaims its instances
// does: each gets a short notice, is terminated, and is replaced later.
func drain(w *world) {
	for n := range drainedEngines {
		e := w.engines[n]
		w.clock.after(faultAt+time.Duration(n)*drainEvery, func() { w.drainEngine(e, drainNotice, drainAbsence) })
	}
}

// partitionDataCenter separates the last data centre from the others for 30 s,
// without connection resets.
func partitionDataCenter(w *world) {
	dc := w.fleet.dataCenters[2]
	w.clock.after(faultAt, func() {
		w.isolatedDataCenter = dc
		for _, in := range w.instances {
			in.failPartitioned()
		}
	})
	w.clock.after(faultAt+30*time.Second, func() { w.isolatedDataCenter = "" })
}

// crashingRequest sends a request that crashes engines, and resends it to the next
// instance each time it ends.
func crashingRequest(w *world) {
	w.clock.after(faultAt, func() { w.sendCrashing(0) })
}
