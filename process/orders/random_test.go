package orders

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/lease"
)

const (
	simulationStep = 500 * time.Millisecond
	leaseTime      = 10 * time.Second
)

// later is something that happens at a time, unless its holder is frozen then.
type delayed struct {
	at        time.Time
	candidate *candidate
	do        func()
}

// holder is an instance that may hold the lease.
type candidate struct {
	name        string
	core        *Core
	grant       lease.Grant
	nextRequest time.Time
	frozenUntil time.Time
}

// target is an engine with what it has and the newest number that landed.
type simulatedEngine struct {
	Engine
	loaded        map[Model]bool
	newestFencing uint64
}

// world drives holders and engines with delays, lost answers and freezes, under
// one lease whose leader has a clock of its own.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	candidates []*candidate
	engines    map[string]*simulatedEngine
	names      []string
	table      *lease.Table
	renewed    time.Time
	queue      []delayed
	faults     bool
	applied    int
	terms      map[uint64]bool
	problem    string
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: start, engines: make(map[string]*simulatedEngine),
		table: lease.NewTable(), faults: true, terms: make(map[uint64]bool)}
	for i := range 3 {
		w.candidates = append(w.candidates, &candidate{name: fmt.Sprint("entry-", i), core: NewCore(600, OrderTimeout)})
	}
	for i := range 4 {
		name := fmt.Sprint("r", i)
		w.names = append(w.names, name)
		w.engines[name] = &simulatedEngine{Engine: engineOf(name, i%2 == 0, true), loaded: make(map[Model]bool)}
	}
	w.changeDesired()
	return w
}

func (w *simulation) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *simulation) after(h *candidate, d time.Duration, do func()) {
	w.queue = append(w.queue, delayed{w.now.Add(d), h, do})
}

// wish changes what one engine should have, and tells the holders one by one.
func (w *simulation) changeDesired() {
	e := w.engines[w.names[w.random.IntN(len(w.names))]]
	e.Desired = map[Model]bool{large: w.random.IntN(2) == 0, {Name: "small"}: w.random.IntN(2) == 0}
	var list []Engine
	for _, name := range w.names {
		list = append(list, w.engines[name].Engine)
	}
	for _, h := range w.candidates {
		w.after(h, w.delay(3*time.Second), func() { w.step(h, Configured{list}) })
	}
}

func (w *simulation) step(h *candidate, event Event) {
	for _, action := range h.core.Step(w.now, event) {
		switch a := action.(type) {
		case Read:
			w.after(h, w.delay(time.Second), func() { w.read(h, a) })
		case Order:
			w.after(h, w.delay(time.Second), func() { w.send(h, a) })
		case AbandonLease:
			h.grant = lease.Grant{}
		}
	}
}

func (w *simulation) read(h *candidate, a Read) {
	var has []Model
	for m, loaded := range w.engines[a.Engine.Name].loaded {
		if loaded {
			has = append(has, m)
		}
	}
	w.after(h, w.delay(time.Second), func() { w.step(h, ReadDone{Engine: a.Engine.Name, Fencing: a.Fencing, Loaded: has}) })
}

// send is the moment at which the body is written: the lease is checked, and the
// order is then on the way for less than OrderTimeout, whatever becomes of its holder.
func (w *simulation) send(h *candidate, a Order) {
	done := OrderDone{Engine: a.Engine.Name, Fencing: a.Fencing}
	if !h.grant.Valid(w.now) || h.grant.Fencing() != a.Fencing {
		done.Err = errors.New("the lease ran out")
		w.step(h, done)
		return
	}
	way := w.delay(3 * time.Second)
	if w.faults && w.random.IntN(3) == 0 {
		way = w.delay(OrderTimeout)
	}
	w.after(nil, way, func() {
		done.Refused = !w.apply(a)
		if w.faults && w.random.IntN(4) == 0 {
			done.Refused, done.Err = false, errors.New("answer lost")
		}
		w.after(h, 0, func() { w.step(h, done) })
	})
}

func (w *simulation) apply(a Order) bool {
	e := w.engines[a.Engine.Name]
	if a.Fencing < e.newestFencing {
		if e.ChecksFencing {
			return false
		}
		w.problem = fmt.Sprintf("%s: an order of holding %d landed after one of %d", e.Name, a.Fencing, e.newestFencing)
	}
	e.newestFencing = a.Fencing
	e.loaded[a.Model] = a.Load
	w.applied++
	return true
}

// ask sends the holder's request for the lease. The leader judges by its own
// clock whether the last renewal has run out, and applies the request after it
// has been replicated, when others may stand before it in the log.
func (w *simulation) requestLease(h *candidate) {
	sent := w.now
	h.nextRequest = w.now.Add(leaseTime / 4)
	w.after(nil, w.delay(time.Second), func() {
		request := &lilacv1.LeaseRequest{Name: "orders", Holder: h.name, Incarnation: h.name, DurationMs: uint32(leaseTime.Milliseconds())}
		if e := w.table.Get("orders"); e != nil && w.now.Sub(w.renewed) > leaseTime+leaseTime/20 {
			request.ExpiredRenewal = e.GetRenewal()
		}
		w.after(nil, w.delay(time.Second), func() { w.applyLeaseRequest(h, sent, request) })
	})
}

func (w *simulation) applyLeaseRequest(h *candidate, sent time.Time, request *lilacv1.LeaseRequest) {
	reply, err := w.table.Apply(request)
	if err != nil {
		w.problem = err.Error()
		return
	}
	if reply.GetGranted() {
		w.renewed = w.now
		w.terms[reply.GetFencing()] = true
	}
	w.after(h, w.delay(2*time.Second), func() { h.grant.Update(sent, reply) })
}

func (w *simulation) advance() {
	w.now = w.now.Add(simulationStep)
	w.deliver()
	valid := 0
	for _, h := range w.candidates {
		if h.grant.Valid(w.now) {
			valid++
		}
		if w.now.Before(h.frozenUntil) {
			continue
		}
		if w.faults && w.random.IntN(120) == 0 {
			h.frozenUntil = w.now.Add(w.delay(40 * time.Second))
		}
		if !w.now.Before(h.nextRequest) {
			w.requestLease(h)
		}
		if h.grant.Valid(w.now) {
			w.step(h, LeaseHeld{h.grant.Fencing()})
		} else {
			w.step(h, LeaseLost{})
		}
		w.step(h, Tick{})
	}
	if valid > 1 {
		w.problem = "two holders at once"
	}
	if w.faults && w.random.IntN(60) == 0 {
		w.changeDesired()
	}
}

func (w *simulation) deliver() {
	var rest []delayed
	due := w.queue
	w.queue = nil
	for _, l := range due {
		if w.now.Before(l.at) || l.candidate != nil && w.now.Before(l.candidate.frozenUntil) {
			rest = append(rest, l)
			continue
		}
		l.do()
	}
	w.queue = append(rest, w.queue...)
}

func (w *simulation) unsettled() string {
	for _, name := range w.names {
		e := w.engines[name]
		for m, load := range e.Desired {
			if e.loaded[m] != load {
				return fmt.Sprintf("%s: %v should be loaded: %v", name, m, load)
			}
		}
	}
	return ""
}

// Instances freeze in the middle of all that they do, their orders stay long on
// the way, answers are lost, and half of the engines take any number. No two may
// hold the lease at once, no order of an older holding may land after one of a
// newer, and when the faults end every engine must have what is wished.
func TestOrdersApplyInFencingOrder(t *testing.T) {
	landed, holdings := 0, 0
	for seed := range uint64(40) {
		w := newSimulation(seed)
		for range int(15 * time.Minute / simulationStep) {
			w.advance()
		}
		w.faults = false
		for range int(3 * time.Minute / simulationStep) {
			w.advance()
		}
		if problem := w.problem + w.unsettled(); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		landed, holdings = landed+w.applied, holdings+len(w.terms)
	}
	t.Logf("%d orders under %d holdings", landed, holdings)
	if landed < 1000 || holdings < 100 {
		t.Fatalf("only %d orders under %d holdings: the run shows too little", landed, holdings)
	}
}
