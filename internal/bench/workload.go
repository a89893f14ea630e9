package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// blockTokens is the length of a prefix block in tokens.
const blockTokens = 16

// call is one request of a caller and its outcome.
type call struct {
	id         uint64
	class      *class
	team       int
	at         time.Duration
	instance   int
	prompt     int
	output     int
	prefix     []uint64
	digest     string
	idempotent bool
	// crashes is true for a request that crashes each engine that runs it.
	crashes bool

	received int
	first    time.Duration
	last     time.Duration
	ended    time.Duration
	outcome  outcome
	refusal  string
	restarts int
	ranTwice bool
	runs     int
	// mayHaveRun is true if the last attempt failed after it was sent.
	mayHaveRun bool
	// lastStart and server are the start time and server of the latest attempt.
	lastStart time.Duration
	server    string
}

type outcome int

const (
	pending outcome = iota
	answered
	refused
	broken
	abandoned
)

// met reports whether the answer was complete and within the targets of its class.
// The time between tokens is the mean over the answer, including stalls.
func (k *call) met() bool { return k.metFirst() && k.metBetween() }

func (k *call) metFirst() bool {
	return k.outcome == answered && k.first-k.at <= k.class.first
}

func (k *call) metBetween() bool {
	if k.outcome != answered {
		return false
	}
	if k.class.between == 0 || k.output < 2 {
		return true
	}
	return (k.last-k.first)/time.Duration(k.output-1) <= k.class.between
}

// ran counts one execution at a server.
func (k *call) ran() {
	k.runs++
	k.ranTwice = k.ranTwice || !k.idempotent && k.runs > 1
}

// wait returns the time to the first token, or to the end of a call without tokens.
func (k *call) wait() time.Duration {
	if k.received > 0 || k.outcome == answered {
		return k.first - k.at
	}
	return k.ended - k.at
}

func lognormal(r *rand.Rand, median, sigma float64) int {
	return max(1, number.Int(median*math.Exp(sigma*r.NormFloat64())))
}

// maxOutput is the largest number of tokens in an answer.
const maxOutput = 4000

// pickTeam returns a random team. Two large teams send half of the requests.
func pickTeam(r *rand.Rand) int {
	if u := r.Float64(); u < 0.3 {
		return 0
	} else if u < 0.5 {
		return 1
	}
	return 2 + r.IntN(teamCount-2)
}

func mix(parts ...uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, part := range parts {
		h = (h ^ part) * 1099511628211
		h ^= h >> 29
	}
	return h
}

// blocks returns the prefix hashes with the end of each block in tokens.
func (c *call) blocks() []policy.Block {
	all := make([]policy.Block, len(c.prefix))
	for i, hash := range c.prefix {
		all[i] = policy.Block{Hash: hash, End: (i + 1) * blockTokens}
	}
	return all
}

// prefixOf returns the chained block hashes of a prompt, shared blocks first.
func prefixOf(classIndex, team, history, shared, prompt int, id uint64) []uint64 {
	blocks := prompt / blockTokens
	hashes := make([]uint64, 0, blocks)
	previous := mix(uint64(classIndex), uint64(team), uint64(history))
	for i := range blocks {
		if i < shared {
			previous = mix(previous, uint64(i))
		} else {
			previous = mix(previous, uint64(i), id)
		}
		hashes = append(hashes, previous)
	}
	return hashes
}

// generate returns all arrivals of a run. They are the same for every policy.
func generate(f *fleet, s *scenario, seed uint64) []*call {
	var calls []*call
	for index := range f.classes {
		r := rand.New(rand.NewPCG(seed, uint64(index)+1))
		calls = append(calls, arrivalsOf(f, s, index, r)...)
	}
	slices.SortStableFunc(calls, func(a, b *call) int { return int(a.at - b.at) })
	for i, k := range calls {
		k.id = uint64(i + 1)
		k.digest = fmt.Sprintf("%016x", mix(seed, k.id))
	}
	return calls
}

func arrivalsOf(f *fleet, s *scenario, index int, r *rand.Rand) []*call {
	var calls []*call
	k := &f.classes[index]
	at := time.Duration(0)
	for {
		rate := k.rate * s.load
		if s.burstFor > 0 && k.name == f.burst && at >= s.burstAt && at < s.burstAt+s.burstFor {
			rate = k.rate * s.burstFactor(f)
		}
		at += number.Seconds(r.ExpFloat64() / rate)
		if at >= s.length {
			return calls
		}
		calls = append(calls, newCall(f, s, index, at, r))
	}
}

func newCall(f *fleet, s *scenario, index int, at time.Duration, r *rand.Rand) *call {
	k := &f.classes[index]
	c := &call{class: k, at: at, team: pickTeam(r), instance: r.IntN(instanceCount)}
	if s.burstFor > 0 && s.burstAtOneInstance && k.name == f.burst && at >= s.burstAt && at < s.burstAt+s.burstFor {
		c.instance = 0
	}
	c.idempotent = r.Float64() < k.idempotent
	c.prompt = min(lognormal(r, k.prompt, 0.3), 6000)
	history := r.IntN(max(k.histories, 1))
	id := r.Uint64()
	if k.service {
		return c
	}
	c.prompt = max(c.prompt, (k.shared+1)*blockTokens)
	c.prefix = prefixOf(index, c.team, history, k.shared, c.prompt, id)
	// The median depends on the team, so that estimates per class and team can learn it.
	teamFactor := 0.7 + 0.6*float64(c.team)/(teamCount-1)
	median := k.output * teamFactor
	if s.longAt > 0 && at >= s.longAt && at < s.longUntil && k.tier >= 1 {
		median *= s.longFactor
	}
	c.output = min(lognormal(r, median, k.spread), maxOutput)
	return c
}
