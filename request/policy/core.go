package policy

import (
	"math/rand/v2"
	"time"

	"github.com/lilacbridge/lilacbridge/request/estimate"
	"github.com/lilacbridge/lilacbridge/request/limits"
	"github.com/lilacbridge/lilacbridge/request/retry"
	"github.com/lilacbridge/lilacbridge/request/shares"
	"github.com/lilacbridge/lilacbridge/request/suspect"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	// slowTick is the interval of the work that is not needed at every tick.
	slowTick = 100 * time.Millisecond
	// expireInterval is how often expired suspects and limits are removed.
	expireInterval = time.Minute
)

// core is the state of one instance's scheduler.
type core struct {
	options  Options
	view     *model.View
	random   *rand.Rand
	requests map[ID]*request
	servers  map[string]*server
	ordered  []*server
	// byKey holds the servers by their keys on the load board.
	byKey map[uint32]*server
	// boardActive is true while other instances report their loads on the load board
	// in addition to their digests.
	boardActive bool
	// boardInstances is how many other instances the load board covers.
	boardInstances int
	pools          map[string]*pool
	poolOrder      []*pool
	peers          map[string]*peer
	fleet          fleet
	peerNames      []string
	// knownInstances holds the instances ever heard from, this one included.
	knownInstances map[string]bool
	// dataCenterHeard is when any instance of a data centre was last heard from.
	dataCenterHeard map[string]time.Time
	timers          timers
	estimates       *estimate.Table
	retryBound      retry.Bound
	// announcedPart is the part of the retries that was reported last.
	announcedPart RetryPartChanged
	kv            kvCost
	// noticePeriod is the learned time from the notice that a server leaves until it
	// is gone.
	noticePeriod time.Duration
	suspects     *suspect.Table
	limits       *limits.Table
	choice       chooser
	// identical tracks running requests that copies must join.
	identical identicalRequests
	answered  answeredDigests
	draining  bool
	// leavingUntil is when this instance, which is being stopped, breaks off its requests; zero before
	// the stop.
	leavingUntil    time.Time
	running         int
	sequence        uint64
	nextHousekeepAt time.Time
	nextExpireAt    time.Time
	nextGiveUpAt    time.Time
	stats           Stats
	actions         []Action
	announced       bool
	// cachedPrefixes are the shared prefixes recently sent to servers, which this instance reports.
	cachedPrefixes []cachedPrefix
	// unconfirmed holds the digests with two crashes whose conviction is pending.
	// lastNewCrash is when the last new crash was reported.
	unconfirmed  []string
	lastNewCrash time.Time
	// unannouncedCrash is the server whose crash this instance observed last and that no
	// answer of another server has confirmed yet; nil for none.
	unannouncedCrash *server
	// stoppedCopies are copies that were stopped recently.
	stoppedCopies []stoppedCopy
	// teamWeights holds the weights of the teams by their keys. refusals are the callers that were
	// told to return later.
	teamWeights map[uint32]float64
	refusals    *shares.Refusals
}

// New returns a core that refuses every request until its first Configured event.
func New(options Options) Core {
	return &core{
		options:         options,
		view:            model.NewView(nil),
		random:          rand.New(rand.NewPCG(options.Seed, uint64(len(options.Instance)))),
		requests:        make(map[ID]*request),
		servers:         make(map[string]*server),
		pools:           make(map[string]*pool),
		peers:           make(map[string]*peer),
		fleet:           newFleet(Instance{options.Instance, options.DataCenter}),
		knownInstances:  map[string]bool{options.Instance: true},
		dataCenterHeard: make(map[string]time.Time),
		estimates:       estimate.NewTable(),
		retryBound:      retryBound(options.Weights),
		kv:              newKVCost(),
		noticePeriod:    initialNotice,
		suspects:        suspect.NewTable(),
		limits:          limits.NewTable(),
		choice:          newChooser(options.Weights),
		identical:       newIdenticalRequests(),
		answered:        newAnsweredDigests(),
		refusals:        shares.NewRefusals(),
		stats:           Stats{Violations: make(map[Invariant]uint64)},
	}
}

// Step handles one event and returns the actions that the shell must carry out, in
// order. The slice is valid until the next call.
func (c *core) Step(now time.Time, event Event) []Action {
	clear(c.actions)
	c.actions = c.actions[:0]
	c.announced = false
	switch e := event.(type) {
	case Arrival:
		c.arrive(now, e)
	case Canceled:
		c.cancel(now, e.ID)
	case Sent:
		c.sent(now, e)
	case Tokens:
		c.tokens(now, e)
	case Recomputed:
		c.recomputed(now, e)
	case Finished:
		c.finished(now, e)
	case Failed:
		c.failed(now, e)
	case Stopped:
		c.stopped(now, e)
	case LoadReport:
		c.loadReport(now, e)
	case Fleet:
		c.fleet.update(now, e.Others)
	case LimitReport:
		c.limitReport(now, e)
	case RejectionReport:
		c.rejectionReport(now, e)
	case CacheEvent:
		c.cacheEvent(e)
	case ServerState:
		c.serverState(now, e)
	case Configured:
		c.configure(now, e.View)
	case PeerDigest:
		c.peerDigest(now, e)
	case PeerGone:
		c.peerGone(now, e.Instance)
	case PeerLoads:
		c.applyPeerLoads(now, e)
	case RetriesBorrowed:
		c.retriesBorrowed(now, e)
	case TrialClaimed:
		c.trialClaimed(now, e.Digest)
	case Leaving:
		c.leavingUntil = e.Until
		c.refuseWaitingOutliving(now)
	case Draining:
		c.draining = true
	case Tick:
		c.tick(now)
	}
	return c.actions
}

func (c *core) emit(action Action) {
	c.actions = append(c.actions, action)
}

// announce has the digest sent at once, at most once per event.
func (c *core) announce() {
	if !c.announced {
		c.announced = true
		c.emit(Announce{})
	}
}

func (c *core) tick(now time.Time) {
	c.expireDue(now)
	for _, p := range c.poolOrder {
		c.borrow(now, p)
		c.expireLate(now, p)
		if p.dirty {
			c.dispatch(now, p)
		}
	}
	if now.Before(c.nextHousekeepAt) {
		return
	}
	c.nextHousekeepAt = now.Add(slowTick)
	c.housekeep(now)
}

// housekeep runs every slowTick.
func (c *core) housekeep(now time.Time) {
	for _, s := range c.ordered {
		s.sampleLoad(now)
	}
	c.detectPartitions(now)
	c.ejectUnresponsive(now)
	c.confirmSuspects(now)
	c.decideParts(now)
	c.refreshLimits(now)
	c.refreshMemory(now)
	c.refreshRejectionLimits(now)
	c.shareRetries(now)
	c.giveUp(now)
	c.refuseWaitingOutliving(now)
	for _, p := range c.poolOrder {
		p.decayWorkRates()
		p.decayStartRates()
		p.expectSlots(now)
		c.updateShares(now, p)
		p.update(now)
		c.unpark(now, p)
		c.updateCutoff(now, p)
		c.refuseWaitingLate(now, p)
		c.refuseWaitingUnfinished(now, p)
		c.shedOverload(now, p)
		c.moveLeaving(now, p)
		c.moveStragglers(now, p)
		c.dispatch(now, p)
	}
	if now.After(c.nextExpireAt) {
		c.nextExpireAt = now.Add(expireInterval)
		c.suspects.Expire(now)
		c.expireParts(now)
		c.limits.Expire(now)
	}
}
