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
	// initialPrefill is the time for a prompt token before anything was measured, in
	// seconds: 50 tokens a millisecond.
	initialPrefill = 0.00002
	// initialStep and firstEach are the time of an empty batch's step, and what each
	// request adds to it, before anything was measured, in seconds.
	initialStep       = 0.0056
	initialPerRequest = 0.000056
	// initialFixed is the part of the time to a first token that doesn't grow with the
	// prompt before anything was measured, in seconds; leastFixed bounds it from below.
	initialFixed = 0.01
	minFixed     = 0.001
	// minPrefill and mostPrefill bound the learned time for a prompt token, in seconds.
	minPrefill = 1e-6
	maxPrefill = 0.003

	// minPrefillSample is the least prompt work, in tokens, from which the rate is learned:
	// below, the fixed time of a request weighs more. It must not depend on the rate
	// itself: taken for too fast, an engine would have no prompts left to learn from.
	minPrefillSample = prefillChunk
	// maxSampleTokens bounds the weight of a sample, which grows with the square of the
	// prompt: the part of the fixed time in it falls with the length.
	maxSampleTokens = 16384
	// prefillQuantile is the part of the samples that lies below the pool's rate, and
	// slowStep how far one sample moves a server's own against it.
	prefillQuantile  = 0.25
	prefillRatioStep = 0.05
	// maxBacklogRatio is how much may wait before a prompt, in times of the prompt, for its
	// time to tell the rate: what is known of others' prompts is old.
	maxBacklogRatio = 0.5
	// maxPrefillRatio bounds how much slower or faster than its pool one server is taken for.
	maxPrefillRatio = 16.0

	// quantileTolerance is how close to an estimate a sample confirms it.
	quantileTolerance = 0.02
	// fixedStep is how far one sample moves the fixed part.
	fixedStep = 0.1

	// prefillChunk is how many prompt tokens engines read in one step, beside the tokens
	// of other answers: what engines commonly do.
	prefillChunk = 2048
	// chunkMargin is how much longer a chunk far into a prompt takes than its share of
	// the whole.
	chunkMargin = 1.4
)

// engineModel is what was learned of a pool's engines. Times are in seconds.
type engineModel struct {
	// prefill is the time for a prompt token, step that of an empty batch's step, each
	// what one more request adds to it: own and told estimates by their weights.
	prefill, step, perRequest float64
	// own is what this instance's answers say, told what the others' do.
	own    engineEstimates
	others loadboard.EngineSums
	// prefillSamples are the own samples of prefill.
	prefillSamples *sampleWindow
	// nearFixed and far are the fixed part of the time to a first token of engines in this
	// region and in others.
	nearFixed, farFixed float64
	fit                 stepFit
}

// engineEstimates are an instance's own, in seconds.
type engineEstimates struct{ prefill, step, perRequest float64 }

func newEngineModel() *engineModel {
	e := &engineModel{own: engineEstimates{initialPrefill, initialStep, initialPerRequest}, prefillSamples: newSampleWindow(initialPrefill), nearFixed: initialFixed, farFixed: initialFixed}
	e.blend()
	return e
}

// weight is that of the own estimates: the number of prompts that they come from.
func (e *engineModel) weight() float64 {
	return float64(min(e.prefillSamples.count, windowSamples) - 1)
}

// sums are the own estimates, for the others.
func (e *engineModel) sums() loadboard.EngineSums {
	w := e.weight()
	return loadboard.EngineSums{Weight: w, Speed: w * speedPower(e.own.prefill), Step: w * e.own.step / micro, Each: w * e.own.perRequest / micro}
}

// speedPower is the fourth power of the prompt tokens read in a millisecond, at the time
// for one.
func speedPower(prefill float64) float64 { return math.Pow(milli/prefill, 4) }

// setOthers takes in the others' estimates.
func (e *engineModel) setOthers(others loadboard.EngineSums) {
	e.others = others
	e.blend()
}

// blend weighs the own estimates against the others'. An instance that has none of its own
// goes by the others' alone.
func (e *engineModel) blend() {
	w := e.weight()
	if w+e.others.Weight == 0 {
		w = 1
	}
	totalWeight := w + e.others.Weight
	speed := math.Pow((w*speedPower(e.own.prefill)+e.others.Speed)/totalWeight, 0.25)
	e.prefill = min(max(milli/max(speed, 1), minPrefill), maxPrefill)
	e.step = (w*e.own.step + micro*e.others.Step) / totalWeight
	e.perRequest = (w*e.own.perRequest + micro*e.others.Each) / totalWeight
}

// milli and micro are a millisecond and a microsecond in seconds.
const (
	milli = 1e-3
	micro = 1e-6
)

// stepAt is the time of a step in a batch of n.
func (e *engineModel) stepAt(n float64) float64 { return e.step + n*e.perRequest }

// stepOffset is the batch at which a step costs twice what an empty one does.
func (e *engineModel) stepOffset() float64 { return e.step / e.perRequest }

// prefillGap is the gap between two tokens of an answer while its engine, half full,
// reads long prompts.
func (e *engineModel) prefillGap(slots int) float64 {
	return chunkMargin * (e.step + float64(slots)/2*e.perRequest + prefillChunk*e.prefill)
}

// fixed is the part of the time to a first token that doesn't grow with the prompt.
func (e *engineModel) fixed(s *server) *float64 {
	if s.remote {
		return &e.farFixed
	}
	return &e.nearFixed
}

// farDelay is how much longer a first token takes from engines as far away as the server.
func (e *engineModel) farDelay(s *server) float64 {
	if s.remote {
		return max(e.farFixed-e.nearFixed, 0)
	}
	return 0
}

// observeFixed takes in the rest of a short prompt's time to a first token. It goes by a low
// quantile too.
func (e *engineModel) observeFixed(s *server, sample float64) {
	fixed := e.fixed(s)
	*fixed = max(moveToQuantile(*fixed, sample, fixedStep, prefillQuantile), minFixed)
}

// generatedTokenCost is the engine's time for one more generated token in a large batch, as
// prompt tokens read in the same time.
func (e *engineModel) generatedTokenCost() float64 { return e.perRequest / e.prefill }

// moveToQuantile moves an estimate towards the quantile q of its samples.
func moveToQuantile(estimate, sample, step, q float64) float64 {
	switch {
	case math.Abs(sample-estimate) <= quantileTolerance*estimate:
		return estimate
	case sample > estimate:
		return estimate * (1 + step*q)
	}
	return estimate * (1 - step*(1-q))
}

// observePrefill takes in the time in which a server read so many prompt tokens. It goes by a low
// quantile: what other instances sent there, and more urgent prompts that came
// later, are in the time to a first token but not in the work known here, and would
// make an idle engine seem ten times slower than it is.
func (e *engineModel) observePrefill(s *server, elapsed, work float64) {
	sample := min(max(elapsed/work, minPrefill), maxPrefill)
	s.prefillRatio = moveToQuantile(s.prefillRatio, sample/e.prefill, prefillRatioStep, prefillQuantile)
	s.prefillRatio = min(max(s.prefillRatio, 1/maxPrefillRatio), maxPrefillRatio)
	longest := min(work, maxSampleTokens)
	e.prefillSamples.add(sample, longest*longest)
	e.own.prefill = e.prefillSamples.quantile(prefillQuantile)
	e.blend()
	s.prefill = e.prefill * s.prefillRatio
}

const (
	// windowSamples is how many samples a window holds, windowPrior the weight of the
	// first estimate among them: that of one prompt of 4,096 tokens.
	windowSamples     = 40
	windowPriorWeight = 4096 * 4096
)

// weightedSample is a sample with its weight.
type weightedSample struct{ value, weight float64 }

// sampleWindow holds the last samples of a quantity.
type sampleWindow struct {
	samples, sorted [windowSamples]weightedSample
	count           int
}

func newSampleWindow(initial float64) *sampleWindow {
	w := &sampleWindow{}
	w.add(initial, windowPriorWeight)
	return w
}

func (w *sampleWindow) add(value, weight float64) {
	w.samples[w.count%windowSamples] = weightedSample{value, weight}
	w.count++
}

// quantile is the least sample such that the part q of all weight is at or below it.
func (w *sampleWindow) quantile(q float64) float64 {
	sorted := w.sorted[:min(w.count, windowSamples)]
	copy(sorted, w.samples[:])
	slices.SortFunc(sorted, func(a, b weightedSample) int { return cmp.Compare(a.value, b.value) })
	sum := 0.0
	for _, sample := range sorted {
		sum += sample.weight
	}
	cumulative := 0.0
	for _, sample := range sorted {
		if cumulative += sample.weight; cumulative >= q*sum {
			return sample.value
		}
	}
	return sorted[len(sorted)-1].value
}

// observeStep takes in one gap between tokens in a batch of n, of an engine that isn't
// known to read prompts.
func (e *engineModel) observeStep(n, gap float64) { e.fit.add(n, gap, e.stepAt(n)) }

// refit brings step and each up to date with what was measured.
func (e *engineModel) refit(slots float64) {
	e.own.step, e.own.perRequest = e.fit.solve(slots)
	e.blend()
}

const (
	// fitWindow is how many gaps the fit of the step remembers, by their weights.
	fitWindow = 2000.0
	// fitPrior is the weight of each of the two points, an empty and a full batch, that
	// hold the fit before enough was measured.
	fitPrior = 10.0
	// slowGapWeight is the weight of a gap above the fit: prompts that are not known of
	// lengthen gaps, and nothing shortens them.
	slowGapWeight = 0.1
	// minPerRequest keeps the fit of a step from falling with the batch, in seconds.
	minPerRequest = 1e-6
)

// stepFit is a weighted linear fit of the gap between tokens by the batch.
type stepFit struct{ w, wn, wnn, wg, wng float64 }

// add takes in a gap at batch n, where the fit expects the given one.
func (f *stepFit) add(n, gap, expected float64) {
	weight := 1.0
	if gap > expected {
		weight = slowGapWeight
	}
	keep := 1 - 1/fitWindow
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
func (f *stepFit) solve(slots float64) (step, perRequest float64) {
	empty, full := initialStep, initialStep+slots*initialPerRequest
	scale := (f.wg + fitPrior*(empty+full)) / (initialStep*f.w + initialPerRequest*f.wn + fitPrior*(empty+full))
	empty, full = scale*empty, scale*full
	w, wn, wnn := f.w+2*fitPrior, f.wn+fitPrior*slots, f.wnn+fitPrior*slots*slots
	wg, wng := f.wg+fitPrior*(empty+full), f.wng+fitPrior*slots*full
	perRequest = max((w*wng-wn*wg)/(w*wnn-wn*wn), minPerRequest)
	step = max((wg-perRequest*wn)/w, perRequest)
	return step, perRequest
}
