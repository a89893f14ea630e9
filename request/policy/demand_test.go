package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A burst at one instance leaves hundreds of urgent requests there that are too
// late for their target. They asked for all slots of the pool, so that other
// instances' requests became late in their turn.
func TestLateRequestsAskForNoSlots(t *testing.T) {
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
	is.Equal(p.demand()[0], float64(running))
}
