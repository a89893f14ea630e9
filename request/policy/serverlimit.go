package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// An overloaded server states in its answers how many requests per second it accepts
// from all instances together. Instances report the limits that their answers state to
// each other, since most of them get no answer from that server.

const (
	// limitReportTTL is how long an instance reports what an answer to itself stated.
	limitReportTTL = 3 * time.Second
	// limitTTL is how long a limit is kept if no new report of it arrives: a server that
	// gets no requests states nothing.
	limitTTL = 30 * time.Second
)

// serverLimit is the limit stated by a server.
type serverLimit struct {
	loadboard.Limit
	// reportedAt is when an answer to this instance last stated a limit or none; zero if
	// no limit was ever stated.
	reportedAt time.Time
}

// LimitSource is the origin of a change of a server's limit.
type LimitSource string

// The sources of a limit.
const (
	LimitFromResponse LimitSource = "answer"
	LimitFromPeer     LimitSource = "instance"
	// LimitExpired: no report of the limit arrived within limitTTL.
	LimitExpired LimitSource = "silence"
	// LimitFromFleet: the limit is unchanged, but the set of live instances changed.
	LimitFromFleet LimitSource = "fleet"
)

// LimitReport is what an answer of the server states about its limit.
type LimitReport struct {
	Server string
	// Advertised is false if the answer states no limit.
	Advertised bool
	// PerSecond is the limit in requests per second for all instances together.
	PerSecond float64
}

// LimitChanged reports a new limit of a server, or a new share of it for this
// instance.
type LimitChanged struct {
	Server     string
	Advertised bool
	PerSecond  float64
	Source     LimitSource
	// Age is the age of the server's statement.
	Age time.Duration
	// Share is what this instance may send, in requests per second.
	Share float64
}

func (LimitReport) event()   {}
func (LimitChanged) action() {}

func (c *core) limitReport(now time.Time, e LimitReport) {
	s := c.servers[e.Server]
	if s == nil || !e.Advertised && s.rateLimit.At.IsZero() {
		return
	}
	c.setLimit(now, s, loadboard.Limit{PerSecond: e.PerSecond, Advertised: e.Advertised, At: now}, LimitFromResponse)
	s.rateLimit.reportedAt = now
}

// setLimit stores a limit unless a newer one is known.
func (c *core) setLimit(now time.Time, s *server, reported loadboard.Limit, source LimitSource) {
	before := s.rateLimit.Limit
	if reported.At.Before(before.At) {
		return
	}
	s.rateLimit.Limit = reported
	if reported.Advertised == before.Advertised && reported.PerSecond == before.PerSecond {
		return
	}
	c.shareLimit(now, s)
	c.emitLimitChanged(now, s, source)
	if source == LimitFromResponse {
		c.announce()
	}
}

func (c *core) emitLimitChanged(now time.Time, s *server, source LimitSource) {
	c.emit(LimitChanged{
		Server: s.name, Advertised: s.rateLimit.Advertised, PerSecond: s.rateLimit.PerSecond, Source: source, Age: now.Sub(s.rateLimit.At), Share: s.allowance.share,
	})
}

// ownLimits returns what answers to this instance stated recently.
func (c *core) ownLimits(now time.Time) loadboard.Limits {
	limits := make(loadboard.Limits)
	for _, s := range c.ordered {
		if at := s.rateLimit.reportedAt; !at.IsZero() && now.Sub(at) <= limitReportTTL && !s.rateLimit.At.After(at) {
			limits[s.key] = s.rateLimit.Limit
		}
	}
	return limits
}

// applyPeerLimits stores what answers to other instances stated.
func (c *core) applyPeerLimits(now time.Time, reported loadboard.Limits) {
	for key, limit := range reported {
		if s := c.byKey[key]; s != nil {
			c.setLimit(now, s, limit, LimitFromPeer)
		}
	}
}

// refreshLimits drops expired limits and recomputes this instance's shares of the
// others.
func (c *core) refreshLimits(now time.Time) {
	c.fleet.expire(now)
	for _, s := range c.ordered {
		if s.rateLimit.Advertised && now.Sub(s.rateLimit.At) > limitTTL {
			c.setLimit(now, s, loadboard.Limit{At: now}, LimitExpired)
		}
		if !s.rateLimit.Advertised {
			continue
		}
		before := s.allowance.share
		if c.shareLimit(now, s); s.allowance.share != before {
			c.emitLimitChanged(now, s, LimitFromFleet)
		}
	}
}
