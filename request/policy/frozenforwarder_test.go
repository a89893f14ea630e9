package policy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// frozenForwarder is a replay of callers who ask again at once. One instance after the other is
// frozen that forwards the connections to the server of its data centre, and the servers accept no
// connections at times.
type frozenForwarder struct {
	c        *core
	random   *rand.Rand
	now      time.Time
	asksAt   []time.Time
	requests map[ID]*deskRequest
	lastID   ID
	served   int
	timeouts int
	// refused counts requests refused for lack of room by message, others those that ended otherwise
	// by kind; repeated is the number of requests that must run once and were sent again.
	refused, others map[string]int
	repeated        int
}

type deskRequest struct {
	caller     int
	idempotent bool
	// sent is true once the request was sent to a server.
	sent bool
	// attempt is the running attempt, 0 for none, which ends at endsAt. It fails then if dialFails.
	attempt   int
	server    string
	startedAt time.Time
	endsAt    time.Time
	dialFails bool
}

const (
	deskTime = 600 * ms
	// An instance is frozen for freezeLength at the end of each freezeTurn.
	freezeTurn   = 5 * time.Second
	freezeLength = 3 * time.Second
	// Requests use the connections of the frozen instance for oldConnections.
	oldConnections = 400 * ms
	// The servers accept no connections for queuesFullFor in each queuesTurn.
	queuesTurn    = 2 * time.Second
	queuesFullFor = 250 * ms
)

func newFrozenForwarder(seed uint64) *frozenForwarder {
	f := &frozenForwarder{c: coreWithThreeDesks(), random: rand.New(rand.NewPCG(seed, 1)), now: epoch, requests: make(map[ID]*deskRequest), refused: make(map[string]int), others: make(map[string]int)}
	for i := range 96 {
		f.asksAt = append(f.asksAt, epoch.Add(time.Duration(i)*ms))
	}
	return f
}

// frozenCentre returns the data centre whose instance is frozen, for how long and until when; ok is
// false if none is.
func (f *frozenForwarder) frozenCentre() (centre string, since time.Duration, until time.Time, ok bool) {
	turn := f.now.Sub(epoch) / freezeTurn
	until = epoch.Add((turn + 1) * freezeTurn)
	since = freezeLength - until.Sub(f.now)
	return deskCentres[int(turn)%len(deskCentres)], since, until, since >= 0
}

func (f *frozenForwarder) apply(actions []Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case Start:
			f.start(a)
		case Stop:
			if r := f.requests[a.ID]; r != nil {
				r.attempt = 0
			}
			f.apply(f.c.Step(f.now, Stopped{ID: a.ID, Attempt: a.Attempt, MayHaveRun: true}))
		case Refuse:
			switch {
			case a.Kind == lilacv1.ErrorKind_ERROR_KIND_TIMEOUT:
				f.timeouts++
			case a.Shortage != nil:
				f.refused[a.Message]++
			default:
				f.others[a.Kind.String()]++
			}
			f.end(a.ID)
		}
	}
}

func (f *frozenForwarder) start(a Start) {
	r := f.requests[a.ID]
	r.attempt, r.server, r.startedAt, r.endsAt, r.dialFails = a.Attempt, a.Server, f.now, f.now.Add(deskTime), false
	centre, since, until, ok := f.frozenCentre()
	switch {
	case ok && a.Server == "desk-"+centre && since < oldConnections:
		r.endsAt = until.Add(ms)
	case f.now.Sub(epoch)%queuesTurn < queuesFullFor && f.random.IntN(2) == 0:
		r.endsAt, r.dialFails = f.now.Add(dialTimeout), true
		return
	}
	if r.sent && !r.idempotent {
		f.repeated++
	}
	r.sent = true
	f.apply(f.c.Step(f.now, Sent{ID: a.ID, Attempt: a.Attempt}))
}

// end has the caller send the next request.
func (f *frozenForwarder) end(id ID) {
	f.asksAt[f.requests[id].caller] = f.now.Add(time.Duration(f.random.Int64N(int64(20 * ms))))
	delete(f.requests, id)
}

// freeze delays the answers that the frozen instance forwards.
func (f *frozenForwarder) freeze() {
	centre, since, until, ok := f.frozenCentre()
	if !ok || since >= TickInterval {
		return
	}
	for _, r := range f.requests {
		if r.attempt > 0 && !r.dialFails && r.server == "desk-"+centre {
			r.endsAt = until.Add(ms)
		}
	}
}

func (f *frozenForwarder) exchangeDigests(sequence uint64) {
	silent, _, _, ok := f.frozenCentre()
	for _, centre := range deskCentres {
		if !ok || centre != silent {
			f.apply(f.c.Step(f.now, PeerDigest{Digest: &lilacv1.Digest{Instance: "e-" + centre, DataCenter: centre, Sequence: sequence}, At: f.now}))
		}
	}
}

func (f *frozenForwarder) endAttempts() {
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		r := f.requests[id]
		if r == nil || r.attempt == 0 || f.now.Before(r.endsAt) {
			continue
		}
		attempt := r.attempt
		r.attempt = 0
		if r.dialFails {
			f.apply(f.c.Step(f.now, Failed{ID: id, Attempt: attempt, Crashed: true, Silent: true}))
			continue
		}
		f.served++
		f.apply(f.c.Step(f.now, Tokens{ID: id, Attempt: attempt, Count: 1}))
		f.apply(f.c.Step(f.now, Finished{ID: id, Attempt: attempt}))
		f.end(id)
	}
}

func (f *frozenForwarder) run(length time.Duration) {
	for sequence := uint64(1); f.now.Before(epoch.Add(length)); f.now = f.now.Add(TickInterval) {
		if f.now.Sub(epoch)%digestInterval < TickInterval {
			sequence++
			f.exchangeDigests(sequence)
		}
		f.freeze()
		f.endAttempts()
		for caller, at := range f.asksAt {
			if !at.IsZero() && !f.now.Before(at) {
				f.asksAt[caller] = time.Time{}
				f.lastID++
				r := &deskRequest{caller: caller, idempotent: f.lastID%2 == 0}
				f.requests[f.lastID] = r
				arrival := look(f.lastID, f.now)
				arrival.Idempotent = r.idempotent
				f.apply(f.c.Step(f.now, arrival))
			}
		}
		f.apply(f.c.Step(f.now, Tick{}))
	}
}

// Guards against an instance that refuses everything for lack of room while at most half of the
// slots are used, after another one that forwards its connections froze.
func TestNothingIsRefusedForRoomWhileAForwarderIsFrozen(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFrozenForwarder(seed)
		f.run(45 * time.Second)
		t.Logf("seed %d: %d served, %d past their deadlines, refused %v, others %v", seed, f.served, f.timeouts, f.refused, f.others)
		is.Equal(f.refused, map[string]int{})
		is.Equal(f.repeated, 0)
		is.Equal(f.c.stats.Violations, map[Invariant]uint64{})
	}
}
