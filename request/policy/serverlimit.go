package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// A server in need names how many requests a second it takes from all instances
// together, for as long as it says so. Instances tell each other what their answers say,
// since most of them never have one of that server.

const (
	// limitTold is how long an instance tells what an answer to itself said.
	limitReportTTL = 3 * time.Second
	// limitKept is how long a limit is believed without any word of it: a server to which
	// nobody sends anything says nothing.
	limitTTL = 30 * time.Second
)

// serverLimit is the limit that a server names.
type serverLimit struct {
	loadboard.Limit
	// ownAt is when an answer to this instance last stated or denied a limit; zero where
	// none ever stated one.
	reportedAt time.Time
}

// LimitSource is who told of a server's limit.
type LimitSource string

// The sources of a limit.
const (
	LimitFromResponse LimitSource = "answer"
	LimitFromPeer     LimitSource = "instance"
	// LimitExpired: nobody told of it any more.
	LimitExpired LimitSource = "silence"
	// LimitFromFleet: the limit stands, and other instances live now.
	LimitFromFleet LimitSource = "fleet"
)

// LimitReport is what an answer of the server says of its limit.
type LimitReport struct {
	Server string
	// Named is false where the answer names none: the server takes what comes.
	Named bool
	// PerSecond is in requests a second, of all instances together.
	PerSecond float64
}

// LimitChanged tells the shell that a server's limit, or this instance's part of it, is
// believed to be another one.
type LimitChanged struct {
	Server    string
	Named     bool
	PerSecond float64
	Source    LimitSource
	// Age is that of the word.
	Age time.Duration
	// Share is what this instance may send, in requests a second.
	Share float64
}

func (LimitReport) event()   {}
func (LimitChanged) action() {}

func (c *core) limitReport(now time.Time, e LimitReport) {
	s := c.servers[e.Server]
	if s == nil || !e.Named && s.limited.At.IsZero() {
		return
	}
	c.setLimit(now, s, loadboard.Limit{PerSecond: e.PerSecond, Advertised: e.Named, At: now}, LimitFromResponse)
	s.limited.reportedAt = now
}

// setLimit takes in news of a server's limit, unless newer ones are known.
func (c *core) setLimit(now time.Time, s *server, told loadboard.Limit, source LimitSource) {
	before := s.limited.Limit
	if told.At.Before(before.At) {
		return
	}
	s.limited.Limit = told
	if told.Advertised == before.Advertised && told.PerSecond == before.PerSecond {
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
		Server: s.name, Named: s.limited.Advertised, PerSecond: s.limited.PerSecond, Source: source, Age: now.Sub(s.limited.At), Share: s.allowed.share,
	})
}

// ownLimits are what answers to this instance said lately.
func (c *core) ownLimits(now time.Time) loadboard.Limits {
	limits := make(loadboard.Limits)
	for _, s := range c.ordered {
		if at := s.limited.reportedAt; !at.IsZero() && now.Sub(at) <= limitReportTTL && !s.limited.At.After(at) {
			limits[s.key] = s.limited.Limit
		}
	}
	return limits
}

// hearLimits takes in what answers to other instances said.
func (c *core) applyPeerLimits(now time.Time, told loadboard.Limits) {
	for key, limit := range told {
		if s := c.byKey[key]; s != nil {
			c.setLimit(now, s, limit, LimitFromPeer)
		}
	}
}

// keepLimits drops limits that nobody has told of for long, and brings the shares of the
// others up to date.
func (c *core) refreshLimits(now time.Time) {
	c.fleet.expire(now)
	for _, s := range c.ordered {
		if s.limited.Advertised && now.Sub(s.limited.At) > limitTTL {
			c.setLimit(now, s, loadboard.Limit{At: now}, LimitExpired)
		}
		if !s.limited.Advertised {
			continue
		}
		before := s.allowed.share
		if c.shareLimit(now, s); s.allowed.share != before {
			c.emitLimitChanged(now, s, LimitFromFleet)
		}
	}
}
