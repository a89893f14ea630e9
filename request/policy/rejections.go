package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// Some servers fail if they have to reject more than a few requests in a second for lack of
// room, and state that number in their answers. Loads of other instances are known with a
// delay, so instances that fill such a server up by what they know exceed its room together.
// Each instance therefore gets a fixed part of the slots of each server of the pool. Beyond
// that, the instances together start as many requests as a server has room for below
// sharedSlots; if there are more instances than slots, only those without any slot do.

const (
	// rejectionLimitTTL is how long a rejection limit is kept without an answer from the pool.
	rejectionLimitTTL = 30 * time.Second
	// sharedSlots is the fraction of a server's slots up to which instances start requests
	// beyond their parts.
	sharedSlots = 0.65
	// loadDelay is the time until the other instances know of a started request.
	loadDelay = 300 * time.Millisecond
	// minRejectionPause and maxRejectionPause bound how long an instance sends nothing to
	// such a server after a rejection. Between the bounds, the rejections by all instances
	// stay within the limit.
	minRejectionPause = time.Second
	maxRejectionPause = 5 * time.Second
)

// RejectionReport is what an answer of a server states about the rejections that the servers
// of its pool survive.
type RejectionReport struct {
	Server string
	// Advertised is false if the answer states no limit.
	Advertised bool
	// PerSecond is the number of rejected requests per second that a server survives.
	PerSecond float64
}

func (RejectionReport) event() {}

// RejectionLimitChanged reports a new rejection limit of the servers of a pool.
type RejectionLimitChanged struct {
	Pool       string
	Advertised bool
	PerSecond  float64
	// Server is the one whose answer stated it; empty if the limit expired.
	Server string
}

func (RejectionLimitChanged) action() {}

// rejectionLimit is the rejection limit of the servers of a pool.
type rejectionLimit struct {
	advertised bool
	perSecond  float64
	// statedAt is when an answer last stated the limit.
	statedAt time.Time
}

func (c *core) rejectionReport(now time.Time, e RejectionReport) {
	s := c.servers[e.Server]
	if s == nil || !e.Advertised && !s.rejects {
		return
	}
	for _, p := range c.poolOrder {
		if slices.Contains(p.servers, s) {
			c.setRejectionLimit(now, p, rejectionLimit{e.Advertised, e.PerSecond, now}, e.Server)
		}
	}
}

func (c *core) setRejectionLimit(now time.Time, p *pool, limit rejectionLimit, server string) {
	before := p.rejectionLimit
	p.rejectionLimit = limit
	if limit.advertised == before.advertised && limit.perSecond == before.perSecond {
		return
	}
	c.shareSlots(p)
	c.emit(RejectionLimitChanged{Pool: p.name, Advertised: limit.advertised, PerSecond: limit.perSecond, Server: server})
	if !limit.advertised {
		c.dispatch(now, p)
	}
}

// refreshRejectionLimits drops expired limits and divides the slots among the live instances.
func (c *core) refreshRejectionLimits(now time.Time) {
	for _, p := range c.poolOrder {
		if !p.rejectionLimit.advertised {
			continue
		}
		if now.Sub(p.rejectionLimit.statedAt) > rejectionLimitTTL {
			c.setRejectionLimit(now, p, rejectionLimit{}, "")
			continue
		}
		c.shareSlots(p)
	}
}

// shareSlots sets this instance's part of the slots of each server: all instances get the same
// number of whole slots, and the first ones by hash one of the rest.
func (c *core) shareSlots(p *pool) {
	ownSlots, withoutSlots := 0, 1.0
	for _, s := range p.servers {
		s.rejects = p.rejectionLimit.advertised
		if !s.rejects {
			continue
		}
		rank, instances := c.fleet.rank(s)
		s.ownSlots = s.slots / instances
		if rank < s.slots%instances {
			s.ownSlots++
		}
		ownSlots += s.ownSlots
		withoutSlots *= 1 - min(1, float64(s.slots)/float64(instances))
		s.rejectionPause = maxRejectionPause
		if p.rejectionLimit.perSecond > 0 {
			pause := number.Seconds(float64(instances) / p.rejectionLimit.perSecond)
			s.rejectionPause = min(max(pause, minRejectionPause), maxRejectionPause)
		}
	}
	instances := float64(len(c.fleet.members) + 1)
	drawing := instances
	if withoutSlots > 0 {
		drawing = max(1, withoutSlots*instances)
	}
	for _, s := range p.servers {
		s.extraStart = (withoutSlots == 0 || ownSlots == 0) && c.drawExtraStart(s, drawing)
	}
}

// drawExtraStart draws whether this instance, as one of so many, may start a request beyond its
// part until the next slowTick.
func (c *core) drawExtraStart(s *server, instances float64) bool {
	held := loadDelay
	if s.service {
		held = min(held, number.Seconds(s.serviceSeconds()))
	}
	room := sharedSlots*float64(s.slots) - s.load()
	return c.random.Float64() < room/instances*slowTick.Seconds()/max(held, slowTick).Seconds()
}

// mayReject reports whether the server states a rejection limit and might reject another
// request of this instance.
func (s *server) mayReject() bool {
	return s.rejects && len(s.running) >= s.ownSlots && !s.extraStart
}

// backoff returns how long nothing is sent to the server after it rejected a request.
func (s *server) backoff(asked time.Duration) time.Duration {
	pause := max(min(asked, maxRetryAfter), minOverloadBackoff)
	if s.rejects {
		pause = max(pause, s.rejectionPause)
	}
	return pause
}
