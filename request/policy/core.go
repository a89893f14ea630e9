package policy

import (
	"math/rand/v2"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// core is the state of one instance's policy.
type core struct {
	options  Options
	view     *model.View
	random   *rand.Rand
	requests map[ID]*request
	servers  map[string]*server
	pools    map[string]*pool
	timers   timers
	draining bool
	running  int
	starts   uint64
	retries  uint64
	sequence uint64
	stats    Stats
	actions  []Action
}

// New returns a core that refuses everything until its first Configured event.
func New(options Options) Core {
	return &core{
		options:  options,
		view:     model.NewView(nil),
		random:   rand.New(rand.NewPCG(options.Seed, uint64(len(options.Instance)))),
		requests: make(map[ID]*request),
		servers:  make(map[string]*server),
		pools:    make(map[string]*pool),
		stats:    Stats{Violations: make(map[Invariant]uint64)},
	}
}

// Step takes one event and returns what the shell must do, in order. The slice
// is valid until the next call.
func (c *core) Step(now time.Time, event Event) []Action {
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case Arrival:
		c.arrive(now, e)
	case Canceled:
		c.cancel(now, e.ID)
	case Sent:
		c.sent(e)
	case Tokens:
		c.tokens(now, e)
	case Finished:
		c.finished(now, e)
	case Failed:
		c.failed(now, e)
	case LoadReport:
		c.loadReport(now, e)
	case ServerState:
		c.serverState(now, e)
	case Configured:
		c.configure(now, e.View)
	case Draining:
		c.draining = true
	case Tick:
		c.tick(now)
	}
	return c.actions
}

// Digest tells the other instances what this one does.
func (c *core) Digest(now time.Time) *lilacv1.Digest {
	c.sequence++
	return &lilacv1.Digest{
		Instance:    c.options.Instance,
		DataCenter:  c.options.DataCenter,
		Incarnation: c.options.Incarnation,
		Sequence:    c.sequence,
		Leaving:     c.draining,
		Revision:    c.view.Revision,
	}
}

func (c *core) emit(action Action) {
	c.actions = append(c.actions, action)
}

func (c *core) tick(now time.Time) {
	for {
		id, due := c.timers.due(now)
		if !due {
			break
		}
		if r := c.requests[id]; r != nil {
			c.expire(r)
		}
	}
	for _, p := range c.poolsInOrder() {
		c.dispatch(now, p)
	}
}
