package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A burst at one instance leaves hundreds of urgent requests there that are too
// late for their target. They asked for all slots of the pool, so that other
// instances' requests became late in their turn. They may ask for a few only; a
// few late ones, as at an instance without the burst, ask for all they need.
func TestLateRequestsAskForFewSlots(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for id := range ID(12) {
		c.Step(epoch, arrival(id+1, "alerts"))
	}
	p := c.pools["redaction"]
	running := len(p.running)
	is.True(running > 0 && running < 12)
	is.Equal(p.demand()[0], 12.0)
	c.Step(epoch.Add(time.Second), Tick{}) // the target is 0.42 s
	is.Equal(p.queue.Len(), 12-running)
	is.Equal(p.demand()[0], float64(running+lateSlots))
	for id := ID(12); p.queue.Len() > 2; id-- {
		c.Step(epoch.Add(time.Second), Canceled{ID: id})
	}
	is.Equal(p.demand()[0], float64(len(p.running)+2))
}
