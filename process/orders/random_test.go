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

// delayed is a callback at a given time, postponed while its candidate is
// suspended.
type delayed struct {
	at        time.Time
	candidate *candidate
	do        func()
}

// candidate is an instance that may hold the lease.
type candidate struct {
	name           string
	core           *Core
	grant          lease.Grant
	nextRequest    time.Time
	suspendedUntil time.Time
}

// simulatedEngine is an engine with its loaded models and the newest fencing token
// that it was sent.
type simulatedEngine struct {
	Engine
	loaded        map[Model]bool
	newestFencing uint64
}

// simulation drives candidates and engines with delays, lost replies and
// suspensions, under one lease whose leader has its own clock.
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
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: start, engines: make(map[string]*simulatedEngine),
		table: lease.NewTable(), faults: true, terms: make(map[uint64]bool)}
	for i := range 3 {
		s.candidates = append(s.candidates, &candidate{name: fmt.Sprint("entry-", i), core: NewCore(600, OrderTimeout)})
	}
	for i := range 4 {
		name := fmt.Sprint("r", i)
		s.names = append(s.names, name)
		s.engines[name] = &simulatedEngine{Engine: engineOf(name, i%2 == 0, true), loaded: make(map[Model]bool)}
	}
	s.changeDesired()
	return s
}

func (s *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) after(c *candidate, d time.Duration, do func()) {
	s.queue = append(s.queue, delayed{s.now.Add(d), c, do})
}

// changeDesired changes the desired state of one engine and informs the candidates
// one by one.
func (s *simulation) changeDesired() {
	e := s.engines[s.names[s.random.IntN(len(s.names))]]
	e.Desired = map[Model]bool{large: s.random.IntN(2) == 0, {Name: "small"}: s.random.IntN(2) == 0}
	var list []Engine
	for _, name := range s.names {
		list = append(list, s.engines[name].Engine)
	}
	for _, c := range s.candidates {
		s.after(c, s.delay(3*time.Second), func() { s.step(c, Configured{list}) })
	}
}

func (s *simulation) step(c *candidate, event Event) {
	for _, action := range c.core.Step(s.now, event) {
		switch a := action.(type) {
		case Read:
			s.after(c, s.delay(time.Second), func() { s.read(c, a) })
		case Order:
			s.after(c, s.delay(time.Second), func() { s.send(c, a) })
		case AbandonLease:
			c.grant = lease.Grant{}
		}
	}
}

func (s *simulation) read(c *candidate, a Read) {
	var models []Model
	for m, loaded := range s.engines[a.Engine.Name].loaded {
		if loaded {
			models = append(models, m)
		}
	}
	s.after(c, s.delay(time.Second), func() { s.step(c, ReadDone{Engine: a.Engine.Name, Fencing: a.Fencing, Loaded: models}) })
}

// send runs when the order's body is written: the lease is checked, and the order
// is then in flight for less than OrderTimeout, even if its sender is suspended.
func (s *simulation) send(c *candidate, a Order) {
	outcome := OrderDone{Engine: a.Engine.Name, Fencing: a.Fencing}
	if !c.grant.Valid(s.now) || c.grant.Fencing() != a.Fencing {
		outcome.Err = errors.New("lease expired")
		s.step(c, outcome)
		return
	}
	transit := s.delay(3 * time.Second)
	if s.faults && s.random.IntN(3) == 0 {
		transit = s.delay(OrderTimeout)
	}
	s.after(nil, transit, func() {
		outcome.Refused = !s.apply(a)
		if s.faults && s.random.IntN(4) == 0 {
			outcome.Refused, outcome.Err = false, errors.New("reply lost")
		}
		s.after(c, 0, func() { s.step(c, outcome) })
	})
}

func (s *simulation) apply(a Order) bool {
	e := s.engines[a.Engine.Name]
	if a.Fencing < e.newestFencing {
		if e.ChecksFencing {
			return false
		}
		s.problem = fmt.Sprintf("%s: an order with fencing token %d was applied after one with %d", e.Name, a.Fencing, e.newestFencing)
	}
	e.newestFencing = a.Fencing
	e.loaded[a.Model] = a.Load
	s.applied++
	return true
}

// requestLease sends a candidate's lease request. The leader decides by its own
// clock whether the last renewal has expired, and applies the request after
// replication, when others may precede it in the log.
func (s *simulation) requestLease(c *candidate) {
	sentAt := s.now
	c.nextRequest = s.now.Add(leaseTime / 4)
	s.after(nil, s.delay(time.Second), func() {
		request := &lilacv1.LeaseRequest{Name: "orders", Holder: c.name, Incarnation: c.name, DurationMs: uint32(leaseTime.Milliseconds())}
		if e := s.table.Get("orders"); e != nil && s.now.Sub(s.renewed) > leaseTime+leaseTime/20 {
			request.ExpiredRenewal = e.GetRenewal()
		}
		s.after(nil, s.delay(time.Second), func() { s.applyLeaseRequest(c, sentAt, request) })
	})
}

func (s *simulation) applyLeaseRequest(c *candidate, sentAt time.Time, request *lilacv1.LeaseRequest) {
	reply, err := s.table.Apply(request)
	if err != nil {
		s.problem = err.Error()
		return
	}
	if reply.GetGranted() {
		s.renewed = s.now
		s.terms[reply.GetFencing()] = true
	}
	s.after(c, s.delay(2*time.Second), func() { c.grant.Update(sentAt, reply) })
}

func (s *simulation) advance() {
	s.now = s.now.Add(simulationStep)
	s.deliver()
	valid := 0
	for _, c := range s.candidates {
		if c.grant.Valid(s.now) {
			valid++
		}
		if s.now.Before(c.suspendedUntil) {
			continue
		}
		if s.faults && s.random.IntN(120) == 0 {
			c.suspendedUntil = s.now.Add(s.delay(40 * time.Second))
		}
		if !s.now.Before(c.nextRequest) {
			s.requestLease(c)
		}
		if c.grant.Valid(s.now) {
			s.step(c, LeaseHeld{c.grant.Fencing()})
		} else {
			s.step(c, LeaseLost{})
		}
		s.step(c, Tick{})
	}
	if valid > 1 {
		s.problem = "two instances hold the lease at once"
	}
	if s.faults && s.random.IntN(60) == 0 {
		s.changeDesired()
	}
}

func (s *simulation) deliver() {
	var rest []delayed
	due := s.queue
	s.queue = nil
	for _, event := range due {
		if s.now.Before(event.at) || event.candidate != nil && s.now.Before(event.candidate.suspendedUntil) {
			rest = append(rest, event)
			continue
		}
		event.do()
	}
	s.queue = append(rest, s.queue...)
}

func (s *simulation) unsettled() string {
	for _, name := range s.names {
		e := s.engines[name]
		for m, load := range e.Desired {
			if e.loaded[m] != load {
				return fmt.Sprintf("%s: model %v: want loaded %v", name, m, load)
			}
		}
	}
	return ""
}

// Instances are suspended at any point, orders stay in flight for long, replies are
// lost, and half of the engines ignore fencing tokens. Two instances must never
// hold the lease at once, no order of an earlier term may be applied after one of a
// later term, and once the faults end every engine must have its desired state.
func TestOrdersApplyInFencingOrder(t *testing.T) {
	applied, terms := 0, 0
	for seed := range uint64(40) {
		s := newSimulation(seed)
		for range int(15 * time.Minute / simulationStep) {
			s.advance()
		}
		s.faults = false
		for range int(3 * time.Minute / simulationStep) {
			s.advance()
		}
		if problem := s.problem + s.unsettled(); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		applied, terms = applied+s.applied, terms+len(s.terms)
	}
	t.Logf("%d orders in %d terms", applied, terms)
	if applied < 1000 || terms < 100 {
		t.Fatalf("only %d orders in %d terms, want at least 1000 in 100", applied, terms)
	}
}
