package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/choose"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// lateReserve is the additional number of slots that late requests leave free for requests
	// that can still be on time.
	lateReserve = 2
	// overQuotaReserve is the additional number of slots that requests above the quota leave
	// free: the split does not account for them, and they must not delay tier 0.
	overQuotaReserve = 0.5
	// tierReserve is the number of slots of each server that tier 1 leaves free for tier 0,
	// tierReserveStep what each further tier leaves in addition.
	tierReserve     = 1
	tierReserveStep = 0.5
	// rankReserve is the fraction of each large engine's slots that a class leaves free for each
	// more urgent rank of its tier: long answers hold their slots for many seconds, and a burst
	// of urgent requests would wait for them to end.
	rankReserve = 0.08
	// staleLoadReserve is the additional number of slots of each large engine that requests leave
	// free while loads come from the load board: many instances start requests between two
	// updates.
	staleLoadReserve = 1
	// contentionWeight is the weight of the longer gaps that a request causes for others.
	contentionWeight = 0.5
	// prefillWeight keeps requests at the engine that has their shared prompt until they would
	// almost miss their target there: 13,000 tokens weigh as much as a wait of 0.9 of the target.
	prefillWeight = 6
	// decodeWeight is the weight of the gap between tokens of a pinned answer.
	decodeWeight = 0.2
	// nearFirstMargin, nearSecondMargin and nearMargin are by what fraction a server may cost
	// more than the cheapest one and still be chosen, so that copies of a request meet on the
	// same server: the first and second by rendezvous hash, and others; see
	// docs/notes/crashing-requests.md.
	nearFirstMargin  = 1.0
	nearSecondMargin = 0.5
	nearMargin       = 0.1
)

// tierReserves returns the slots that each tier leaves free on each server. Free slots keep first
// tokens of urgent requests on time but cost throughput, so the reserve grows by up to one slot
// with the weight of attainment against wasted and lost work.
func tierReserves(weights settings.Policy) (reserves [model.Tiers]float64) {
	attainment := 0.5
	if sum := weights.AttainmentWeight + weights.WasteWeight; sum > 0 {
		attainment = weights.AttainmentWeight / sum
	}
	for tier := 1; tier < len(reserves); tier++ {
		reserves[tier] = tierReserve + attainment + tierReserveStep*float64(tier-1)
	}
	return reserves
}

// chooser holds the selectors for the kinds of requests and the buffers they share.
type chooser struct {
	// onTime requires a server to meet the targets, late does not.
	onTime choose.Chooser
	late   choose.Chooser
	// pinned and pinnedLate are the same for pinned requests, which have homes instead of the
	// rendezvous rank. pinnedNoDuplicate allows a late first token but no duplicate prefill.
	pinned, pinnedLate, pinnedNoDuplicate choose.Chooser
	// displacing is for urgent requests that displace bulk, displacingLate for those that cannot
	// be in time.
	displacing, displacingLate choose.Chooser
	candidates                 []choose.Candidate
	reserves                   [model.Tiers]float64
}

func newChooser(weights settings.Policy) chooser {
	scorers := []choose.Scorer{choose.CompletionTime{}, choose.Remote{Cost: weights.RemoteCost.Duration}, choose.Contention{Weight: contentionWeight}, choose.FailurePenalty{}}
	pinnedScorers := []choose.Scorer{choose.PrefillTime{Weight: prefillWeight}, choose.LatenessRisk{}, choose.DecodeTime{Weight: decodeWeight}, choose.Remote{Cost: weights.RemoteCost.Duration}, choose.AffinityPenalty{}, choose.FailurePenalty{}}
	late := []choose.Filter{choose.Available{}, choose.WithinCapacity{}, choose.WithinMemory{}, choose.Quarantine{}}
	onTime := append(slices.Clone(late), choose.OnTime{})
	noInterference := append(slices.Clone(late), choose.NoInterference{})
	noDuplicate := append(slices.Clone(noInterference), choose.NoDuplicatePrefill{})
	firstOnTime := append(slices.Clone(noDuplicate), choose.FirstTokenOnTime{})
	picker := choose.NearLowestCost{FirstMargin: nearFirstMargin, SecondMargin: nearSecondMargin, Margin: nearMargin}
	return chooser{
		reserves:          tierReserves(weights),
		onTime:            choose.Chooser{Filters: onTime, Scorers: scorers, Picker: picker},
		late:              choose.Chooser{Filters: late, Scorers: scorers, Picker: picker},
		pinned:            choose.Chooser{Filters: firstOnTime, Scorers: pinnedScorers, Picker: choose.LowestCost{}},
		pinnedLate:        choose.Chooser{Filters: noInterference, Scorers: pinnedScorers, Picker: choose.LowestCost{}},
		pinnedNoDuplicate: choose.Chooser{Filters: noDuplicate, Scorers: pinnedScorers, Picker: choose.LowestCost{}},
		displacingLate:    choose.Chooser{Filters: noDuplicate, Scorers: []choose.Scorer{choose.DisplacementOrder{}}, Picker: choose.LowestCost{}},
		displacing:        choose.Chooser{Filters: firstOnTime, Scorers: []choose.Scorer{choose.DisplacementOrder{}}, Picker: choose.LowestCost{}},
	}
}

// collectCandidates lists the candidates for a request; it samples a large pool. It returns true
// if it listed only the engines that suit the request and a call with wide set would list others.
func (c *core) collectCandidates(now time.Time, r *request, wide bool) (narrow bool) {
	servers, h := r.pool.servers, c.homesOf(now, r)
	c.choice.candidates = c.choice.candidates[:0]
	if index := slices.Index(servers, c.identical.serverToJoin(now, r)); index >= 0 {
		c.choice.candidates = append(c.choice.candidates, servers[index].candidate(r, now, index, &h))
		return false
	}
	if r.limitedByVersion() {
		c.collectVersion(now, r, &h)
		return false
	}
	c.collectHolders(now, r, &h)
	if len(servers) <= choose.SampleSize+choose.SampleSize/2 {
		for i, s := range servers {
			c.choice.candidates = append(c.choice.candidates, s.candidate(r, now, i, &h))
		}
		return false
	}
	c.collectLimited(now, r, &h)
	if r.Pinned && h.first() != nil && !wide {
		c.collectHomes(now, r, &h)
		return true
	}
	start := c.random.IntN(len(servers))
	step := 1 + c.random.IntN(len(servers)-1)
	for i := range choose.SampleSize {
		index := (start + i*step) % len(servers)
		c.choice.candidates = append(c.choice.candidates, servers[index].candidate(r, now, index, &h))
	}
	return false
}

// collectLimited lists the rate-limited servers that this instance may send a request to now.
// Only a few instances may send to them, and capacity that one of these leaves unused is lost.
func (c *core) collectLimited(now time.Time, r *request, h *homes) {
	for i, s := range r.pool.servers {
		if s.rateLimit.Advertised && !s.limitReached(now) {
			c.choice.candidates = append(c.choice.candidates, s.candidate(r, now, i, h))
		}
	}
}

// collectHomes lists the request's homes and the engines that have its prompt.
//
// Instances that see the same loads, half a second old, would otherwise all send to the engine
// that was the least loaded then: with 78 instances, some engines had 5 s of prompts to prefill
// beside idle ones. Here each shared prefix has its own homes, spread over all engines.
func (c *core) collectHomes(now time.Time, r *request, h *homes) {
	for i, s := range r.pool.servers {
		if h.ordinal(s) > 0 || s == h.holder || s == h.assigned {
			c.choice.candidates = append(c.choice.candidates, s.candidate(r, now, i, h))
		}
	}
}

// chooseOptions are constraints on the choice of a server.
type chooseOptions struct {
	// reserve is the number of slots of each server to leave free, overcommit the number of
	// requests that may run above a server's limit.
	reserve, overcommit float64
	// late drops the requirement that the targets be met.
	late bool
	// suspect excludes servers with another suspect.
	suspect bool
}

// choose returns the server for the request, or nil if none has a free slot. Where the engines
// that suit the request are full, it considers others, after some wait, and then engines with
// bulk to displace.
func (c *core) choose(now time.Time, r *request, opts chooseOptions) *server {
	narrow := c.collectCandidates(now, r, opts.late)
	s := c.pick(now, r, opts)
	if s == nil && narrow && r.mayLeaveHomes(now) {
		c.collectCandidates(now, r, true)
		s = c.pick(now, r, opts)
	}
	if s == nil && r.mayDisplace() {
		s = c.displace(now, r, opts)
	}
	return s
}

// displace returns an engine on which the request can displace bulk, or nil.
func (c *core) displace(now time.Time, r *request, opts chooseOptions) *server {
	h := c.homesOf(now, r)
	c.choice.candidates = c.choice.candidates[:0]
	for i, s := range r.pool.servers {
		if s.displaceBudget >= 1 {
			c.choice.candidates = append(c.choice.candidates, s.displacingCandidate(r, now, i, &h))
		}
	}
	s := c.pickWith(&c.choice.displacing, now, r, opts)
	if s == nil {
		s = c.pickWith(&c.choice.displacingLate, now, r, opts)
		r.expectedLate = s != nil
	}
	if s != nil {
		s.displaceBudget--
		r.displacing = true
	}
	return s
}

// mayLeaveHomes reports whether the request may go to engines that do not have its prompt: at
// once if it shares little of it, else after half of the time that it may wait.
func (r *request) mayLeaveHomes(now time.Time) bool {
	shared := r.Prefix[len(r.Prefix)-2].End
	return shared < minDuplicatePrefill || now.Sub(r.item.Arrived) >= r.item.Due.Sub(r.item.Arrived)/2
}

// pick returns the best of the collected candidates, or nil.
func (c *core) pick(now time.Time, r *request, opts chooseOptions) *server {
	selector := &c.choice.onTime
	pinned := r.Pinned && !r.pool.service
	if pinned {
		selector = &c.choice.pinned
	}
	if opts.late || !c.gapAchievable(r) || !c.firstAchievable(now, r) {
		selector = &c.choice.late
		if pinned {
			selector = &c.choice.pinnedLate
		}
	}
	s := c.pickWith(selector, now, r, opts)
	if s == nil && selector == &c.choice.pinned {
		// No engine is in time: prefer the wait at an engine that has the prompt.
		s = c.pickWith(&c.choice.pinnedNoDuplicate, now, r, opts)
		r.expectedLate = s != nil
	}
	return s
}

// pickWith returns the best of the collected candidates by the selector, or nil.
func (c *core) pickWith(selector *choose.Chooser, now time.Time, r *request, opts chooseOptions) *server {
	req := choose.Request{
		FirstTokenBudget: r.slack(now), FirstTokenTarget: r.firstTokenTarget(), TokenGapTarget: r.tokenGapTarget(), Avoid: r.failedOn,
		RemainingTokens: r.tokensLeft(c), ReservedSlots: opts.reserve, Overcommit: opts.overcommit, Suspect: opts.suspect,
	}
	if len(r.pool.servers) == 1 || r.versionBound && r.versionServers(now) == 1 {
		req.Avoid = ""
	}
	index := selector.Choose(&req, c.choice.candidates, c.random)
	if index < 0 {
		return nil
	}
	return r.pool.servers[c.choice.candidates[index].Index]
}

// gapAchievable reports whether any candidate keeps the target between tokens even when idle; if
// none does, waiting would not help.
func (c *core) gapAchievable(r *request) bool {
	target := r.tokenGapTarget()
	if target == 0 || r.pool.service {
		return true
	}
	for i := range c.choice.candidates {
		candidate := &c.choice.candidates[i]
		s := r.pool.servers[candidate.Index]
		if !candidate.Unavailable && s.gapAt(1) <= target {
			return true
		}
	}
	return false
}

// firstAchievable reports whether any candidate of a plain service would answer in time even when
// idle. If none does, waiting would make the answer later still. Engines start pinned requests
// late by pinnedNoDuplicate.
func (c *core) firstAchievable(now time.Time, r *request) bool {
	budget := r.slack(now)
	if !r.pool.service || budget <= 0 {
		return true
	}
	for i := range c.choice.candidates {
		candidate := &c.choice.candidates[i]
		if s := r.pool.servers[candidate.Index]; !candidate.Unavailable && s.firstToken(1, 0, 0) <= budget {
			return true
		}
	}
	return false
}

// tokensLeft returns the expected number of tokens still to come.
func (r *request) tokensLeft(c *core) float64 {
	if r.pool.service {
		return 0
	}
	left := c.estimates.Remaining(r.key(), r.tokens)
	if r.Hint > r.tokens {
		// A caller's hint is right at the median; answer lengths of a class differ thirtyfold.
		left = float64(r.Hint - r.tokens)
	}
	if r.MaxTokens > 0 {
		left = min(left, float64(max(r.MaxTokens-r.tokens, 1)))
	}
	return left
}
