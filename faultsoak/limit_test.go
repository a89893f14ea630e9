package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// limitSettleTime is the time after a server first advertises a limit until all entries
	// must observe it.
	limitSettleTime = 4 * time.Second
	// limitWindow is the sliding window in which arrivals are counted.
	limitWindow = 4 * time.Second
)

// limitPeriod is a time during which a server advertised a limit.
type limitPeriod struct {
	server    *standin.Server
	perSecond float64
	from, to  time.Time
}

// limitSteps draws the servers that advertise limits, and when.
func limitSteps(seed uint64, length time.Duration, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 78))
	var steps []step
	for at := warmUp; at < length; at += time.Duration(2+random.IntN(6)) * time.Second {
		server, perSecond, duration := random.IntN(servers), float64(5+random.IntN(100))/10, time.Duration(6+random.IntN(5))*time.Second
		steps = append(steps, step{at, fmt.Sprintf("server %d advertises a limit of %v requests per second for %v", server, perSecond, duration), func(r *run) {
			r.advertiseLimit(server, perSecond, duration)
		}})
	}
	return steps
}

// advertiseLimit makes a server advertise a limit for a while. It does nothing if the server
// already advertises one.
func (r *run) advertiseLimit(server int, perSecond float64, duration time.Duration) {
	s := r.fleet.server(server)
	r.mu.Lock()
	inUse := r.limited[s]
	r.limited[s] = true
	r.mu.Unlock()
	if inUse {
		return
	}
	r.background(func() {
		from := time.Now()
		s.SetLimit(strconv.FormatFloat(perSecond, 'f', 1, 64))
		r.sleep(duration)
		s.SetLimit("")
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.limited, s)
		r.limits = append(r.limits, limitPeriod{s, perSecond, from, time.Now()})
	})
}

// checkLimits checks that all entries together observe a server's limit. Requests of entries
// that were recently down, paused or partitioned are not counted.
func (r *run) checkLimits() {
	for _, l := range r.limits {
		var counted []time.Time
		for _, a := range l.server.Arrivals() {
			c := r.calls[a.AttemptID]
			if c != nil && a.At.After(l.from.Add(limitSettleTime)) && a.At.Before(l.to) && r.mustHonorLimits(c.entry, a.At) {
				counted = append(counted, a.At)
			}
		}
		allowed := int(1.5*l.perSecond*limitWindow.Seconds() + 5)
		for i := range counted {
			most := 0
			for _, at := range counted[:i+1] {
				if counted[i].Sub(at) < limitWindow {
					most++
				}
			}
			r.check(most <= allowed, "limits", "%s advertised %v requests per second and got %d in %v", l.server.Identity, l.perSecond, most, limitWindow)
		}
	}
}

// outageKind is a kind of outage.
type outageKind string

const (
	killed outageKind = "kill"
	// partitioned stands for pauses, lost connections and delays of up to a few seconds, cutOff for
	// complete and long ones.
	partitioned outageKind = "partition"
	cutOff      outageKind = "cut"
	// released is not an outage: servers of another version appear and leave.
	released outageKind = "release"
)

// outage is a time during which a process is down, paused or partitioned. to is zero until
// it ends.
type outage struct {
	entry    *process
	kind     outageKind
	from, to time.Time
}

// overlaps reports whether the outage, or the time of recovery from it, overlaps the given one.
func (o *outage) overlaps(from, to time.Time) bool {
	return o.from.Before(to) && (o.to.IsZero() || o.to.Add(slack).After(from))
}

// beginOutage records the start of an outage. The returned function records its end.
func (r *run) beginOutage(p *process, kind outageKind) (ended func()) {
	o := &outage{entry: p, kind: kind, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, o)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		o.to = time.Now()
	}
}

// mustHonorLimits reports whether the entry has been without an outage long enough to know
// the limits.
func (r *run) mustHonorLimits(entry *process, at time.Time) bool {
	for _, o := range r.outages {
		if o.entry == entry && at.After(o.from) && (o.to.IsZero() || at.Before(o.to.Add(limitSettleTime+limitWindow))) {
			return false
		}
	}
	return true
}
