package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// The replays play a load on several instances in front of engines that batch
// continuously, in steps of simulated time.

const (
	replayStep   = time.Millisecond
	replayStride = 6 // tokens in an event
	replayChunk  = 2048
	digestEvery  = 300 * time.Millisecond
)

// kindOf is one kind of request of a replay.
type kindOf struct {
	class       *lilacv1.Class
	perSecond   float64
	shared, own int
	subjects    uint64
	answer      int
	deadline    time.Duration
}

// speed is what a replay's engines do: the time of an empty batch's step, what each
// request adds, of one prompt token, and what passes before a first token.
type speed struct{ step, each, prefill, fixed time.Duration }

// replayJob is an attempt at an engine.
type replayJob struct {
	core  *core
	start Start
	// prompt is the length of the prompt, read what is left to read.
	prompt int
	read   int
	left   int
	made   int
	// rank is that of the request's kind.
	rank    uint32
	readyAt time.Time
}

// replayEngine reads prompts by priority, one to its end before the next, and gives
// each running answer a token a step.
type replayEngine struct {
	speed   speed
	slots   int
	running []*replayJob
	waiting []*replayJob
	// reading is the prompt in progress.
	reading *replayJob
	held    map[uint64]bool
	freeAt  time.Time
	// preempted counts requests that were put back for more urgent ones, wronged those of
	// them whose kind is more urgent than that of one that ran on.
	preempted, wronged int
	need               needyEngine
}

// outcome is how a request of a replay ended.
type outcome struct {
	kind              int
	at, began, first  time.Time
	ended             time.Time
	refused, finished bool
	paused            time.Duration
	last              time.Time
	returned          bool
}

// replay holds one run.
type replay struct {
	kinds   []kindOf
	cores   []*core
	engines map[string]*replayEngine
	ends    map[ID]*outcome
	arrived map[ID]Arrival
	random  *rand.Rand
	now     time.Time
	// refused hears of refusals; nil for none.
	refused func(Refuse)
	// boards tell loads between the instances of large fleets; nil for small ones.
	boards []*loadboard.Board
	// returns is true where callers come back once after a refusal, at the time that they
	// were told; returning are those that will.
	returns   bool
	returning []Arrival
	dueBack   []time.Time
	// first and attempts count the requests, and those of them that came back.
	first, attempts ID
}

func newReplay(seed uint64, instances, perCentre, slots int, speed speed, kinds []kindOf) *replay {
	r := &replay{
		kinds: kinds, engines: make(map[string]*replayEngine), ends: make(map[ID]*outcome),
		arrived: make(map[ID]Arrival), random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
	}
	centres := []string{"a", "b", "c"}
	snapshot := &lilacv1.Snapshot{Revision: 1, Teams: []*lilacv1.Team{{Name: "a"}}}
	for _, k := range kinds {
		snapshot.Classes = append(snapshot.Classes, k.class)
	}
	for _, centre := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("%s-%d", centre, i)
			snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
				Name: name, DataCenter: centre, Serves: []string{"llm"}, Slots: uint32(slots), CacheTokens: 600000,
				CacheTokenNs: 300, Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE,
			})
			r.engines[name] = &replayEngine{speed: speed, slots: slots, held: make(map[uint64]bool)}
		}
	}
	for i := range instances {
		c := New(Options{Instance: fmt.Sprintf("e%d", i), DataCenter: centres[i%3], Seed: seed + uint64(i), Incarnation: "1", Weights: settings.Policy{
			RetryShare: 0.2, RemoteCost: settings.Duration{Duration: 100 * ms},
		}}).(*core)
		c.Step(r.now, Configured{View: model.NewView(snapshot)})
		r.cores = append(r.cores, c)
	}
	return r
}

// run plays the load for some time, with so many times the traffic by the moment.
func (r *replay) run(length time.Duration, times func(time.Duration) float64) {
	for at := time.Duration(0); at < length; at += replayStep {
		r.now = epoch.Add(at)
		r.arrivals(times(at))
		for _, name := range sortedKeys(r.engines) {
			r.engines[name].advance(r)
		}
		if at%(500*ms) == 0 {
			r.tellWhoLives()
		}
		if at%TickInterval == 0 {
			for _, c := range r.cores {
				r.apply(c, c.Step(r.now, Tick{}))
			}
		}
		if r.boards != nil && at%loadboard.Interval == 0 {
			r.tellLoads()
		}
		if r.boards == nil && at%digestEvery == 0 {
			r.exchange()
		}
	}
}

func sortedKeys(engines map[string]*replayEngine) []string {
	var names []string
	for name := range engines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *replay) exchange() {
	for i, from := range r.cores {
		digest := from.Digest(r.now)
		digest.BindsMs = 1200
		for j, to := range r.cores {
			if i != j {
				r.apply(to, to.Step(r.now, PeerDigest{Digest: digest, At: r.now}))
			}
		}
	}
}

// tellWhoLives names each instance the others.
func (r *replay) tellWhoLives() {
	for i, c := range r.cores {
		var others []Instance
		for j, other := range r.cores {
			if i != j {
				others = append(others, Instance{other.options.Instance, other.options.DataCenter})
			}
		}
		c.Step(r.now, Fleet{Others: others})
	}
}

// withBoards makes the fleet a large one, whose instances tell loads by boards alone.
func (r *replay) withBoards() *replay {
	var all []member.Peer
	for _, c := range r.cores {
		all = append(all, member.Peer{Name: c.options.Instance, DataCenter: c.options.DataCenter})
	}
	for i, self := range all {
		board := loadboard.New(self)
		board.SetPeers(slices.Delete(slices.Clone(all), i, i+1))
		r.boards = append(r.boards, board)
	}
	return r
}

// tellLoads has each instance take its loads anew and say what is due.
func (r *replay) tellLoads() {
	byName := make(map[string]int, len(r.cores))
	for i, c := range r.cores {
		byName[c.options.Instance] = i
		r.boards[i].SetOwn(r.now, c.Loads(r.now))
		if others, known := r.boards[i].Others(r.now); known {
			r.apply(c, c.Step(r.now, LoadsTold{Word: others}))
		}
	}
	for i, board := range r.boards {
		own := r.cores[i].options
		for _, ask := range board.Due(r.now) {
			answer := r.boards[byName[ask.Peer.Name]].Receive(r.now, own.Instance, own.DataCenter, ask.Word)
			board.Answered(r.now, ask.Peer, answer)
		}
		board.Forget(r.now)
	}
}

// comeBack sends the requests again whose time to return has come, to any instance.
func (r *replay) comeBack() {
	for i := 0; i < len(r.returning); {
		if r.now.Before(r.dueBack[i]) {
			i++
			continue
		}
		a := r.returning[i]
		r.returning, r.dueBack = slices.Delete(r.returning, i, i+1), slices.Delete(r.dueBack, i, i+1)
		r.send(a)
	}
}

// send gives the request to an instance.
func (r *replay) send(a Arrival) {
	r.arrived[a.ID] = a
	c := r.cores[r.random.IntN(len(r.cores))]
	r.apply(c, c.Step(r.now, a))
}

// refuse ends a request, unless its caller comes back.
func (r *replay) refuse(a Refuse) {
	end, arrival := r.ends[a.ID], r.arrived[a.ID]
	if r.refused != nil {
		r.refused(a)
	}
	if r.returns && !end.returned && a.RetryAfter > 0 && a.RetryAfter <= arrival.Deadline.Sub(r.now)/3 {
		r.attempts++
		end.returned = true
		arrival.ID = returnedIDs + r.attempts
		r.ends[arrival.ID] = end
		r.returning, r.dueBack = append(r.returning, arrival), append(r.dueBack, r.now.Add(a.RetryAfter))
		return
	}
	end.refused, end.ended = true, r.now
}

// returnedIDs are above those of first attempts.
const returnedIDs ID = 1 << 32

func (r *replay) arrivals(times float64) {
	r.comeBack()
	for kind, k := range r.kinds {
		if r.random.Float64() >= times*k.perSecond*replayStep.Seconds() {
			continue
		}
		r.first++
		id := r.first
		a := Arrival{
			ID: id, Class: k.class.GetName(), Team: "a", Target: "llm", Digest: fmt.Sprint(id), Anchored: true,
			PromptTokens: k.shared + k.own, Deadline: r.now.Add(k.deadline), Hint: k.answer,
			Prefix: []Block{
				{Hash: uint64(kind+1)<<40 + r.random.Uint64N(k.subjects), End: k.shared},
				{Hash: 1<<50 + uint64(id), End: k.shared + k.own},
			},
		}
		r.ends[id] = &outcome{kind: kind, at: r.now}
		r.send(a)
	}
}

// apply carries out a core's actions.
func (r *replay) apply(c *core, actions []Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case Start:
			r.begin(c, a)
		case Stop:
			r.engines[a.Server].stop(c, a.ID)
		case Refuse:
			r.refuse(a)
		}
	}
}

func (r *replay) begin(c *core, start Start) {
	a, e := r.arrived[start.ID], r.engines[start.Server]
	end := r.ends[start.ID]
	if end.began.IsZero() {
		end.began = r.now
	}
	read := a.PromptTokens
	if e.held[a.Prefix[0].Hash] || start.FetchFrom != "" {
		read -= a.Prefix[0].End
	}
	e.held[a.Prefix[0].Hash] = true
	job := &replayJob{core: c, start: start, prompt: a.PromptTokens, read: read, left: r.kinds[end.kind].answer, rank: r.kinds[end.kind].class.GetRank(), readyAt: r.now.Add(e.speed.fixed)}
	e.waiting = append(e.waiting, job)
	e.need.got(r.now, c)
	r.apply(c, c.Step(r.now, Sent{ID: start.ID, Attempt: start.Attempt}))
}

func (e *replayEngine) stop(c *core, id ID) {
	gone := func(j *replayJob) bool { return j.core == c && j.start.ID == id }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	if e.reading != nil && gone(e.reading) {
		e.reading = nil
	}
}

// advance ends the step that is due and begins the next one.
func (e *replayEngine) advance(r *replay) {
	if r.now.Before(e.freeAt) {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	read := e.readChunk()
	e.freeAt = r.now.Add(e.speed.step + time.Duration(len(e.running))*e.speed.each + time.Duration(read)*e.speed.prefill)
	for _, j := range slices.Clone(e.running) {
		if j.read == 0 && !r.now.Before(j.readyAt) {
			e.token(r, j)
		}
	}
}

func (e *replayEngine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *replayJob) int { return a.start.Level - b.start.Level })
	for len(e.waiting) > 0 {
		if len(e.running) == e.slots && !e.preempt(e.waiting[0].start.Level) {
			return
		}
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// preempt puts the newest of the least urgent requests back, if it is less urgent than
// the level; its prompt is read again.
func (e *replayEngine) preempt(level int) bool {
	var victim *replayJob
	for _, j := range e.running {
		if victim == nil || j.start.Level >= victim.start.Level {
			victim = j
		}
	}
	if victim.start.Level <= level {
		return false
	}
	e.running = slices.DeleteFunc(e.running, func(j *replayJob) bool { return j == victim })
	if e.reading == victim {
		e.reading = nil
	}
	if slices.ContainsFunc(e.running, func(j *replayJob) bool { return j.rank > victim.rank }) {
		e.wronged++
	}
	victim.read = victim.prompt + victim.made
	e.waiting = append(e.waiting, victim)
	e.preempted++
	return true
}

func (e *replayEngine) readChunk() int {
	left := replayChunk
	for left > 0 {
		if e.reading == nil || e.reading.read == 0 {
			e.reading = e.nextPrompt()
		}
		if e.reading == nil {
			break
		}
		take := min(e.reading.read, left)
		e.reading.read -= take
		left -= take
	}
	return replayChunk - left
}

// nextPrompt is the most urgent prompt that is unread, the oldest of several.
func (e *replayEngine) nextPrompt() *replayJob {
	var next *replayJob
	for _, j := range e.running {
		if j.read > 0 && (next == nil || j.start.Level < next.start.Level) {
			next = j
		}
	}
	return next
}

func (e *replayEngine) token(r *replay, j *replayJob) {
	j.made++
	j.left--
	if j.made != 1 && j.made%replayStride != 0 && j.left > 0 {
		return
	}
	end := r.ends[j.start.ID]
	if j.made == 1 {
		e.need.answer(r, j)
	}
	if end.first.IsZero() {
		end.first = r.now
	} else {
		end.paused = max(end.paused, r.now.Sub(end.last))
	}
	end.last = r.now
	count := replayStride
	if j.made == 1 {
		count = 1
	}
	r.apply(j.core, j.core.Step(r.now, Tokens{ID: j.start.ID, Attempt: j.start.Attempt, Count: count}))
	if j.left <= 0 {
		e.stop(j.core, j.start.ID)
		end.finished, end.ended = true, r.now
		r.apply(j.core, j.core.Step(r.now, Finished{ID: j.start.ID, Attempt: j.start.Attempt}))
	}
}

// tally counts a kind's requests of a span of time: those that came, had their first
// token in time and their pauses within bounds, and had no answer begun.
type tally struct{ asked, inTime, nothing, begun int }

func (r *replay) tally(kind int, from, to time.Duration) (t tally) {
	k := r.kinds[kind]
	for id, end := range r.ends {
		if id > returnedIDs || end.kind != kind || end.at.Before(epoch.Add(from)) || !end.at.Before(epoch.Add(to)) {
			continue
		}
		t.asked++
		if !end.began.IsZero() {
			t.begun++
		}
		target := time.Duration(k.class.GetFirstTokenMs()) * ms
		between := time.Duration(k.class.GetBetweenTokensMs()) * ms * replayStride
		switch {
		case end.first.IsZero():
			t.nothing++
		case end.first.Sub(end.at) <= target && end.paused <= between:
			t.inTime++
		}
	}
	return t
}
