package policy

import (
	"math"
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

const (
	// defaultSlots is how many requests a server runs at once if it doesn't say.
	defaultSlots = 8
	// minBusy is how long a server that refused for load gets nothing, at least.
	minBusy = 100 * time.Millisecond
	// ejectFirst is how long a failed server gets nothing; it doubles up to ejectMost.
	ejectFirst = time.Second
	ejectMost  = 8 * time.Second
	// batchBase is the size of a batch at which a step costs twice what an empty
	// one would: engines' steps take a fixed time and some for each request.
	batchBase = 6
	// defaultNorm is the gap between tokens over batch size plus batchBase, in
	// seconds, before anything was measured.
	defaultNorm = 0.0018
	// defaultPrefill is the time for a prompt token before anything was measured, in seconds.
	defaultPrefill = 0.00015
	// defaultService is the time of a plain service's answer before anything was measured, in seconds.
	defaultService = 0.08
	// learn is the weight of one measurement; jumpLearn where it is far off.
	learn     = 0.05
	jumpLearn = 0.2
	jump      = 2.5
	// headroom keeps the gap between tokens below its target.
	headroom = 0.93
	// historyLength times slowTick is how far back own load is remembered.
	historyLength = 64
	// leavingGrace is within what time a leaving server's news must take effect.
	leavingGrace = 3 * time.Second
	// reportTrust is the age at which a report of load counts half, in seconds.
	reportTrust = 0.4
	// digestAge is the usual age of what peers tell, in seconds.
	digestAge = 0.35
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
	// large is true for engines whose configuration tells the size of their cache.
	large bool
	slots int
	// configLeaving is the operators' word, leaving and gone membership's.
	configLeaving, leaving, gone bool
	closedAt                     time.Time

	own []*request
	// ahead is the prompt work of own requests that have no first token yet.
	ahead backlog
	// peersAhead is the same of other instances, by their digests.
	peersAhead backlog
	// peers is what other instances run here, by their digests.
	peers float64
	// toldLoad and toldAhead are the same of all others together, where they tell
	// their loads beside their digests.
	toldLoad  float64
	toldAhead backlog
	// toldYielding counts those of the others' requests that give way to more urgent ones.
	toldYielding float64
	// others joins peers with reports.
	others float64

	// engine is what was learned of the pool's engines; nil for servers with small
	// batches and plain services.
	engine *engineModel
	// slow is how much longer than its pool the server reads a prompt token.
	slow float64
	// base is the batch at which a step costs twice what an empty one does.
	base    float64
	norm    float64
	prefill float64
	// cacheToken is how long a token of KV cache takes from another engine; 0 where
	// it can't be fetched.
	cacheToken time.Duration
	answer     float64
	decoding   int
	lastToken  time.Time
	stall      time.Duration
	heardGap   time.Time

	history   [historyLength]int16
	historyAt int
	reportAge float64
	reported  float64

	ejectedUntil time.Time
	ejectFor     time.Duration
	// probing allows one request at a time until the server has proved itself.
	probing   bool
	crashedAt time.Time
	// fellAt is the first word of the last crash, fellHeard the latest, from anyone.
	fellAt, fellHeard time.Time
	busyUntil         time.Time

	// leavingUntil is how long a peer's word that the server leaves holds.
	leavingUntil time.Time
	// leavesAt is the first word of the platform that it leaves, wentAt when it
	// was seen to have gone.
	leavesAt, wentAt time.Time
	// heardAt is the last answer or token of any own request.
	heardAt time.Time
	// trouble is the share of requests that failed here lately.
	trouble float64
	// lane is what an engine is kept for; see lanes.
	lane lane
	// quietUntil is how long an engine that left the tight lane reads no long prompts.
	quietUntil time.Time
	// cut is true while the server's data centre is out of reach.
	cut bool
	// shunned is true while others fill the server's room; see herd.
	shunned bool
	// startsLeft is how many more requests than end here this instance starts until the next
	// word of loads, displaceLeft how many it starts in the place of others.
	startsLeft, displaceLeft float64
	// fullUntil is how long the server counts as full after a late first token.
	fullUntil time.Time

	// limited is how many requests a second the server says that it takes.
	limited serverLimit
	allowed allowance

	trial      string
	peerTrials int
	cache      prefixSet
}

func newServer(name string) *server {
	return &server{name: name, key: loadboard.Key(name), base: batchBase, norm: defaultNorm, prefill: defaultPrefill, answer: defaultService, slow: 1, startsLeft: math.Inf(1), cache: newPrefixSet()}
}

func (s *server) closed() bool { return s.configLeaving || s.leaving || s.gone }

func (s *server) barred(now time.Time) bool {
	if s.closed() || s.cut || now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) || now.Before(s.busyUntil) || now.Before(s.fullUntil) || s.limitReached(now) {
		return true
	}
	return s.probing && len(s.own) > 0
}

// load is the estimated number of requests of all instances on the server.
func (s *server) load() float64 { return float64(len(s.own)) + s.others }

// gapAt is the expected gap between tokens in a batch of n.
func (s *server) gapAt(n float64) time.Duration {
	gap := time.Duration(s.norm * (n + s.base) * float64(time.Second))
	return max(gap, s.stall)
}

// sustain is the batch size that keeps the gap within the target.
func (s *server) sustain(target time.Duration) float64 {
	if target <= 0 {
		return float64(s.slots)
	}
	return min(float64(s.slots), headroom*target.Seconds()/s.norm-s.base)
}

// limit is how many requests the server takes: what keeps the tightest target
// in the pool, or where it can't keep that at all, the asking class's own.
func (s *server) limit(tight, own time.Duration) float64 {
	if s.service {
		return float64(s.slots) * serviceOver
	}
	n := s.sustain(tight)
	if n < minTight {
		n = s.sustain(own)
	}
	return max(n, 1)
}

// paced is the gap between tokens that the server's batch is kept within for a request
// with the given one: beside a tight lane, its answers need not be thought of elsewhere.
func (s *server) paced(p *pool, own time.Duration) time.Duration {
	if s.engine != nil && p.hasLane[laneTight] && s.lane != laneTight {
		return own
	}
	return p.tight
}

const (
	// serviceOver lets calls to plain services wait at the service a little:
	// they are shorter than the age of what is known of its load.
	serviceOver = 1.5
	// minTight is the batch below which a server is left to looser classes.
	minTight = 3
)

// fade lets a gap that nobody measures any more return to the pool's.
func (s *server) fade(now time.Time, poolNorm float64) {
	if s.engine != nil {
		poolNorm = s.engine.each
	}
	if now.Sub(s.lastToken) > forgetAfter && now.Sub(s.heardGap) > forgetAfter && s.norm > poolNorm {
		s.norm += forgetting * (poolNorm - s.norm)
	}
}

// answered takes in the time to a first token, or to a service's answer.
func (s *server) answered(r *request, took time.Duration) {
	if s.service {
		s.answer += learn * (took.Seconds() - s.answer)
		return
	}
	work := r.uncached + r.workAhead
	if s.engine != nil {
		if r.fetched == 0 && r.workAhead <= aheadMost*r.uncached {
			s.learnReading(took, work)
		}
		return
	}
	if work < 64 {
		return
	}
	sample := (took - s.gapAt(s.load())).Seconds() / work
	sample = min(max(sample, 0), 20*defaultPrefill)
	s.prefill += learn * (sample - s.prefill)
}

// learnReading takes in the time to a first token after so much prompt work. The step
// in which the token was made is the engine's usual one: the server's own gaps include
// those beside long prompts.
func (s *server) learnReading(took time.Duration, work float64) {
	reading := took.Seconds() - s.engine.stepAt(s.load())
	if work < readingLeast {
		s.engine.waited(s, reading-s.prefill*work)
		return
	}
	s.engine.read(s, max(reading-s.engine.way(s), 0), work)
}

// before is the prompt work of all instances before a request of the level.
func (s *server) before(level int) float64 {
	return s.ahead.before(level) + s.peersAhead.before(level) + s.toldAhead.before(level)
}

// firstToken is the expected time to the first token of a prompt on top of load n.
func (s *server) firstToken(n, uncached float64, level int) time.Duration {
	if s.service {
		return time.Duration(s.answer * max(1, n/float64(s.slots)) * float64(time.Second))
	}
	first := s.gapAt(n) + time.Duration(s.prefill*(uncached+s.before(level))*float64(time.Second))
	if s.engine != nil {
		first += time.Duration(*s.engine.fixed(s) * float64(time.Second))
	}
	if over := n - float64(s.slots); over > 0 {
		first += time.Duration(over * slotWait * float64(s.gapAt(n)))
	}
	return first
}

const (
	// troubleLearn is the weight of one request's end in a server's share of
	// failures.
	troubleLearn = 0.15
	// troubleFade is what the share loses at each slowTick: half in 4.6 s, so that
	// a server that failed is tried again.
	troubleFade = 0.015
)

// slotWait is how many gaps it takes until one of a full batch ends.
const slotWait = 12

// sample remembers own load and notices a server that fell silent: its own
// requests have begun their answers, and no token came for several gaps.
func (s *server) sample(now time.Time) {
	s.historyAt = (s.historyAt + 1) % historyLength
	s.history[s.historyAt] = int16(len(s.own))
	s.trouble -= troubleFade * s.trouble
	s.stall = 0
	if s.decoding == 0 {
		return
	}
	silent := now.Sub(s.lastToken)
	if silent > stallFloor && silent > stallGaps*s.gapAt(s.load()) {
		s.stall = silent
	}
}

const (
	// stallGaps is how many gaps of silence make a stall, stallFloor the least time.
	stallGaps  = 5
	stallFloor = 250 * time.Millisecond
)

// ownAgo returns how many own requests the server ran some time ago.
func (s *server) ownAgo(age time.Duration) float64 {
	back := int(age / slowTick)
	if back >= historyLength {
		back = historyLength - 1
	}
	return float64(s.history[(s.historyAt-back+historyLength)%historyLength])
}

// join weighs what peers tell against what the server reported, by age.
func (s *server) join(peersKnown bool) {
	if s.reportAge < 0 {
		s.others = s.peers + s.toldLoad
		return
	}
	if !peersKnown {
		s.others = s.reported
		return
	}
	report := 1 / (reportTrust + s.reportAge)
	// Reports older than a few seconds describe other requests than today's.
	if s.reportAge > 2 {
		report = 0
	}
	digest := 1 / (reportTrust + digestAge)
	s.others = (report*s.reported + digest*(s.peers+s.toldLoad)) / (report + digest)
}

// eject keeps new work away after a failure, for longer each time.
func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectFor = min(max(2*s.ejectFor, ejectFirst), ejectMost)
	s.ejectedUntil = now.Add(s.ejectFor)
	s.probing = true
}

// proved ends the server's probation.
func (s *server) proved() {
	s.probing = false
	s.ejectFor = 0
}

func (s *server) attach(r *request) {
	r.serverIndex = len(s.own)
	s.own = append(s.own, r)
}

func (s *server) detach(r *request) {
	last := len(s.own) - 1
	s.own[r.serverIndex] = s.own[last]
	s.own[r.serverIndex].serverIndex = r.serverIndex
	s.own[last] = nil
	s.own = s.own[:last]
}
