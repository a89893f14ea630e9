package bench

import "time"

// scenario is a load and the faults that come with it.
type scenario struct {
	name   string
	length time.Duration
	load   float64

	burstAt, burstFor time.Duration
	// burstTimes is the burst class's demand in times of the fleet's capacity.
	burstCapacity float64
	// burstOne sends the whole burst to one instance.
	burstAtOneInstance bool

	longAt, longUntil time.Duration
	longFactor        float64

	reportLag time.Duration
	// digestLoss is the share of digests lost, digestDelay the most that one is
	// late besides its way; 0 means the bench's usual.
	digestLoss  float64
	digestDelay time.Duration
	faults      func(w *world)
}

const (
	faultAt   = 30 * time.Second
	runLength = 120 * time.Second
	// overloadLength is that of the run in which all classes come three times as often.
	overloadLength = 60 * time.Second
	steadyLag      = 300 * time.Millisecond
	staleLag       = 5 * time.Second
)

// capacity is the tokens a second that the ten engines make at full batches.
func capacity() float64 {
	sum := 0.0
	for i := range engineCount {
		base, perRequest := engineSpeed(i)
		sum += engineSlots / (base + perRequest*engineSlots).Seconds()
	}
	return sum
}

// burstFactor is how far the burst class must grow to demand burstTimes the capacity.
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

// straggle makes two engines six times slower for a minute.
func slowDownEngines(w *world) {
	for _, i := range []int{0, 4} {
		e := w.engines[i]
		w.clock.after(faultAt, func() { e.slowdown = 6 })
		w.clock.after(faultAt+60*time.Second, func() { e.slowdown = 1 })
	}
}

// crash takes three engines down, one after the other, for 30 s each.
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

// drain takes eight engines out in turn, as a platform does that wants its
// instances back: little notice, then each is gone, and later replaced.
func drain(w *world) {
	for n := range drainedEngines {
		e := w.engines[n]
		w.clock.after(faultAt+time.Duration(n)*drainEvery, func() { w.drainEngine(e, drainNotice, drainAbsence) })
	}
}

// cut separates the last data centre from the others, silently, for 30 s.
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

// crashingRequest is sent, and after each end sent again at the next instance.
func crashingRequest(w *world) {
	w.clock.after(faultAt, func() { w.sendCrashing(0) })
}
