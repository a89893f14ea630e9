package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// retryFleet runs several instances against plain services whose servers fail, and counts
// what arrives at the servers.

const (
	// retryWindow, retryRatio and the extra retries of a fleet state the bound on retries.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	// flightTime is the time from an instance to a server, workTime that of a run.
	flightTime = 2 * ms
	workTime   = 15 * ms
	// retryDeadline is the time that callers allow.
	retryDeadline = 2 * time.Second
	// betweenInstances is the time from one instance to another.
	betweenInstances = 30 * ms
	// maxServers is the largest number of servers of a service.
	maxServers = 12
	// fleetTick is the interval of ticks of the instances.
	fleetTick = 20 * ms
	// membershipInterval is the time until all instances know of a change of the fleet.
	membershipInterval = 500 * ms
)

// ending is how an attempt ends at a server.
type ending int

const (
	answered ending = iota
	serverError
	rejected
	brokenConnection
)

// fleetInstance is an instance; a restart replaces its core.
type fleetInstance struct {
	name, dataCenter string
	core             *core
	// starts counts the starts of its process.
	starts int
	// cutOff instances know only others that are cut off too, and the reverse.
	cutOff bool
	// down is true between a kill and the next start.
	down bool
}

// reachable returns the others that the instance reaches.
func (in *fleetInstance) reachable(all []*fleetInstance) []Instance {
	var others []Instance
	for _, other := range all {
		if other != in && !other.down && other.cutOff == in.cutOff {
			others = append(others, Instance{other.name, other.dataCenter})
		}
	}
	return others
}

type fleetRequest struct {
	service   string
	arrivedAt time.Time
	reached   bool
	answered  bool
}

// retryFleet is a simulation run.
type retryFleet struct {
	simulation
	extra     float64
	view      *model.View
	random    *rand.Rand
	instances []*fleetInstance
	byName    map[string]*fleetInstance
	requests  map[ID]*fleetRequest
	lastID    ID
	// end decides how an attempt ends.
	end func(service, server string) ending
	// first and again are the times of requests and of arrivals beyond the first, by service.
	first, again map[string][]time.Time
	// refusals counts refusals by the reason for which there was no retry.
	refusals map[RetryDenial]int
}

// newRetryFleet returns a fleet with two services, desk and archive.
func newRetryFleet(seed uint64, instances int, extra float64) *retryFleet {
	f := &retryFleet{
		extra: extra, random: rand.New(rand.NewPCG(seed, 1)), simulation: simulation{now: epoch}, requests: make(map[ID]*fleetRequest), byName: make(map[string]*fleetInstance),
		end:   func(string, string) ending { return answered },
		first: make(map[string][]time.Time), again: make(map[string][]time.Time), refusals: make(map[RetryDenial]int),
	}
	snapshot := &lilacv1.Snapshot{
		Revision: 1, Teams: []*lilacv1.Team{{Name: "a"}},
		Classes: []*lilacv1.Class{{Name: "lookup", Tier: 1, FirstTokenMs: 200, MaxAttempts: 2}},
	}
	for _, service := range []string{"desk", "archive"} {
		for i := range min(max(3, instances/3), maxServers) {
			snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
				Name: fmt.Sprintf("%s-%d", service, i), DataCenter: dataCenterOf(i), Serves: []string{service}, Slots: 24, Kind: lilacv1.ServerKind_SERVER_KIND_SERVICE,
			})
		}
	}
	f.view = model.NewView(snapshot)
	for range instances {
		f.addInstance()
	}
	f.updateMembership()
	f.at(0, f.tick)
	return f
}

func dataCenterOf(i int) string { return string(rune('a' + i%3)) }

func (f *retryFleet) addInstance() *fleetInstance {
	i := len(f.instances)
	in := &fleetInstance{name: fmt.Sprintf("e%d", i), dataCenter: dataCenterOf(i)}
	f.instances = append(f.instances, in)
	f.byName[in.name] = in
	f.start(in)
	return in
}

// start starts the instance's process, which knows nothing of what it did before.
func (f *retryFleet) start(in *fleetInstance) {
	in.starts++
	in.down = false
	started := f.now
	if in.starts == 1 && f.now.Equal(epoch) {
		started = time.Time{}
	}
	in.core = New(Options{
		Instance: in.name, DataCenter: in.dataCenter, Incarnation: fmt.Sprint(in.starts), Seed: f.random.Uint64(),
		Weights: settings.Policy{
			RetryShare: retryRatio, RetryExtra: &f.extra, RetryWindow: settings.Duration{Duration: retryWindow, Line: 1},
			RemoteCost: settings.Duration{Duration: 100 * ms},
		},
		Started: started,
	}).(*core)
	in.core.Step(f.now, Configured{View: f.view})
}

// restart kills the process and starts it again a moment later.
func (f *retryFleet) restart(in *fleetInstance) {
	in.down = true
	f.after(200*ms, func() { f.start(in) })
}

func (f *retryFleet) tick() {
	if f.now.Sub(epoch)%membershipInterval == 0 {
		f.updateMembership()
	}
	for _, in := range f.instances {
		f.step(in, Tick{})
	}
	f.after(fleetTick, f.tick)
}

// updateMembership tells each instance which others it reaches.
func (f *retryFleet) updateMembership() {
	for _, in := range f.instances {
		f.step(in, Fleet{Others: in.reachable(f.instances)})
	}
}

// traffic sends requests for the service at the given rate, to instances at random: the first
// ones get more than the others.
func (f *retryFleet) traffic(service string, from, to time.Duration, perSecond float64) {
	var next func()
	next = func() {
		if f.now.Sub(epoch) >= to {
			return
		}
		f.send(f.instances[min(f.random.IntN(len(f.instances)), f.random.IntN(len(f.instances)+2))], service)
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.at(from, next)
}

func (f *retryFleet) send(in *fleetInstance, service string) {
	if in.down {
		return
	}
	f.lastID++
	f.requests[f.lastID] = &fleetRequest{service: service, arrivedAt: f.now}
	f.first[service] = append(f.first[service], f.now)
	f.step(in, Arrival{
		ID: f.lastID, Class: "lookup", Team: "a", Target: service, Digest: fmt.Sprint(f.lastID), PromptTokens: 1,
		Idempotent: true, Pinned: true, Deadline: f.now.Add(retryDeadline),
	})
}

func (f *retryFleet) step(in *fleetInstance, event Event) {
	if in.down {
		return
	}
	for _, action := range slices.Clone(in.core.Step(f.now, event)) {
		switch a := action.(type) {
		case Start:
			f.attempt(in, a)
		case Refuse:
			f.refusals[a.RetryDenied]++
		case BorrowRetries:
			f.borrow(in, a)
		}
	}
}

// borrow asks the instances and takes their answers back to the same process. Instances that are
// down or cut off give none, which is noticed at once.
func (f *retryFleet) borrow(in *fleetInstance, ask BorrowRetries) {
	askedAt, process := f.now, in.starts
	for _, from := range ask.From {
		f.after(betweenInstances, func() {
			count, lender := 0, f.byName[from.Name]
			if !lender.down && lender.cutOff == in.cutOff {
				count = lender.core.LendRetries(f.now, ask.Pool, ask.Wanted)
			}
			f.after(betweenInstances, func() {
				if in.starts == process {
					f.step(in, RetriesBorrowed{Pool: ask.Pool, Count: count, AskedAt: askedAt})
				}
			})
		})
	}
}

// attempt takes an attempt to its server and its ending back to the same process.
func (f *retryFleet) attempt(in *fleetInstance, start Start) {
	request, process := f.requests[start.ID], in.starts
	report := func(event Event) {
		if in.starts == process {
			f.step(in, event)
		}
	}
	f.after(0, func() { report(Sent{ID: start.ID, Attempt: start.Attempt}) })
	f.after(flightTime, func() {
		if request.reached {
			f.again[request.service] = append(f.again[request.service], f.now)
		}
		request.reached = true
		switch f.end(request.service, start.Server) {
		case answered:
			f.after(workTime+flightTime, func() {
				request.answered = true
				report(Finished{ID: start.ID, Attempt: start.Attempt})
			})
		case serverError:
			f.after(workTime+flightTime, func() {
				report(Failed{ID: start.ID, Attempt: start.Attempt, Sent: true, ServerError: true})
			})
		case rejected:
			f.after(flightTime, func() { report(Failed{ID: start.ID, Attempt: start.Attempt, Sent: true, Refused: true}) })
		case brokenConnection:
			f.after(flightTime, func() { report(Failed{ID: start.ID, Attempt: start.Attempt, Sent: true}) })
		}
	})
}

// served returns the share of the service's requests of a span of time that were answered.
func (f *retryFleet) served(service string, from, to time.Duration) float64 {
	asked, answered := 0, 0
	for _, request := range f.requests {
		if request.service != service || request.arrivedAt.Before(epoch.Add(from)) || !request.arrivedAt.Before(epoch.Add(to)) {
			continue
		}
		asked++
		if request.answered {
			answered++
		}
	}
	return float64(answered) / float64(max(asked, 1))
}

// excess is a window in which a service got more retries than allowed.
type excess struct {
	service string
	from    time.Duration
	retries int
	allowed float64
}

// worstWindow returns the window with the most retries beyond the bound: in any retryWindow, all
// instances together may retry retryRatio times the requests, and extra more. Counted are the
// requests of the window, of the one before or of the one half a window before, whichever has
// most.
func (f *retryFleet) worstWindow() excess {
	worst := excess{allowed: 1e9}
	for service, again := range f.again {
		first := f.first[service]
		for _, at := range again {
			for _, from := range []time.Time{at, at.Add(-retryWindow)} {
				requests := max(countIn(first, from), countIn(first, from.Add(-retryWindow/2)), countIn(first, from.Add(-retryWindow)))
				found := excess{service, from.Sub(epoch), countIn(again, from), retryRatio*float64(requests) + f.extra}
				if float64(found.retries)-found.allowed > float64(worst.retries)-worst.allowed {
					worst = found
				}
			}
		}
	}
	return worst
}

// countIn counts the times in the window from the given one.
func countIn(times []time.Time, from time.Time) int {
	after := func(t time.Time) int { return sort.Search(len(times), func(i int) bool { return times[i].After(t) }) }
	return after(from.Add(retryWindow)) - sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
}
