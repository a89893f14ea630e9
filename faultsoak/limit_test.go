package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// limitSettles is how long after a server first named its limit all must keep to it.
	limitSettles = 4 * time.Second
	// limitSpan is the span in which a server counts what it gets.
	limitSpan = 4 * time.Second
)

// limitTime is a time in which a server named a limit.
type limitTime struct {
	server    *standin.Server
	perSecond float64
	from, to  time.Time
}

// limitSteps draws which servers name limits, and when.
func limitSteps(seed uint64, length time.Duration, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 78))
	var steps []step
	for at := healthyStart; at < length; at += time.Duration(2+random.IntN(6)) * time.Second {
		server, perSecond, lasts := random.IntN(servers), float64(5+random.IntN(100))/10, time.Duration(6+random.IntN(5))*time.Second
		steps = append(steps, step{at, fmt.Sprintf("server %d names a limit of %v a second for %v", server, perSecond, lasts), func(r *run) {
			r.limit(server, perSecond, lasts)
		}})
	}
	return steps
}

// limit has a server name a limit for a while, one at a time.
func (r *run) limit(server int, perSecond float64, lasts time.Duration) {
	s := r.fleet.servers[server]
	r.mu.Lock()
	taken := r.needy[s]
	r.needy[s] = true
	r.mu.Unlock()
	if taken {
		return
	}
	r.later(func() {
		from := time.Now()
		s.SetLimit(strconv.FormatFloat(perSecond, 'f', 1, 64))
		r.sleep(lasts)
		s.SetLimit("")
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.needy, s)
		r.limits = append(r.limits, limitTime{s, perSecond, from, time.Now()})
	})
}

// judgeLimits: entries keep to a server's limit together, but for those that were down, paused
// or cut off shortly before.
func (r *run) judgeLimits() {
	for _, l := range r.limits {
		var counted []time.Time
		for _, a := range l.server.Arrivals() {
			c := r.calls[a.AttemptID]
			if c != nil && a.At.After(l.from.Add(limitSettles)) && a.At.Before(l.to) && r.mustKnow(c.entry, a.At) {
				counted = append(counted, a.At)
			}
		}
		allowed := int(1.5*l.perSecond*limitSpan.Seconds() + 5)
		for i := range counted {
			most := 0
			for _, at := range counted[:i+1] {
				if counted[i].Sub(at) < limitSpan {
					most++
				}
			}
			r.check(most <= allowed, "limits", "%s named %v a second and got %d in %v", l.server.Identity, l.perSecond, most, limitSpan)
		}
	}
}

// hurt is a time in which a process was down, paused or cut off; to is zero while it lasts.
type hurt struct {
	entry    *process
	from, to time.Time
}

// hurting notes that a fault of the process begins; the answer notes its end.
func (r *run) hurting(p *process) (ended func()) {
	h := &hurt{entry: p, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hurts = append(r.hurts, h)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		h.to = time.Now()
	}
}

// mustKnow tells whether the entry had no fault for so long that it knows the limits.
func (r *run) mustKnow(entry *process, at time.Time) bool {
	for _, f := range r.hurts {
		if f.entry == entry && at.After(f.from) && (f.to.IsZero() || at.Before(f.to.Add(limitSettles+limitSpan))) {
			return false
		}
	}
	return true
}
