package policy

import (
	"cmp"
	"math"
	"slices"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// Engines with large batches differ tenfold in how fast they read prompts and make
// tokens, and no configuration says so. What the policy must know of them is
// learned from the answers of the pool's engines together, since one instance may
// see few answers of each.

const (
	// firstPrefill is the time for a prompt token before anything was measured, in
	// seconds: 50 tokens a millisecond.
	firstPrefill = 0.00002
	// firstStep and firstEach are the time of an empty batch's step, and what each
	// request adds to it, before anything was measured, in seconds.
	firstStep = 0.0056
	firstEach = 0.000056
	// firstFixed is the part of the time to a first token that doesn't grow with the
	// prompt before anything was measured, in seconds; leastFixed bounds it from below.
	firstFixed = 0.01
	leastFixed = 0.001
	// leastPrefill and mostPrefill bound the learned time for a prompt token, in seconds.
	leastPrefill = 1e-6
	mostPrefill  = 0.003

	// readingLeast is the least prompt work, in tokens, from which the rate is learned:
	// below, the fixed time of a request weighs more. It must not depend on the rate
	// itself: taken for too fast, an engine would have no prompts left to learn from.
	readingLeast = readChunk
	// longestSample bounds the weight of a sample, which grows with the square of the
	// prompt: the part of the fixed time in it falls with the length.
	longestSample = 16384
	// readingQuantile is the part of the samples that lies below the pool's rate, and
	// slowStep how far one sample moves a server's own against it.
	readingQuantile = 0.25
	slowStep        = 0.05
	// aheadMost is how much may wait before a prompt, in times of the prompt, for its
	// time to tell the rate: what is known of others' prompts is old.
	aheadMost = 0.5
	// slowMost bounds how much slower or faster than its pool one server is taken for.
	slowMost = 16.0

	// closeSample is how close to an estimate a sample confirms it.
	closeSample = 0.02
	// fixedStep is how far one sample moves the fixed part.
	fixedStep = 0.1

	// readChunk is how many prompt tokens engines read in one step, beside the tokens
	// of other answers: what engines commonly do.
	readChunk = 2048
	// besideMargin is how much longer a chunk far into a prompt takes than its share of
	// the whole.
	besideMargin = 1.4
)

// engineModel is what was learned of a pool's engines. Times are in seconds.
type engineModel struct {
	// prefill is the time for a prompt token, step that of an empty batch's step, each
	// what one more request adds to it: own and told estimates by their weights.
	prefill, step, each float64
	// own is what this instance's answers say, told what the others' do.
	own  estimates
	told loadboard.EngineSums
	// readings are the own samples of prefill.
	readings *sampleWindow
	// near and far are the fixed part of the time to a first token of engines in this
	// region and in others.
	near, far float64
	fit       stepFit
}

// estimates are an instance's own, in seconds.
type estimates struct{ prefill, step, each float64 }

func newEngineModel() *engineModel {
	e := &engineModel{own: estimates{firstPrefill, firstStep, firstEach}, readings: newSampleWindow(firstPrefill), near: firstFixed, far: firstFixed}
	e.blend()
	return e
}

// weight is that of the own estimates: the number of prompts that they come from.
func (e *engineModel) weight() float64 { return float64(min(e.readings.count, windowSamples) - 1) }

// sums are the own estimates, for the others.
func (e *engineModel) sums() loadboard.EngineSums {
	w := e.weight()
	return loadboard.EngineSums{Weight: w, Speed: w * speedPower(e.own.prefill), EmptyStep: w * e.own.step / micro, PerRequest: w * e.own.each / micro}
}

// speedPower is the fourth power of the prompt tokens read in a millisecond, at the time
// for one.
func speedPower(prefill float64) float64 { return math.Pow(milli/prefill, 4) }

// hear takes in the others' estimates.
func (e *engineModel) hear(told loadboard.EngineSums) {
	e.told = told
	e.blend()
}

// blend weighs the own estimates against the others'. An instance that has none of its own
// goes by the others' alone.
func (e *engineModel) blend() {
	w := e.weight()
	if w+e.told.Weight == 0 {
		w = 1
	}
	all := w + e.told.Weight
	speed := math.Pow((w*speedPower(e.own.prefill)+e.told.Speed)/all, 0.25)
	e.prefill = min(max(milli/max(speed, 1), leastPrefill), mostPrefill)
	e.step = (w*e.own.step + micro*e.told.EmptyStep) / all
	e.each = (w*e.own.each + micro*e.told.PerRequest) / all
}

// milli and micro are a millisecond and a microsecond in seconds.
const (
	milli = 1e-3
	micro = 1e-6
)

// stepAt is the time of a step in a batch of n.
func (e *engineModel) stepAt(n float64) float64 { return e.step + n*e.each }

// base is the batch at which a step costs twice what an empty one does.
func (e *engineModel) base() float64 { return e.step / e.each }

// beside is the gap between two tokens of an answer while its engine, half full,
// reads long prompts.
func (e *engineModel) beside(slots int) float64 {
	return besideMargin * (e.step + float64(slots)/2*e.each + readChunk*e.prefill)
}

// fixed is the part of the time to a first token that doesn't grow with the prompt.
func (e *engineModel) fixed(s *server) *float64 {
	if s.remote {
		return &e.far
	}
	return &e.near
}

// way is how much longer a first token takes from engines as far away as the server.
func (e *engineModel) way(s *server) float64 {
	if s.remote {
		return max(e.far-e.near, 0)
	}
	return 0
}

// waited takes in the rest of a short prompt's time to a first token. It goes by a low
// quantile too.
func (e *engineModel) waited(s *server, rest float64) {
	fixed := e.fixed(s)
	*fixed = max(quantile(*fixed, rest, fixedStep, readingQuantile), leastFixed)
}

// tokenWork is the engine's time for one more generated token in a large batch, as
// prompt tokens read in the same time.
func (e *engineModel) tokenWork() float64 { return e.each / e.prefill }

// quantile moves an estimate towards the quantile q of its samples.
func quantile(estimate, sample, step, q float64) float64 {
	switch {
	case math.Abs(sample-estimate) <= closeSample*estimate:
		return estimate
	case sample > estimate:
		return estimate * (1 + step*q)
	}
	return estimate * (1 - step*(1-q))
}

// read takes in the time in which a server read so many prompt tokens. It goes by a low
// quantile: what other instances sent there, and more urgent prompts that came
// later, are in the time to a first token but not in the work known here, and would
// make an idle engine seem ten times slower than it is.
func (e *engineModel) read(s *server, reading, work float64) {
	sample := min(max(reading/work, leastPrefill), mostPrefill)
	s.slow = quantile(s.slow, sample/e.prefill, slowStep, readingQuantile)
	s.slow = min(max(s.slow, 1/slowMost), slowMost)
	longest := min(work, longestSample)
	e.readings.add(sample, longest*longest)
	e.own.prefill = e.readings.quantile(readingQuantile)
	e.blend()
	s.prefill = e.prefill * s.slow
}

const (
	// windowSamples is how many samples a window holds, windowPrior the weight of the
	// first estimate among them: that of one prompt of 4,096 tokens.
	windowSamples = 40
	windowPrior   = 4096 * 4096
)

// weighted is a sample with its weight.
type weighted struct{ value, weight float64 }

// sampleWindow holds the last samples of a quantity.
type sampleWindow struct {
	samples, sorted [windowSamples]weighted
	count           int
}

func newSampleWindow(first float64) *sampleWindow {
	w := &sampleWindow{}
	w.add(first, windowPrior)
	return w
}

func (w *sampleWindow) add(value, weight float64) {
	w.samples[w.count%windowSamples] = weighted{value, weight}
	w.count++
}

// quantile is the least sample such that the part q of all weight is at or below it.
func (w *sampleWindow) quantile(q float64) float64 {
	sorted := w.sorted[:min(w.count, windowSamples)]
	copy(sorted, w.samples[:])
	slices.SortFunc(sorted, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, sample := range sorted {
		sum += sample.weight
	}
	below := 0.0
	for _, sample := range sorted {
		if below += sample.weight; below >= q*sum {
			return sample.value
		}
	}
	return sorted[len(sorted)-1].value
}

// stepped takes in one gap between tokens in a batch of n, of an engine that isn't
// known to read prompts.
func (e *engineModel) stepped(n, gap float64) { e.fit.add(n, gap, e.stepAt(n)) }

// settle brings step and each up to date with what was measured.
func (e *engineModel) settle(slots float64) {
	e.own.step, e.own.each = e.fit.solve(slots)
	e.blend()
}

const (
	// fitMemory is how many gaps the fit of the step remembers, by their weights.
	fitMemory = 2000.0
	// fitPrior is the weight of each of the two points, an empty and a full batch, that
	// hold the fit before enough was measured.
	fitPrior = 10.0
	// aboveWeight is the weight of a gap above the fit: prompts that are not known of
	// lengthen gaps, and nothing shortens them.
	aboveWeight = 0.1
	// leastEach keeps the fit of a step from falling with the batch, in seconds.
	leastEach = 1e-6
)

// stepFit is a weighted linear fit of the gap between tokens by the batch.
type stepFit struct{ w, wn, wnn, wg, wng float64 }

// add takes in a gap at batch n, where the fit expects the given one.
func (f *stepFit) add(n, gap, expected float64) {
	weight := 1.0
	if gap > expected {
		weight = aboveWeight
	}
	keep := 1 - 1/fitMemory
	f.w = f.w*keep + weight
	f.wn = f.wn*keep + weight*n
	f.wnn = f.wnn*keep + weight*n*n
	f.wg = f.wg*keep + weight*gap
	f.wng = f.wng*keep + weight*n*gap
}

// solve returns the step of an empty batch and what each request adds. The two points that
// stand for an empty and a full batch are scaled to the measured gaps: a full batch of quick
// engines beside small batches of slow ones would make the step seem independent of the
// batch.
func (f *stepFit) solve(slots float64) (step, each float64) {
	empty, full := firstStep, firstStep+slots*firstEach
	level := (f.wg + fitPrior*(empty+full)) / (firstStep*f.w + firstEach*f.wn + fitPrior*(empty+full))
	empty, full = level*empty, level*full
	w, wn, wnn := f.w+2*fitPrior, f.wn+fitPrior*slots, f.wnn+fitPrior*slots*slots
	wg, wng := f.wg+fitPrior*(empty+full), f.wng+fitPrior*slots*full
	each = max((w*wng-wn*wg)/(w*wnn-wn*wn), leastEach)
	step = max((wg-each*wn)/w, each)
	return step, each
}
