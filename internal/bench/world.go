package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	nearLatency        = 500 * time.Microsecond
	farLatency         = 25 * time.Millisecond
	reportInterval     = 200 * time.Millisecond
	digestInterval     = 500 * time.Millisecond
	digestLoss         = 0.02
	peerTimeout        = 3 * time.Second
	connectTimeout     = time.Second
	silenceTimeout     = 3 * time.Second
	convictionDelay    = 150 * time.Millisecond
	cacheEventInterval = 500 * time.Millisecond
	cacheLoss          = 0.05
	resendPollInterval = 20 * time.Millisecond
	maxResends         = 16
	drainLimit         = 150 * time.Second
	firstCrashingID    = 1 << 40
	crashingDigest     = "crashing"
)

// tally counts what the engines did, over the whole run.
type tally struct {
	generated  int
	recomputed int
	// moved counts tokens, prompts included, whose KV cache went to another
	// engine, vanished the engines that left.
	kvTokensMoved int
	terminated    int
	// taken counts engines that a crashing request took down; an outage that
	// hits one of those while it is down takes nothing more.
	crashedByRequest int
}

// backend is an engine or a plain service.
type backend interface {
	accept(j *job) bool
	isDown() bool
	location() string
	sample(at time.Duration)
	reportAt(at time.Duration) (report, bool)
}

// world is one run.
type world struct {
	clock              clock
	fleet              *fleet
	scenario           *scenario
	random             *rand.Rand
	view               *model.View
	engines            []*engine
	backends           map[string]backend
	names              []string
	instances          []*instance
	calls              []*call
	crashing           []*call
	openCalls          int
	isolatedDataCenter string
	tally              tally
	revision           uint64
	convicted          []*lilacv1.Conviction
	// onRefuse and onStart let tests look at each such action as it is taken.
	onRefuse func(in *instance, k *call, a policy.Refuse)
	onStart  func(in *instance, k *call, a policy.Start)
}

func newWorld(f *fleet, s *scenario, seed uint64, make policyFactory) *world {
	w := &world{fleet: f, scenario: s, random: rand.New(rand.NewPCG(seed, 99)), backends: map[string]backend{}, view: f.view(), revision: 1}
	for i := range engineCount {
		base, perRequest := engineSpeed(i)
		e := &engine{world: w, name: engineName(i), dataCenter: f.dataCenter(i), base: base, perRequest: perRequest, slowdown: 1}
		w.engines = append(w.engines, e)
		w.add(e.name, e)
	}
	for i := range serviceCount {
		w.add(serviceName(i), &service{world: w, name: serviceName(i), dataCenter: f.dataCenter(i)})
	}
	for i := range instanceCount {
		w.instances = append(w.instances, newInstance(w, i, seed, make))
	}
	return w
}

func (w *world) add(name string, b backend) {
	w.backends[name] = b
	w.names = append(w.names, name)
}

// linked tells whether two data centres reach each other.
func (w *world) connected(a, b string) bool {
	return a == b || w.isolatedDataCenter == "" || a != w.isolatedDataCenter && b != w.isolatedDataCenter
}

func latency(a, b string) time.Duration {
	if a == b {
		return nearLatency
	}
	return farLatency
}

// deliver carries one token, or a service's answer, to the instance.
func (w *world) deliver(from string, j *job, done bool) {
	if !w.connected(from, j.instance.dataCenter) {
		return
	}
	w.clock.after(latency(from, j.instance.dataCenter), func() { j.instance.token(j, done) })
}

// reset carries the news of a broken connection.
func (w *world) reset(from string, j *job) {
	if !w.connected(from, j.instance.dataCenter) {
		return
	}
	w.clock.after(latency(from, j.instance.dataCenter), func() {
		j.instance.fail(j, policy.Failed{Sent: true, Crashed: true})
	})
}

// run plays the arrivals and returns when every call has ended.
func (w *world) run(calls []*call) {
	w.calls = calls
	w.openCalls = len(calls)
	for _, k := range calls {
		w.clock.after(k.at, func() { w.liveInstance(k.instance).arrive(k) })
	}
	for i, in := range w.instances {
		in.step(policy.Configured{View: w.view})
		w.every(time.Duration(i)*time.Millisecond, policy.TickInterval, func() { in.step(policy.Tick{}) })
		w.every(time.Duration(i)*60*time.Millisecond, digestInterval, in.sendDigest)
	}
	if w.scenario.faults != nil {
		w.scenario.faults(w)
	}
	w.every(0, reportInterval, w.report)
	w.every(0, cacheEventInterval, w.cacheEvents)
	for w.clock.now < w.scenario.length+drainLimit && (w.openCalls > 0 || w.clock.now < w.scenario.length) {
		w.clock.next()
	}
}

// alive returns the instance, or the next one that still runs.
func (w *world) liveInstance(i int) *instance {
	for w.instances[i%instanceCount].dead {
		i++
	}
	return w.instances[i%instanceCount]
}

func (w *world) every(first, interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.clock.after(interval, again)
	}
	w.clock.after(first, again)
}

// report delivers each backend's load as it was a lag ago; a crashed engine's
// last reports go on describing the past for that long.
func (w *world) report() {
	lag := w.scenario.reportLag
	for _, name := range w.names {
		b := w.backends[name]
		b.sample(w.clock.now)
		r, ok := b.reportAt(w.clock.now - lag)
		if !ok {
			continue
		}
		age := w.clock.now - r.at
		for _, in := range w.instances {
			if w.connected(b.location(), in.dataCenter) {
				in.step(policy.LoadReport{Server: name, Running: r.running, Waiting: r.waiting, KVUsed: float64(r.running) / engineSlots, Age: age})
			}
		}
	}
}

// cacheEvents publishes what the prefix caches stored and dropped, late and with gaps.
func (w *world) cacheEvents() {
	for _, e := range w.engines {
		c := &e.cache
		if len(c.stored) == 0 && len(c.dropped) == 0 && !c.cleared {
			continue
		}
		e.cacheSeq++
		event := policy.CacheEvent{Server: e.name, Sequence: e.cacheSeq, Stored: c.stored, Dropped: c.dropped, Cleared: c.cleared}
		c.stored, c.dropped, c.cleared = nil, nil, false
		if w.random.Float64() < cacheLoss {
			continue
		}
		for _, in := range w.instances {
			if w.connected(e.dataCenter, in.dataCenter) {
				w.clock.after(cacheEventInterval, func() { in.step(event) })
			}
		}
	}
}

// convict shares a conviction with every instance that is reached.
func (w *world) convict(from *instance, c policy.Convict) {
	w.clock.after(convictionDelay, func() {
		w.revision++
		w.convicted = append(w.convicted, &lilacv1.Conviction{Digest: c.Digest, Team: c.Team, Servers: c.Servers})
		view := *w.view
		view.Revision = w.revision
		view.Convictions = make(map[string]*lilacv1.Conviction)
		for _, conviction := range w.convicted {
			view.Convictions[conviction.Digest] = conviction
		}
		w.view = &view
		for _, in := range w.instances {
			if w.connected(from.dataCenter, in.dataCenter) {
				in.step(policy.Configured{View: w.view})
			}
		}
	})
}

// sendCrashing sends the crashing request to the next instance; its caller
// sends it again as soon as an answer or error came.
func (w *world) sendCrashing(n int) {
	if n >= maxResends {
		return
	}
	k := &call{
		id: firstCrashingID + uint64(len(w.crashing)), class: &w.fleet.classes[1], at: w.clock.now, team: 2, instance: n % instanceCount,
		prompt: 200, output: 200, digest: crashingDigest, idempotent: true, crashes: true,
		prefix: prefixOf(77, 2, 0, 12, 200, 1),
	}
	w.crashing = append(w.crashing, k)
	w.openCalls++
	w.instances[k.instance].arrive(k)
	var watch func()
	watch = func() {
		if k.outcome == pending {
			w.clock.after(resendPollInterval, watch)
			return
		}
		w.sendCrashing(n + 1)
	}
	w.clock.after(resendPollInterval, watch)
}

func instanceName(i int) string { return fmt.Sprintf("entry-%d", i) }
