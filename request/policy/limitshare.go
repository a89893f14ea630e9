package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A server's limit holds for all instances together. An equal part for each of hundreds
// would be a request in a minute, and one request of each at the same moment breaks it. So
// few instances send to a server in need, each its part of the limit; all others none. They
// are picked by rendezvous hash among the living instances of the server's data centre, so
// all agree on them without a message, and a data centre that is cut off goes on by itself.

const (
	// leastSenders is how many instances send to a server with the least limit; each whole
	// request a second allows one more. With leastBurst and burstFor a server gets, in any
	// four seconds, at most five times its limit and two: the rest of what it bears is left
	// for times in which instances disagree on who lives.
	minSenders = 2
	// leastBurst is how many requests a sender may save up, at least; burstFor the time in
	// which it may save more.
	minBurst    = 1.0
	burstWindow = 500 * time.Millisecond
	// missingFor is how long an instance that is no longer heard keeps its part: it may go
	// on sending beyond a cut.
	missingTTL = 10 * time.Second
	// limitedHold is for how long a request of a limited server counts as running there,
	// in what the pool can run.
	limitedSlotTime = 4 * time.Second
)

// Instance is another instance of the fleet.
type Instance struct{ Name, DataCenter string }

// Fleet names the other instances that live.
type Fleet struct{ Others []Instance }

func (Fleet) event() {}

// living is an instance; missingSince is when it was no longer heard, zero while it is.
type fleetMember struct {
	Instance
	missingSince time.Time
}

// fleet is what is known of all instances, this one included.
type fleet struct {
	self    Instance
	members map[string]fleetMember
}

func newFleet(self Instance) fleet { return fleet{self: self, members: make(map[string]fleetMember)} }

// alive takes in who lives.
func (f *fleet) update(now time.Time, others []Instance) {
	for name, m := range f.members {
		if m.missingSince.IsZero() {
			f.members[name] = fleetMember{m.Instance, now}
		}
	}
	for _, other := range others {
		f.members[other.Name] = fleetMember{Instance: other}
	}
}

// forget drops who has been missing for some time.
func (f *fleet) expire(now time.Time) {
	for name, m := range f.members {
		if !m.missingSince.IsZero() && now.Sub(m.missingSince) > missingTTL {
			delete(f.members, name)
		}
	}
}

// senders are the instances that send to the server, in order of their names' hashes.
func (f *fleet) senders(s *server) []string {
	near, all := []string{}, []string{f.self.Name}
	if f.self.DataCenter == s.dataCenter {
		near = append(near, f.self.Name)
	}
	for name, m := range f.members {
		all = append(all, name)
		if m.DataCenter == s.dataCenter {
			near = append(near, name)
		}
	}
	if len(near) == 0 {
		near = all
	}
	slices.SortFunc(near, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(s.name+"/"+a), xxhash.Sum64String(s.name+"/"+b)), cmp.Compare(a, b))
	})
	return near[:min(len(near), minSenders+int(s.limited.PerSecond))]
}

// allowance is what this instance may send to a limited server.
type allowance struct {
	// share is in requests a second; credit is what is saved up, as of at.
	share, credit float64
	at            time.Time
}

// refresh brings the credit up to date.
func (a *allowance) refresh(now time.Time) {
	a.credit = min(a.credit+a.share*now.Sub(a.at).Seconds(), max(minBurst, a.share*burstWindow.Seconds()))
	a.at = now
}

// shareLimit works out this instance's part of the server's limit.
func (c *core) shareLimit(now time.Time, s *server) {
	if !s.limited.Advertised {
		s.allowed = allowance{}
		return
	}
	if s.allowed.at.IsZero() {
		s.allowed.at = now
	}
	s.allowed.refresh(now)
	s.allowed.share = 0
	if senders := c.fleet.senders(s); slices.Contains(senders, c.options.Instance) {
		s.allowed.share = s.limited.PerSecond / float64(len(senders))
	}
}

// held tells whether the server's limit leaves no request to this instance now.
func (s *server) limitReached(now time.Time) bool {
	if !s.limited.Advertised {
		return false
	}
	s.allowed.refresh(now)
	return s.allowed.credit < 1
}

// spend takes a request that starts on the server out of its allowance.
func (s *server) takeAllowance(now time.Time) {
	if s.limited.Advertised {
		s.allowed.refresh(now)
		s.allowed.credit--
	}
}

// shut tells whether no server of the pool ever takes a request from this instance, while
// limits stand as they do.
func (p *pool) closedByLimits() bool {
	limited := false
	for _, s := range p.servers {
		if s.closed() || s.unreachable {
			continue
		}
		if !s.limited.Advertised || s.allowed.share > 0 {
			return false
		}
		limited = true
	}
	return limited
}
