package policy

import (
	"slices"

	"time"

	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/choose"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// lateReserve is what late requests leave free besides: what can still be on
	// time shall not have to wait for them.
	lateReserve = 2
	// overReserve is what requests above the quota leave free besides: there are
	// more of them than the split counts on, and tier 0 shall not feel it.
	overReserve = 0.5
	// firstReserve and stepReserve are the slots of each server that tier 1
	// leaves free for tier 0, and what each further tier leaves besides.
	firstReserve = 1
	stepReserve  = 0.5
	// rankReserve is the part of each large engine's slots that a class leaves free for
	// each rank of its tier that is more urgent: long answers hold their slots for many
	// seconds, and a burst of urgent ones would wait for their ends.
	rankReserve = 0.08
	// toldReserve is what requests leave free besides of each large engine where loads are
	// told in steps: many instances start requests between two words.
	toldReserve = 1
	// crowdWeight is the weight of what a request adds to others' gaps.
	crowdWeight = 0.5
	// workWeight keeps requests with their shared prompt until its engine is about
	// to miss their target: 13,000 tokens weigh as much as a wait of 0.9 of it.
	workWeight = 6
	// paceWeight is the share at which the pace of an anchored answer counts.
	paceWeight = 0.2
	// nearFirst, nearSecond and nearShare are how much more than the least a
	// server may cost to be taken for the sake of copies elsewhere: the first and
	// second by rendezvous hash, and others; see docs/notes/crashing-requests.md.
	nearFirst  = 1.0
	nearSecond = 0.5
	nearShare  = 0.1
)

// reservesOf returns what each tier leaves free of each server. Free slots
// keep urgent first tokens on time and cost throughput, so a fleet that weighs
// attainment higher against wasted and lost work keeps up to one more.
func reservesOf(weights settings.Policy) (reserves [model.Tiers]float64) {
	attainment := 0.5
	if sum := weights.AttainmentWeight + weights.WasteWeight; sum > 0 {
		attainment = weights.AttainmentWeight / sum
	}
	for tier := 1; tier < len(reserves); tier++ {
		reserves[tier] = firstReserve + attainment + stepReserve*float64(tier-1)
	}
	return reserves
}

// chooser holds the ways of choosing and the memory that they share.
type chooser struct {
	onTime choose.Chooser
	late   choose.Chooser
	// anchored and anchoredLate are the same for anchored requests, whose homes
	// take the place of the rank.
	// anchoredOnce takes a late first token before a prompt read twice.
	anchored, anchoredLate, anchoredOnce choose.Chooser
	// displacing is for urgent requests that start in the place of bulk, displacingLate for
	// those that can't be in time.
	displacing, displacingLate choose.Chooser
	candidates                 []choose.Candidate
	reserves                   [model.Tiers]float64
}

func newChooser(weights settings.Policy) chooser {
	scorers := []choose.Scorer{choose.CompletionTime{}, choose.Remote{Cost: weights.RemoteCost.Duration}, choose.Contention{Weight: crowdWeight}, choose.FailurePenalty{}}
	anchored := []choose.Scorer{choose.PrefillTime{Weight: workWeight}, choose.LatenessRisk{}, choose.DecodeTime{Weight: paceWeight}, choose.Remote{Cost: weights.RemoteCost.Duration}, choose.AffinityPenalty{}, choose.FailurePenalty{}}
	late := []choose.Filter{choose.Available{}, choose.WithinCapacity{}, choose.Quarantine{}}
	onTime := append(slices.Clone(late), choose.OnTime{})
	apart := append(slices.Clone(late), choose.NoInterference{})
	once := append(slices.Clone(apart), choose.NoDuplicatePrefill{})
	firstOnTime := append(slices.Clone(once), choose.FirstTokenOnTime{})
	picker := choose.NearLowestCost{FirstMargin: nearFirst, SecondMargin: nearSecond, Margin: nearShare}
	return chooser{
		reserves:       reservesOf(weights),
		onTime:         choose.Chooser{Filters: onTime, Scorers: scorers, Picker: picker},
		late:           choose.Chooser{Filters: late, Scorers: scorers, Picker: picker},
		anchored:       choose.Chooser{Filters: firstOnTime, Scorers: anchored, Picker: choose.LowestCost{}},
		anchoredLate:   choose.Chooser{Filters: apart, Scorers: anchored, Picker: choose.LowestCost{}},
		anchoredOnce:   choose.Chooser{Filters: once, Scorers: anchored, Picker: choose.LowestCost{}},
		displacingLate: choose.Chooser{Filters: once, Scorers: []choose.Scorer{choose.DisplacementOrder{}}, Picker: choose.LowestCost{}},
		displacing:     choose.Chooser{Filters: firstOnTime, Scorers: []choose.Scorer{choose.DisplacementOrder{}}, Picker: choose.LowestCost{}},
	}
}

// describe fills in the candidates for a request; a large pool is sampled. It returns
// true where only the engines that suit the request were looked at, and a wide look
// would find others.
func (c *core) describe(now time.Time, r *request, wide bool) (narrow bool) {
	servers, h := r.pool.servers, c.homesOf(now, r)
	c.choice.candidates = c.choice.candidates[:0]
	if at := slices.Index(servers, c.identical.serverToJoin(now, r)); at >= 0 {
		c.choice.candidates = append(c.choice.candidates, servers[at].candidate(r, now, at, &h))
		return false
	}
	if len(servers) <= choose.SampleSize+choose.SampleSize/2 {
		for i, s := range servers {
			c.choice.candidates = append(c.choice.candidates, s.candidate(r, now, i, &h))
		}
		return false
	}
	c.describeLimited(now, r, &h)
	if r.Pinned && h.first() != nil && !wide {
		c.describeHomes(now, r, &h)
		return true
	}
	start := c.random.IntN(len(servers))
	step := 1 + c.random.IntN(len(servers)-1)
	for i := range choose.SampleSize {
		at := (start + i*step) % len(servers)
		c.choice.candidates = append(c.choice.candidates, servers[at].candidate(r, now, at, &h))
	}
	return false
}

// describeLimited looks at the servers in need that this instance may send a request to now.
// Few instances may, and what one of them doesn't send nobody else does.
func (c *core) describeLimited(now time.Time, r *request, h *homes) {
	for i, s := range r.pool.servers {
		if s.limited.Advertised && !s.limitReached(now) {
			c.choice.candidates = append(c.choice.candidates, s.candidate(r, now, i, h))
		}
	}
}

// describeHomes looks at the request's homes and at the engines that hold its
// prompt.
//
// It guards against a herd: 78 instances that see the same loads, half a second
// old, all send to the engine that was the least loaded then. It shows as engines
// with 5 s of prompts to read beside idle ones. It holds because each shared part has
// homes of its own, spread over all engines.
func (c *core) describeHomes(now time.Time, r *request, h *homes) {
	for i, s := range r.pool.servers {
		if h.place(s) > 0 || s == h.holder || s == h.keeper {
			c.choice.candidates = append(c.choice.candidates, s.candidate(r, now, i, h))
		}
	}
}

// how says how a request looks for a server.
type how struct {
	reserve, over float64
	late          bool
	alone         bool
}

// choose returns the server for the request, or nil while none has room. Where the
// engines that suit it are full it looks at others, as soon as that costs less than to
// wait.
func (c *core) choose(now time.Time, r *request, h how) *server {
	narrow := c.describe(now, r, h.late)
	s := c.pick(now, r, h)
	if s == nil && narrow && r.leavesHomes(now) {
		c.describe(now, r, true)
		s = c.pick(now, r, h)
	}
	if s == nil && r.mayDisplace() {
		s = c.displace(now, r, h)
	}
	return s
}

// displace returns an engine on which the request starts in the place of bulk, or nil.
func (c *core) displace(now time.Time, r *request, h how) *server {
	homes := c.homesOf(now, r)
	c.choice.candidates = c.choice.candidates[:0]
	for i, s := range r.pool.servers {
		if s.displaceLeft >= 1 {
			c.choice.candidates = append(c.choice.candidates, s.displaced(r, now, i, &homes))
		}
	}
	s := c.pickBy(&c.choice.displacing, now, r, h)
	if s == nil {
		s = c.pickBy(&c.choice.displacingLate, now, r, h)
		r.expectedLate = s != nil
	}
	if s != nil {
		s.displaceLeft--
		r.displacing = true
	}
	return s
}

// leavesHomes tells whether the request goes to engines that don't hold its prompt: at
// once where others share little of it, else after half of the time that it may wait.
func (r *request) leavesHomes(now time.Time) bool {
	shared := r.Prefix[len(r.Prefix)-2].End
	return shared < leastAgain || now.Sub(r.item.Arrived) >= r.item.Due.Sub(r.item.Arrived)/2
}

// pick returns the best of the servers that were described.
func (c *core) pick(now time.Time, r *request, h how) *server {
	way := &c.choice.onTime
	anchored := r.Pinned && !r.pool.service
	if anchored {
		way = &c.choice.anchored
	}
	if h.late || !c.possible(r) {
		way = &c.choice.late
		if anchored {
			way = &c.choice.anchoredLate
		}
	}
	s := c.pickBy(way, now, r, h)
	if s == nil && way == &c.choice.anchored {
		// No engine is in time: it waits where its prompt is.
		s = c.pickBy(&c.choice.anchoredOnce, now, r, h)
		r.expectedLate = s != nil
	}
	return s
}

// pickBy returns the best of the described servers in one way of choosing.
func (c *core) pickBy(way *choose.Chooser, now time.Time, r *request, h how) *server {
	asked := choose.Request{
		FirstTokenBudget: r.slack(now), FirstTokenTarget: r.firstTokenTarget(), TokenGapTarget: r.tokenGapTarget(), Avoid: r.failedOn,
		RemainingTokens: r.left(c), ReservedSlots: h.reserve, Overcommit: h.over, Suspect: h.alone,
	}
	if len(r.pool.servers) == 1 {
		asked.Avoid = ""
	}
	at := way.Choose(&asked, c.choice.candidates, c.random)
	if at < 0 {
		return nil
	}
	return r.pool.servers[c.choice.candidates[at].Index]
}

// possible tells whether any server that is looked at keeps the gap between
// tokens at all, empty; if none does, waiting for one would help nobody.
func (c *core) possible(r *request) bool {
	between := r.tokenGapTarget()
	if between == 0 || r.pool.service {
		return true
	}
	for i := range c.choice.candidates {
		candidate := &c.choice.candidates[i]
		s := r.pool.servers[candidate.Index]
		if !candidate.Unavailable && s.gapAt(1) <= between {
			return true
		}
	}
	return false
}

// left is the expected number of tokens to come.
func (r *request) left(c *core) float64 {
	if r.pool.service {
		return 0
	}
	left := c.estimates.Remaining(r.key(), r.tokens)
	if r.Hint > r.tokens {
		// Callers' guesses are right at the median, a class's lengths differ thirtyfold.
		left = float64(r.Hint - r.tokens)
	}
	if r.MaxTokens > 0 {
		left = min(left, float64(max(r.MaxTokens-r.tokens, 1)))
	}
	return left
}
