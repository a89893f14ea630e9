package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// A server's limit applies to all instances together. Among hundreds of instances an
// equal share would be a request a minute each, and one request from each at the same
// moment exceeds the limit. So only a few instances send to a limited server, each
// with its share of the limit, and the others send nothing. They are selected by
// rendezvous hashing among the live instances of the server's data centre, so that
// all instances agree without a message and a data centre that is cut off continues
// by itself.

const (
	// minSenders is how many instances send to a server with the lowest limit; each whole
	// request per second of the limit adds one. With minBurst and burstWindow a server
	// gets at most five times its limit plus two requests in any four seconds. The rest
	// of what it tolerates is left for times when instances disagree on which are live.
	minSenders = 2
	// minBurst is the lower bound of the requests that a sender may accumulate;
	// burstWindow is the time over which it may accumulate more.
	minBurst    = 1.0
	burstWindow = 500 * time.Millisecond
	// limitedSlotTime is how long a request counts as running on a limited server when
	// the capacity of the pool is computed.
	limitedSlotTime = 4 * time.Second
)

// senders returns the instances that send to the server, ordered by hash.
func (f *fleet) senders(s *server) []string {
	local, all := []string{}, []string{f.self.Name}
	if f.self.DataCenter == s.dataCenter {
		local = append(local, f.self.Name)
	}
	for name, m := range f.members {
		all = append(all, name)
		if m.DataCenter == s.dataCenter {
			local = append(local, name)
		}
	}
	if len(local) == 0 {
		local = all
	}
	sortByHash(s.name, local)
	// A peer may report any limit, so it is bounded before anything is added to it.
	added := number.Int(min(s.rateLimit.PerSecond, float64(len(local))))
	return local[:min(len(local), minSenders+added)]
}

// allowance is a token bucket for requests to a limited server.
type allowance struct {
	// share is the refill rate in requests per second; credit is the number of requests
	// available as of at.
	share, credit float64
	at            time.Time
}

// refresh updates the credit to now.
func (a *allowance) refresh(now time.Time) {
	a.credit = min(a.credit+a.share*now.Sub(a.at).Seconds(), max(minBurst, a.share*burstWindow.Seconds()))
	a.at = now
}

// shareLimit computes this instance's share of the server's limit.
func (c *core) shareLimit(now time.Time, s *server) {
	if !s.rateLimit.Advertised {
		s.allowance = allowance{}
		return
	}
	if s.allowance.at.IsZero() {
		s.allowance.at = now
	}
	s.allowance.refresh(now)
	s.allowance.share = 0
	if senders := c.fleet.senders(s); slices.Contains(senders, c.options.Instance) {
		s.allowance.share = s.rateLimit.PerSecond / float64(len(senders))
	}
}

// limitReached reports whether this instance may not send a request to the server
// now because of its limit.
func (s *server) limitReached(now time.Time) bool {
	if !s.rateLimit.Advertised {
		return false
	}
	s.allowance.refresh(now)
	return s.allowance.credit < 1
}

// takeAllowance takes a started request out of the server's allowance.
func (s *server) takeAllowance(now time.Time) {
	if s.rateLimit.Advertised {
		s.allowance.refresh(now)
		s.allowance.credit--
	}
}

// closedByLimits reports whether every available server of the pool is limited and
// this instance is not a sender of any of them.
func (p *pool) closedByLimits() bool {
	limited := false
	for _, s := range p.servers {
		if s.closed() || s.unreachable {
			continue
		}
		if !s.rateLimit.Advertised || s.allowance.share > 0 {
			return false
		}
		limited = true
	}
	return limited
}
