package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// partFleet runs several instances against engines of which each ends when it begins an answer to
// a prompt with a crashing part, and counts what arrives at the engines.

const (
	engineSlots = 16
	// prefillTime is the time in which an engine reads a prompt, one after another; answerTime is
	// that from the first token of an answer to its last.
	prefillTime = 15 * ms
	answerTime  = 600 * ms
	// crashNoticeTime is the time until an instance notices that its connections are gone.
	crashNoticeTime = 120 * ms
	// restartTime is the time until a crashed engine is back, under a new name.
	restartTime = 3 * time.Second
	// meshDigests and treeDigests are the intervals of digests in a small and in a large fleet,
	// urgentInterval that of announced ones; meshDelay and treeDelay are the times that they take.
	meshDigests, treeDigests = time.Second, 1500 * ms
	urgentInterval           = 500 * ms
	meshDelay, treeDelay     = 30 * ms, 400 * ms
	// settleTime is the time within which all instances must have agreed.
	settleTime = 4 * time.Second
	// commitDelay is the time until a change of the replicated log is in force everywhere.
	commitDelay = 300 * ms
	// crashesUntilBlock is the number of crashes after which a part must be blocked,
	// arrivalsAfterBlock how many requests with it may still reach engines from settleTime on.
	crashesUntilBlock  = 5
	arrivalsAfterBlock = 3
)

// badPart is the id of the crashing part, subjects the number of parts that a class's requests
// share beside their first.
const (
	badPart  = 0xbad
	subjects = 40
)

type partRequest struct {
	parts []uint64
	bad   bool
	// arrivedAt is when the request was sent, began whether its first attempt got an answer.
	arrivedAt time.Time
	attempts  int
	began     bool
	refused   *Refuse
}

// partFleet is a simulation run.
type partFleet struct {
	simulation
	random      *rand.Rand
	instances   []*fleetInstance
	engines     []*partEngine
	byName      map[string]*partEngine
	convictions map[string]*lilacv1.Conviction
	requests    map[ID]*partRequest
	lastID      ID
	announced   bool
	digestsAt   time.Time
	// lostDigests is the share of digests that get lost.
	lostDigests float64
	// crashes are the times at which engines ended under a bad request, badArrivals those at which
	// bad requests reached engines.
	crashes, badArrivals []time.Time
	// blocked are the parts that were convicted, with the time of the first decision.
	blocked map[string]time.Time
	// trials counts the requests with a blocked part that were let through.
	trials int
	// membershipAt is when the instances last learned which others they reach.
	membershipAt time.Time
	// tickEvery is the interval of ticks.
	tickEvery time.Duration
	// stateDown is true while the replicated log accepts nothing.
	stateDown bool
}

func newPartFleet(seed uint64, instances, engines int) *partFleet {
	f := &partFleet{
		simulation: simulation{now: epoch}, random: rand.New(rand.NewPCG(seed, 2)), byName: make(map[string]*partEngine),
		tickEvery: fleetTick, convictions: make(map[string]*lilacv1.Conviction), requests: make(map[ID]*partRequest), blocked: make(map[string]time.Time),
	}
	if instances > member.MeshLimit {
		f.tickEvery = 100 * ms
	}
	for i := range engines {
		f.engines = append(f.engines, &partEngine{slot: i})
	}
	view := f.view()
	for i := range instances {
		in := &fleetInstance{name: fmt.Sprintf("e%d", i), dataCenter: dataCenterOf(i)}
		f.instances = append(f.instances, in)
		f.start(in, view)
	}
	f.updateMembership()
	f.at(0, f.tick)
	f.at(0, f.exchangeDigests)
	return f
}

// view returns the current configuration revision.
func (f *partFleet) view() *model.View {
	snapshot := &lilacv1.Snapshot{Revision: 1, Teams: []*lilacv1.Team{{Name: "a"}}}
	for _, class := range partClasses {
		snapshot.Classes = append(snapshot.Classes, &lilacv1.Class{Name: class.name, FirstTokenMs: 1000, MaxAttempts: 2})
	}
	for _, e := range f.engines {
		f.byName[e.name()] = e
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
			Name: e.name(), DataCenter: dataCenterOf(e.slot), Serves: []string{"llm"}, Slots: engineSlots, Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE,
			CacheTokens: 600000, CacheTokenNs: 300,
		})
	}
	for _, conviction := range f.convictions {
		snapshot.Convictions = append(snapshot.Convictions, conviction)
	}
	return model.NewView(snapshot)
}

func (f *partFleet) start(in *fleetInstance, view *model.View) {
	in.starts++
	in.down = false
	in.core = New(Options{
		Instance: in.name, DataCenter: in.dataCenter, Incarnation: fmt.Sprint(in.starts), Seed: f.random.Uint64(),
		Weights: settings.Policy{RetryShare: 0.2, RemoteCost: settings.Duration{Duration: 100 * ms}},
	}).(*core)
	in.core.Step(f.now, Configured{View: view})
}

// restart kills the process and starts it again a moment later.
func (f *partFleet) restart(in *fleetInstance) {
	in.down = true
	f.after(time.Second, func() { f.start(in, f.view()) })
}

func (f *partFleet) tick() {
	if f.now.Sub(f.membershipAt) >= membershipInterval {
		f.membershipAt = f.now
		f.updateMembership()
	}
	for _, in := range f.instances {
		f.step(in, Tick{})
	}
	f.after(f.tickEvery, f.tick)
}

func (f *partFleet) updateMembership() {
	for _, in := range f.instances {
		f.step(in, Fleet{Others: in.reachable(f.instances)})
	}
}

// exchangeDigests sends the digests when they are due or announced.
func (f *partFleet) exchangeDigests() {
	interval, delay := meshDigests, meshDelay
	if len(f.instances) > member.MeshLimit {
		interval, delay = treeDigests, treeDelay
	}
	due := f.now.Sub(f.digestsAt)
	if f.announced && due >= urgentInterval || due >= interval {
		f.announced, f.digestsAt = false, f.now
		f.sendDigests(delay)
	}
	f.after(100*ms, f.exchangeDigests)
}

func (f *partFleet) sendDigests(delay time.Duration) {
	var digests []*lilacv1.Digest
	for _, in := range f.instances {
		d := &lilacv1.Digest{}
		if !in.down {
			d = in.core.Digest(f.now)
			d.BindsMs = 4000
		}
		digests = append(digests, d)
	}
	if len(f.instances) <= member.MeshLimit {
		for i, from := range f.instances {
			for _, to := range f.instances {
				if from != to && !from.down && from.cutOff == to.cutOff {
					f.deliver(to, digests[i], delay)
				}
			}
		}
		return
	}
	f.sendCombined(digests, delay)
}

// sendCombined sends each instance the combined digest of all others, as a tree does.
func (f *partFleet) sendCombined(digests []*lilacv1.Digest, delay time.Duration) {
	for _, cutOff := range []bool{false, true} {
		var side []int
		for i, in := range f.instances {
			if in.cutOff == cutOff && !in.down {
				side = append(side, i)
			}
		}
		before := []*lilacv1.Digest{nil}
		for _, i := range side {
			before = append(before, member.Combine(member.Others, "", before[len(before)-1], digests[i]))
		}
		var after *lilacv1.Digest
		for k := len(side) - 1; k >= 0; k-- {
			others := member.Combine(member.Others, "", before[k], after)
			others.Sequence = uint64(f.sequence)
			f.deliver(f.instances[side[k]], others, delay)
			after = member.Combine(member.Others, "", after, digests[side[k]])
		}
	}
}

func (f *partFleet) deliver(to *fleetInstance, d *lilacv1.Digest, delay time.Duration) {
	if f.random.Float64() < f.lostDigests {
		return
	}
	f.after(delay, func() { f.step(to, PeerDigest{Digest: d, At: f.now}) })
}

// partClass is a kind of request with its number of tokens.
type partClass struct {
	name  string
	share float64
}

var partClasses = []partClass{{"plan", 0.3}, {"review", 0.2}, {"summary", 0.5}}

// sound sends sound requests at the given rate, to instances at random. Those of a class share
// its first part and one of some subjects.
func (f *partFleet) sound(from, to time.Duration, perSecond float64) {
	f.traffic(from, to, perSecond, func() {
		class, left := 0, f.random.Float64()
		for left > partClasses[class].share && class < len(partClasses)-1 {
			left -= partClasses[class].share
			class++
		}
		subject := uint64(class+1)<<20 + f.random.Uint64N(subjects)
		f.send(partClasses[class].name, []uint64{uint64(class+1) << 32, subject}, false)
	})
}

// bad sends requests with the crashing part: beside parts that sound requests have too, and first
// if alone is true.
func (f *partFleet) bad(from, to time.Duration, perSecond float64, part uint64, alone bool) {
	f.traffic(from, to, perSecond, func() {
		parts := []uint64{3 << 32, 3<<20 + f.random.Uint64N(subjects), part}
		if alone {
			parts = []uint64{part}
		}
		f.send("summary", parts, true)
	})
}

func (f *partFleet) traffic(from, to time.Duration, perSecond float64, send func()) {
	var next func()
	next = func() {
		if f.now.Sub(epoch) >= to {
			return
		}
		send()
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.at(from, next)
}

// send sends a request to an instance at random. Its prompt ends with a part of its own.
func (f *partFleet) send(class string, parts []uint64, bad bool) {
	in := f.instances[f.random.IntN(len(f.instances))]
	if in.down {
		return
	}
	f.lastID++
	id := f.lastID
	f.requests[id] = &partRequest{parts: parts, bad: bad, arrivedAt: f.now}
	a := Arrival{
		ID: id, Class: class, Team: "a", Target: "llm", Digest: fmt.Sprint(id), PromptTokens: 1500, Pinned: true, Idempotent: true,
		Deadline: f.now.Add(10 * time.Second), Hint: 40, Parts: parts,
	}
	var hash uint64
	for i, part := range append(slices.Clone(parts), 1<<60+uint64(id)) {
		hash = hash*0x9e3779b97f4a7c15 + part
		a.Prefix = append(a.Prefix, Block{Hash: hash, End: 350 * (i + 1)})
	}
	f.step(in, a)
}

func (f *partFleet) step(in *fleetInstance, event Event) {
	if in.down {
		return
	}
	for _, action := range slices.Clone(in.core.Step(f.now, event)) {
		switch a := action.(type) {
		case Start:
			f.attempt(in, a)
		case Stop:
			f.stop(in, a)
		case Refuse:
			f.requests[a.ID].refused = &a
		case Announce:
			f.announced = true
		case Convict:
			f.convict(a)
		case LiftConviction:
			f.after(commitDelay, func() {
				delete(f.convictions, a.Digest)
				f.configureAll()
			})
		case ClaimTrial:
			f.claimTrial(in, a)
		case PartTried:
			f.trials++
		}
	}
}

// convict puts the conviction into force everywhere once the log has accepted it.
func (f *partFleet) convict(a Convict) {
	if strings.HasPrefix(a.Digest, "part:") && f.blocked[a.Digest].IsZero() {
		f.blocked[a.Digest] = f.now
	}
	if f.stateDown {
		return
	}
	f.after(commitDelay, func() {
		if f.convictions[a.Digest] != nil {
			return
		}
		f.convictions[a.Digest] = &lilacv1.Conviction{Digest: a.Digest, Servers: a.Servers, ExpiresUnixMs: f.now.Add(24 * time.Hour).UnixMilli()}
		f.configureAll()
	})
}

// claimTrial grants each trial once, as the replicated log does. The instance hears of it later
// than all others, or never if it is restarted.
func (f *partFleet) claimTrial(in *fleetInstance, claim ClaimTrial) {
	process := in.starts
	f.after(commitDelay, func() {
		conviction := f.convictions[claim.Digest]
		if conviction == nil || in.cutOff || conviction.GetTrials() >= uint32(claim.Trial) {
			return
		}
		claimed := proto.CloneOf(conviction)
		claimed.Trials = uint32(claim.Trial)
		f.convictions[claim.Digest] = claimed
		f.configureAll()
		f.after(commitDelay, func() {
			if in.starts == process {
				f.step(in, TrialClaimed{Digest: claim.Digest})
			}
		})
	})
}

func (f *partFleet) configureAll() {
	view := f.view()
	for _, in := range f.instances {
		f.step(in, Configured{View: view})
	}
}

// lateArrivals counts the bad requests that reached engines later than settleTime after the crash
// after which their part must be blocked.
func (f *partFleet) lateArrivals() int {
	if len(f.crashes) < crashesUntilBlock {
		return 0
	}
	from := f.crashes[crashesUntilBlock-1].Add(settleTime)
	late := 0
	for _, at := range f.badArrivals {
		if at.After(from) {
			late++
		}
	}
	return late
}

// begunShare returns the share of the sound requests of a span of time that began at their first
// attempt.
func (f *partFleet) begunShare(from, to time.Duration) float64 {
	sent, begun := 0, 0
	for _, r := range f.requests {
		if r.bad || r.arrivedAt.Before(epoch.Add(from)) || !r.arrivedAt.Before(epoch.Add(to)) {
			continue
		}
		sent++
		if r.began {
			begun++
		}
	}
	return float64(begun) / float64(max(sent, 1))
}

// outage crashes that many engines, spread over the given time, whatever they run.
func (f *partFleet) outage(from, within time.Duration, engines int) {
	for _, slot := range f.random.Perm(len(f.engines))[:engines] {
		f.at(from+time.Duration(f.random.Float64()*float64(within)), func() { f.crash(f.engines[slot]) })
	}
}

// outageSeries crashes that many engines over and over, with the given pause.
func (f *partFleet) outageSeries(from, within time.Duration, engines int, pause time.Duration) {
	for at := from; at < partRunLength; at += within + pause {
		f.outage(at, within, engines)
	}
}
