package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/retry"
)

// The retries of all instances together are bounded for each pool. Each instance gets an equal
// part of the retries that requests do not earn, so that the bound holds without messages, also
// while data centres are cut off from each other: an instance that is not heard from any more
// keeps its part.

// fleetSettleTime is how long other instances take at most to know of a new one.
const fleetSettleTime = 3 * time.Second

// retryBound returns the bound on the retries of all instances together.
func retryBound(weights settings.Policy) retry.Bound {
	return retry.Bound{Share: weights.RetryShare, Extra: weights.RetryExtraOrDefault(), Window: weights.RetryWindowOrDefault()}
}

// RetryPartChanged reports this instance's part of the retries beyond the share of requests.
type RetryPartChanged struct {
	// Instances is the number of instances that have a part, this one included.
	Instances int
	Part      float64
}

func (RetryPartChanged) action() {}

// retryPart returns this instance's part of the extra retries, a whole number: all get the same,
// and the first ones by hash one of the rest.
func (c *core) retryPart() (part float64, instances int) {
	instances = c.fleet.size()
	extra := number.Int(c.retryBound.Extra)
	part = float64(extra / instances)
	if c.fleet.position < extra%instances {
		part++
	}
	return part, instances
}

// starting reports whether an earlier process of this instance may have made retries in the same
// window, or other instances may not know of this one yet.
func (c *core) starting(now time.Time) bool {
	started := c.options.Started
	return !started.IsZero() && now.Sub(started) < c.retryBound.Window+fleetSettleTime
}

// shareRetries applies this instance's part of the retries to all pools.
func (c *core) shareRetries(now time.Time) {
	part, instances := c.retryPart()
	starting := c.starting(now)
	for _, p := range c.pools {
		if p.retryBudget == nil {
			p.retryBudget = retry.New(c.retryBound)
		}
		p.retryBudget.SetPart(part, starting)
		p.retries.Part, p.retries.Left = part, p.retryBudget.Left(now)
	}
	if part != c.announcedPart.Part || instances != c.announcedPart.Instances {
		c.announcedPart = RetryPartChanged{Instances: instances, Part: part}
		c.emit(c.announcedPart)
	}
}
