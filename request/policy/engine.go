package policy

import (
	"cmp"
	"math"
	"slices"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// Engines with large batches differ tenfold in prefill and decode speed, and the configuration
// does not state it. The policy learns both from the answers of all engines of a pool together,
// since one instance may see few answers of each.

const (
	// initialPrefill is the initial estimate of the prefill time of one prompt token, in seconds:
	// 50 tokens a millisecond.
	initialPrefill = 0.00002
	// initialStep and initialPerRequest are the initial estimates of the step time of an empty
	// batch and of what each request adds to it, in seconds.
	initialStep       = 0.0056
	initialPerRequest = 0.000056
	// initialFixed is the initial estimate of the part of the time to a first token that does not
	// depend on the prompt, in seconds; minFixed is its lower bound.
	initialFixed = 0.01
	minFixed     = 0.001
	// minPrefill and maxPrefill bound the learned prefill time of one prompt token, in seconds.
	minPrefill = 1e-6
	maxPrefill = 0.003

	// minPrefillSample is the number of prompt tokens from which a first token is a sample of the
	// prefill time; for fewer, the fixed time dominates. It must not depend on the estimate: with
	// one that is too fast, no prompt would be long enough to correct it.
	minPrefillSample = prefillChunk
	// maxSampleTokens bounds the weight of a sample, which grows with the square of the prompt
	// length since the relative error from the fixed time falls with it.
	maxSampleTokens = 16384
	// prefillQuantile is the quantile of the samples that is taken for the pool's prefill time;
	// prefillRatioStep is the step by which one sample moves a server's ratio to it.
	prefillQuantile  = 0.25
	prefillRatioStep = 0.05
	// maxBacklogRatio is the largest backlog, relative to the prompt, with which a first token is
	// a sample of the prefill time: the backlog of other instances is known late.
	maxBacklogRatio = 0.5
	// maxPrefillRatio bounds a server's prefill ratio in both directions.
	maxPrefillRatio = 16.0

	// quantileTolerance is the relative distance within which a sample leaves an estimate
	// unchanged.
	quantileTolerance = 0.02
	// fixedStep is the step by which one sample moves the fixed time.
	fixedStep = 0.1

	// prefillChunk is the number of prompt tokens that an engine prefills in one step beside
	// decoding, a common value for engines with chunked prefill.
	prefillChunk = 2048
	// chunkMargin is the time of a chunk late in a prompt relative to the mean chunk.
	chunkMargin = 1.4
)

// engineModel is the learned performance of a pool's engines. Times are in seconds.
type engineModel struct {
	// prefill is the time for a prompt token, step that of an empty batch's step, perRequest what
	// each request adds to a step: the weighted means of own and others.
	prefill, step, perRequest float64
	// own is estimated from this instance's answers, others from those of other instances.
	own    engineEstimates
	others loadboard.EngineSums
	// prefillSamples are this instance's samples of the prefill time.
	prefillSamples *sampleWindow
	// nearFixed and farFixed are the part of the time to a first token that does not depend on
	// the prompt, for engines in this region and in others.
	nearFixed, farFixed float64
	fit                 stepFit
}

// engineEstimates are one instance's estimates, in seconds.
type engineEstimates struct{ prefill, step, perRequest float64 }

func newEngineModel() *engineModel {
	e := &engineModel{own: engineEstimates{initialPrefill, initialStep, initialPerRequest}, prefillSamples: newSampleWindow(initialPrefill), nearFixed: initialFixed, farFixed: initialFixed}
	e.blend()
	return e
}

// weight returns the number of prompts behind the own estimates.
func (e *engineModel) weight() float64 {
	return float64(min(e.prefillSamples.count, windowSamples) - 1)
}

// sums returns the own estimates, weighted, for other instances to add up.
func (e *engineModel) sums() loadboard.EngineSums {
	w := e.weight()
	return loadboard.EngineSums{Weight: w, Speed: w * speedPower(e.own.prefill), EmptyStep: w * e.own.step / micro, PerRequest: w * e.own.perRequest / micro}
}

// speedPower returns the fourth power of the prefill speed in tokens per millisecond. The mean of
// fourth powers gives most weight to the fastest estimates; the others include queueing.
func speedPower(prefill float64) float64 { return math.Pow(milli/prefill, 4) }

// setOthers replaces the estimates of other instances.
func (e *engineModel) setOthers(others loadboard.EngineSums) {
	e.others = others
	e.blend()
}

// blend computes the weighted mean of the own estimates and the others'. An instance without own
// samples uses the others' alone.
func (e *engineModel) blend() {
	w := e.weight()
	if w+e.others.Weight == 0 {
		w = 1
	}
	totalWeight := w + e.others.Weight
	speed := math.Pow((w*speedPower(e.own.prefill)+e.others.Speed)/totalWeight, 0.25)
	e.prefill = min(max(milli/max(speed, 1), minPrefill), maxPrefill)
	e.step = (w*e.own.step + micro*e.others.EmptyStep) / totalWeight
	e.perRequest = (w*e.own.perRequest + micro*e.others.PerRequest) / totalWeight
}

// milli and micro are a millisecond and a microsecond in seconds.
const (
	milli = 1e-3
	micro = 1e-6
)

// stepAt returns the step time at batch size n.
func (e *engineModel) stepAt(n float64) float64 { return e.step + n*e.perRequest }

// stepOffset returns the batch size at which a step takes twice as long as with an empty batch.
func (e *engineModel) stepOffset() float64 { return e.step / e.perRequest }

// prefillGap returns the gap between tokens on an engine at half of its slots that prefills long
// prompts.
func (e *engineModel) prefillGap(slots int) float64 {
	return chunkMargin * (e.step + float64(slots)/2*e.perRequest + prefillChunk*e.prefill)
}

// fixed returns the part of the time to a first token that does not depend on the prompt, for the
// server's region.
func (e *engineModel) fixed(s *server) *float64 {
	if s.remote {
		return &e.farFixed
	}
	return &e.nearFixed
}

// farDelay returns the additional time to a first token that is due to the server's region.
func (e *engineModel) farDelay(s *server) float64 {
	if s.remote {
		return max(e.farFixed-e.nearFixed, 0)
	}
	return 0
}

// observeFixed records a short prompt's time to the first token less step and prefill. The
// estimate is a low quantile, as for the prefill time.
func (e *engineModel) observeFixed(s *server, sample float64) {
	fixed := e.fixed(s)
	*fixed = max(moveToQuantile(*fixed, sample, fixedStep, prefillQuantile), minFixed)
}

// generatedTokenCost returns the cost of one generated token in a large batch, in prompt tokens.
func (e *engineModel) generatedTokenCost() float64 { return e.perRequest / e.prefill }

// moveToQuantile moves an estimate one step towards quantile q of its samples.
func moveToQuantile(estimate, sample, step, q float64) float64 {
	switch {
	case math.Abs(sample-estimate) <= quantileTolerance*estimate:
		return estimate
	case sample > estimate:
		return estimate * (1 + step*q)
	}
	return estimate * (1 - step*(1-q))
}

// observePrefill records the time in which a server prefilled work prompt tokens. The estimate is
// a low quantile: the time to a first token includes prompts that other instances sent and more
// urgent prompts that came later, which are not in work and would make an idle engine seem ten
// times slower than it is.
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
	// windowSamples is the capacity of a window, windowPriorWeight the weight of its initial
	// value: that of one prompt of 4,096 tokens.
	windowSamples     = 40
	windowPriorWeight = 4096 * 4096
)

type weightedSample struct{ value, weight float64 }

// sampleWindow holds the last weighted samples of a quantity.
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

// quantile returns the least sample that has at least the fraction q of all weight at or below
// it.
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

// observeStep records a gap between tokens at batch size n, from an engine without a known
// prefill backlog.
func (e *engineModel) observeStep(n, gap float64) { e.fit.add(n, gap, e.stepAt(n)) }

// refit updates step and perRequest from the samples.
func (e *engineModel) refit(slots float64) {
	e.own.step, e.own.perRequest = e.fit.solve(slots)
	e.blend()
}

const (
	// fitWindow is the time constant, in samples, of the exponential decay of old samples.
	fitWindow = 2000.0
	// fitPrior is the weight of each of two points, an empty and a full batch, that stabilize the
	// fit while there are few samples.
	fitPrior = 10.0
	// slowGapWeight is the weight of a gap above the fit: prompts that are not known lengthen
	// gaps, and nothing shortens them.
	slowGapWeight = 0.1
	// minPerRequest keeps the fitted step time from falling with the batch size, in seconds.
	minPerRequest = 1e-6
)

// stepFit is a weighted linear regression of the gap between tokens on batch size.
type stepFit struct{ w, wn, wnn, wg, wng float64 }

// add records a gap at batch size n, for which the fit predicts expected.
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

// solve returns the step time of an empty batch and what each request adds to it. The two prior
// points are scaled to the measured gaps: unscaled, the point of a full batch of fast engines
// would make the step time of slow engines with small batches seem independent of the batch.
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
