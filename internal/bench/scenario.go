package bench

import "time"

// scenario is a load and the faults that come with it.
type scenario struct {
	name   string
	length time.Duration
	load   float64

	burstAt, burstFor time.Duration
	// burstTimes is the burst class's demand in times of the fleet's capacity.
	burstTimes float64
	// burstOne sends the whole burst to one instance.
	burstOne bool

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
		base, each := engineSpeed(i)
		sum += engineSlots / (base + each*engineSlots).Seconds()
	}
	return sum
}

// burstFactor is how far the burst class must grow to demand burstTimes the capacity.
func (s *scenario) burstFactor(f *fleet) float64 {
	for i := range f.classes {
		if k := &f.classes[i]; k.name == f.burst {
			mean := k.output * 1.25
			return s.burstTimes * capacity() / (k.rate * mean)
		}
	}
	return 1
}

var scenarios = []scenario{
	{name: "steady", length: runLength, load: 1, reportLag: steadyLag},
	{name: "burst", length: runLength, load: 0.8, reportLag: steadyLag, burstAt: faultAt, burstFor: 20 * time.Second, burstTimes: 3},
	{name: "burst-one", length: runLength, load: 0.8, reportLag: steadyLag, burstAt: faultAt, burstFor: 20 * time.Second, burstTimes: 3, burstOne: true},
	{name: "straggler", length: runLength, load: 0.9, reportLag: steadyLag, faults: straggle},
	{name: "crash", length: runLength, load: 0.9, reportLag: staleLag, faults: crash},
	{name: "cut", length: runLength, load: 0.9, reportLag: steadyLag, faults: cut},
	{name: "crashing-request", length: runLength, load: 0.9, reportLag: steadyLag, faults: crashingRequest},
	{name: "long-answers", length: runLength, load: 0.9, reportLag: steadyLag, longAt: faultAt, longUntil: 70 * time.Second, longFactor: 2.5},
	{name: "drain", length: runLength, load: 1, reportLag: steadyLag, faults: drain},
	{name: "overload", length: overloadLength, load: 3, reportLag: steadyLag},
	{name: "late-reports", length: runLength, load: 1.05, reportLag: staleLag},
}

// straggle makes two engines six times slower for a minute.
func straggle(w *world) {
	for _, i := range []int{0, 4} {
		e := w.engines[i]
		w.clock.after(faultAt, func() { e.slow = 6 })
		w.clock.after(faultAt+60*time.Second, func() { e.slow = 1 })
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
	drainNotice = 5 * time.Second
	drainAway   = 15 * time.Second
	drainEvery  = 10 * time.Second
	drained     = 8
)

// drain takes eight engines out in turn, as a platform does that wants its
// instances back: little notice, then each is gone, and later replaced.
func drain(w *world) {
	for n := range drained {
		e := w.engines[n]
		w.clock.after(faultAt+time.Duration(n)*drainEvery, func() { w.leave(e, drainNotice, drainAway) })
	}
}

// cut separates the last data centre from the others, silently, for 30 s.
func cut(w *world) {
	dc := w.fleet.dataCenters[2]
	w.clock.after(faultAt, func() {
		w.cutOff = dc
		for _, in := range w.instances {
			in.loseRemote()
		}
	})
	w.clock.after(faultAt+30*time.Second, func() { w.cutOff = "" })
}

// crashingRequest is sent, and after each end sent again at the next instance.
func crashingRequest(w *world) {
	w.clock.after(faultAt, func() { w.sendCrashing(0) })
}
