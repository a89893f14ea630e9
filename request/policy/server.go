package policy

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

const (
	// defaultSlots is how many requests a server runs at once if it doesn't say.
	defaultSlots = 8
	// minOverloadBackoff is how long a server that refused for load gets nothing, at least.
	minOverloadBackoff = 100 * time.Millisecond
	// initialEjection is how long a failed server gets nothing; it doubles up to ejectMost.
	initialEjection = time.Second
	maxEjection     = 8 * time.Second
	// defaultStepOffset is the size of a batch at which a step costs twice what an empty
	// one would: engines' steps take a fixed time and some for each request.
	defaultStepOffset = 6
	// defaultGapPerRequest is the gap between tokens over batch size plus batchBase, in
	// seconds, before anything was measured.
	defaultGapPerRequest = 0.0018
	// defaultPrefill is the time for a prompt token before anything was measured, in seconds.
	defaultPrefill = 0.00015
	// defaultServiceTime is the time of a plain service's answer before anything was measured, in seconds.
	defaultServiceTime = 0.08
	// sampleWeight is the weight of one measurement; jumpLearn where it is far off.
	sampleWeight  = 0.05
	outlierWeight = 0.2
	outlierRatio  = 2.5
	// headroom keeps the gap between tokens below its target.
	headroom = 0.93
	// historyLength times slowTick is how far back own load is remembered.
	historyLength = 64
	// leavingGrace is within what time a leaving server's news must take effect.
	leavingGrace = 3 * time.Second
	// reportAgeScale is the age at which a report of load counts half, in seconds.
	reportAgeScale = 0.4
	// typicalDigestAge is the usual age of what peers tell, in seconds.
	typicalDigestAge = 0.35
)

// server is a backend server as this instance sees it.
type server struct {
	name string
	// key is its name in told loads.
	key        uint32
	dataCenter string
	// remote is true for servers of other regions.
	remote  bool
	service bool
	// largeBatch is true for engines whose configuration tells the size of their cache.
	largeBatch bool
	slots      int
	// configLeaving is the operators' word, leaving and gone membership's.
	configLeaving, leaving, gone bool
	closedAt                     time.Time

	running []*request
	// ownBacklog is the prompt work of own requests that have no first token yet.
	ownBacklog backlog
	// peerBacklog is the same of other instances, by their digests.
	peerBacklog backlog
	// peerLoad is what other instances run here, by their digests.
	peerLoad float64
	// boardLoad and toldAhead are the same of all others together, where they tell
	// their loads beside their digests.
	boardLoad    float64
	boardBacklog backlog
	// boardBulk counts those of the others' requests that give way to more urgent ones.
	boardBulk float64
	// otherLoad joins peers with reports.
	otherLoad float64

	// engine is what was learned of the pool's engines; nil for servers with small
	// batches and plain services.
	engine *engineModel
	// prefillRatio is how much longer than its pool the server reads a prompt token.
	prefillRatio float64
	// stepOffset is the batch at which a step costs twice what an empty one does.
	stepOffset    float64
	gapPerRequest float64
	prefill       float64
	// fetchPerToken is how long a token of KV cache takes from another engine; 0 where
	// it can't be fetched.
	fetchPerToken time.Duration
	serviceTime   float64
	decoding      int
	lastTokenAt   time.Time
	stall         time.Duration
	peerGapAt     time.Time

	history      [historyLength]int16
	historyIndex int
	reportAge    float64
	reportedLoad float64

	ejectedUntil time.Time
	ejectFor     time.Duration
	// probing allows one request at a time until the server has proved itself.
	probing   bool
	crashedAt time.Time
	// crashFirstReportedAt is the first word of the last crash, fellHeard the latest, from anyone.
	crashFirstReportedAt, crashLastReportedAt time.Time
	busyUntil                                 time.Time

	// leavingUntil is how long a peer's word that the server leaves holds.
	leavingUntil time.Time
	// leavingNoticeAt is the first word of the platform that it leaves, wentAt when it
	// was seen to have gone.
	leavingNoticeAt, goneAt time.Time
	// lastResponseAt is the last answer or token of any own request.
	lastResponseAt time.Time
	// failureRate is the share of requests that failed here lately.
	failureRate float64
	// lane is what an engine is kept for; see lanes.
	lane lane
	// noLongPromptsUntil is how long an engine that left the tight lane reads no long prompts.
	noLongPromptsUntil time.Time
	// unreachable is true while the server's data centre is out of reach.
	unreachable bool
	// skipped is true while others fill the server's room; see herd.
	skipped bool
	// startBudget is how many more requests than end here this instance starts until the next
	// word of loads, displaceLeft how many it starts in the place of others.
	startBudget, displaceBudget float64
	// fullUntil is how long the server counts as full after a late first token.
	fullUntil time.Time

	// limited is how many requests a second the server says that it takes.
	limited serverLimit
	allowed allowance

	trial      string
	peerTrials int
	cache      prefixCache
}

func newServer(name string) *server {
	return &server{name: name, key: loadboard.Key(name), stepOffset: defaultStepOffset, gapPerRequest: defaultGapPerRequest, prefill: defaultPrefill, serviceTime: defaultServiceTime, prefillRatio: 1, startBudget: math.Inf(1), cache: newPrefixCache()}
}

func (s *server) closed() bool { return s.configLeaving || s.leaving || s.gone }

func (s *server) unavailable(now time.Time) bool {
	if s.closed() || s.unreachable || now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) || now.Before(s.busyUntil) || now.Before(s.fullUntil) || s.held(now) {
		return true
	}
	return s.probing && len(s.running) > 0
}

// load is the estimated number of requests of all instances on the server.
func (s *server) load() float64 { return float64(len(s.running)) + s.otherLoad }

// gapAt is the expected gap between tokens in a batch of n.
func (s *server) gapAt(n float64) time.Duration {
	gap := time.Duration(s.gapPerRequest * (n + s.stepOffset) * float64(time.Second))
	return max(gap, s.stall)
}

// maxBatch is the batch size that keeps the gap within the target.
func (s *server) maxBatch(target time.Duration) float64 {
	if target <= 0 {
		return float64(s.slots)
	}
	return min(float64(s.slots), headroom*target.Seconds()/s.gapPerRequest-s.stepOffset)
}

// limit is how many requests the server takes: what keeps the tightest target
// in the pool, or where it can't keep that at all, the asking class's own.
func (s *server) limit(poolTarget, classTarget time.Duration) float64 {
	if s.service {
		return float64(s.slots) * serviceOvercommit
	}
	n := s.maxBatch(poolTarget)
	if n < minStrictBatch {
		n = s.maxBatch(classTarget)
	}
	return max(n, 1)
}

// gapTarget is the gap between tokens that the server's batch is kept within for a request
// with the given one: beside a tight lane, its answers need not be thought of elsewhere.
func (s *server) gapTarget(p *pool, classTarget time.Duration) time.Duration {
	if s.engine != nil && p.hasLane[laneTight] && s.lane != laneTight {
		return classTarget
	}
	return p.minBetween
}

const (
	// serviceOvercommit lets calls to plain services wait at the service a little:
	// they are shorter than the age of what is known of its load.
	serviceOvercommit = 1.5
	// minStrictBatch is the batch below which a server is left to looser classes.
	minStrictBatch = 3
)

// decayGap lets a gap that nobody measures any more return to the pool's.
func (s *server) decayGap(now time.Time, poolGapPerRequest float64) {
	if s.engine != nil {
		poolGapPerRequest = s.engine.perRequest
	}
	if now.Sub(s.lastTokenAt) > gapMaxAge && now.Sub(s.peerGapAt) > gapMaxAge && s.gapPerRequest > poolGapPerRequest {
		s.gapPerRequest += gapDecay * (poolGapPerRequest - s.gapPerRequest)
	}
}

// observeResponse takes in the time to a first token, or to a service's answer.
func (s *server) observeResponse(r *request, took time.Duration) {
	if s.service {
		s.serviceTime += sampleWeight * (took.Seconds() - s.serviceTime)
		return
	}
	work := r.uncached + r.ahead
	if s.engine != nil {
		if r.fetched == 0 && r.ahead <= maxBacklogRatio*r.uncached {
			s.observePrefill(took, work)
		}
		return
	}
	if work < 64 {
		return
	}
	sample := (took - s.gapAt(s.load())).Seconds() / work
	sample = min(max(sample, 0), 20*defaultPrefill)
	s.prefill += sampleWeight * (sample - s.prefill)
}

// observePrefill takes in the time to a first token after so much prompt work. The step
// in which the token was made is the engine's usual one: the server's own gaps include
// those beside long prompts.
func (s *server) observePrefill(took time.Duration, work float64) {
	elapsed := took.Seconds() - s.engine.stepAt(s.load())
	if work < minPrefillSample {
		s.engine.observeFixed(s, elapsed-s.prefill*work)
		return
	}
	s.engine.observePrefill(s, max(elapsed-s.engine.farDelay(s), 0), work)
}

// backlogBefore is the prompt work of all instances before a request of the level.
func (s *server) backlogBefore(level int) float64 {
	return s.ownBacklog.before(level) + s.peerBacklog.before(level) + s.boardBacklog.before(level)
}

// firstToken is the expected time to the first token of a prompt on top of load n.
func (s *server) firstToken(n, uncached float64, level int) time.Duration {
	if s.service {
		return time.Duration(s.serviceTime * max(1, n/float64(s.slots)) * float64(time.Second))
	}
	first := s.gapAt(n) + time.Duration(s.prefill*(uncached+s.backlogBefore(level))*float64(time.Second))
	if s.engine != nil {
		first += time.Duration(*s.engine.fixed(s) * float64(time.Second))
	}
	if excess := n - float64(s.slots); excess > 0 {
		first += time.Duration(excess * slotWaitGaps * float64(s.gapAt(n)))
	}
	return first
}

const (
	// failureSampleWeight is the weight of one request's end in a server's share of
	// failures.
	failureSampleWeight = 0.15
	// failureDecay is what the share loses at each slowTick: half in 4.6 s, so that
	// a server that failed is tried again.
	failureDecay = 0.015
)

// slotWaitGaps is how many gaps it takes until one of a full batch ends.
const slotWaitGaps = 12

// sampleLoad remembers own load and notices a server that fell silent: its own
// requests have begun their answers, and no token came for several gaps.
func (s *server) sampleLoad(now time.Time) {
	s.historyIndex = (s.historyIndex + 1) % historyLength
	s.history[s.historyIndex] = int16(len(s.running))
	s.failureRate -= failureDecay * s.failureRate
	s.stall = 0
	if s.decoding == 0 {
		return
	}
	silent := now.Sub(s.lastTokenAt)
	if silent > minStall && silent > stallGaps*s.gapAt(s.load()) {
		s.stall = silent
	}
}

const (
	// stallGaps is how many gaps of silence make a stall, stallFloor the least time.
	stallGaps = 5
	minStall  = 250 * time.Millisecond
)

// runningAgo returns how many own requests the server ran some time ago.
func (s *server) runningAgo(age time.Duration) float64 {
	steps := int(age / slowTick)
	if steps >= historyLength {
		steps = historyLength - 1
	}
	return float64(s.history[(s.historyIndex-steps+historyLength)%historyLength])
}

// estimateOtherLoad weighs what peers tell against what the server reported, by age.
func (s *server) estimateOtherLoad(peersKnown bool) {
	if s.reportAge < 0 {
		s.otherLoad = s.peerLoad + s.boardLoad
		return
	}
	if !peersKnown {
		s.otherLoad = s.reportedLoad
		return
	}
	reportWeight := 1 / (reportAgeScale + s.reportAge)
	// Reports older than a few seconds describe other requests than today's.
	if s.reportAge > 2 {
		reportWeight = 0
	}
	digestWeight := 1 / (reportAgeScale + typicalDigestAge)
	s.otherLoad = (reportWeight*s.reportedLoad + digestWeight*(s.peerLoad+s.boardLoad)) / (reportWeight + digestWeight)
}

// eject keeps new work away after a failure, for longer each time.
func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectFor = min(max(2*s.ejectFor, initialEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejectFor)
	s.probing = true
}

// endProbing ends the server's probation.
func (s *server) endProbing() {
	s.probing = false
	s.ejectFor = 0
}

func (s *server) attach(r *request) {
	r.ownAt = len(s.running)
	s.running = append(s.running, r)
}

func (s *server) detach(r *request) {
	last := len(s.running) - 1
	s.running[r.ownAt] = s.running[last]
	s.running[r.ownAt].ownAt = r.ownAt
	s.running[last] = nil
	s.running = s.running[:last]
}
