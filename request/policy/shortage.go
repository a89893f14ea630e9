package policy

import (
	"math"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Check is the check that refused a request for lack of room.
type Check string

// The checks that refuse requests for lack of room.
const (
	// CheckNone: the request was not refused for lack of room.
	CheckNone Check = ""
	// CheckTier: all instances refuse arrivals of the tier.
	CheckTier Check = "tier"
	// CheckQueue: the queue takes too long.
	CheckQueue Check = "queue"
	// CheckStart: an arrival would not start in time.
	CheckStart Check = "start"
	// CheckLate: the request has missed its target.
	CheckLate Check = "late"
	// CheckShare: another request of the level was preferred.
	CheckShare Check = "share"
	// CheckRates: all servers state a rate limit that is used up.
	CheckRates Check = "rates"
	// CheckOpen: no server of the pool accepts requests.
	CheckOpen Check = "open"
)

// Use is whether this instance starts requests on a server, or why it does not.
type Use string

// The uses of a server.
const (
	UseAvailable Use = "available"
	// UseFull: as many requests as it may run are counted there.
	UseFull Use = "full"
	// UseClosed: it leaves, or is gone.
	UseClosed Use = "closed"
	// UseUnreachable: its data centre is silent.
	UseUnreachable Use = "unreachable"
	// UsePaused: attempts failed there.
	UsePaused Use = "paused"
	// UseProbed: one request at a time, until one is answered.
	UseProbed Use = "probed"
	// UseRejected: it rejected a request for load.
	UseRejected Use = "rejected"
	// UseLate: a first token was late there.
	UseLate Use = "late"
	// UseSlow: with the requests that are counted there, its answer is expected after the target.
	UseSlow Use = "slow"
	// UseLimited: the rate limit, or the number of rejections, that it states is reached.
	UseLimited Use = "limited"
)

// ServerUse is how an instance uses a server and what it takes that from.
type ServerUse struct {
	Server string
	Use    Use
	// Reason is why a server is paused; Left is for how much longer a pause lasts, 0 if that is
	// not known.
	Reason AvailabilityReason
	Left   time.Duration
	// Own is the number of this instance's requests there, Load that of all instances as they are
	// counted, and Limit how many may run.
	Own         int
	Load, Limit float64
	// Expected is the expected time to the first token of one more request.
	Expected time.Duration
	// Reported is the load of other instances by the server's own report, Told by what other
	// instances told. Reporter is the instance that told most, ToldAge the age of its report; it is
	// empty where loads come from the load board or from nobody. Silent is the time since any
	// instance of the server's data centre was heard from. Times are negative for never.
	Reported, Told                   float64
	Reporter                         string
	ReportAge, ToldAge, LastResponse time.Duration
	Silent                           time.Duration
}

// Shortage is why a request was refused for lack of room.
type Shortage struct {
	Check Check
	// Waiting is the number of waiting requests, Rate what the pool is expected to serve in a
	// second, StartRate what it started in a second of late, and FullFor for how long requests of
	// the position have waited.
	Waiting         int
	Rate, StartRate float64
	FullFor         time.Duration
	// Servers are some of the pool's servers, and Counts the number of all of them by use, as they
	// were Age ago.
	Servers []ServerUse
	Counts  map[Use]int
	Age     time.Duration
}

// maxShortageServers bounds the servers that a Shortage tells of.
const maxShortageServers = 6

// endOverloaded refuses a request for lack of room, with a message that names why there is none.
func (c *core) endOverloaded(now time.Time, r *request, check Check, after time.Duration) {
	message := overloadMessage
	switch counts := c.shortageOf(now, r, check).Counts; {
	case counts[UseAvailable] > 0:
		message = waitingMessage
	case counts[UseFull]+counts[UseRejected]+counts[UseLate]+counts[UseLimited] > 0:
	case counts[UseSlow] > 0:
		message = slowMessage
	default:
		message = unusedMessage
	}
	c.endShort(now, r, check, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, message, after)
}

// endShort refuses a request for lack of room.
func (c *core) endShort(now time.Time, r *request, check Check, kind fault.Kind, message string, after time.Duration) {
	r.shortage = c.shortageOf(now, r, check)
	c.end(now, r, kind, message, after)
}

// shortageOf returns why the request is refused by the check. Many may be refused at once, so the
// servers are described once in each slowTick.
func (c *core) shortageOf(now time.Time, r *request, check Check) *Shortage {
	p := r.pool
	if p.shortage.Counts == nil || now.Sub(p.shortageAt) >= slowTick {
		p.shortageAt = now
		c.describeServers(now, r, &p.shortage)
	}
	s := p.shortage
	s.Check, s.Waiting, s.Rate, s.StartRate, s.Age = check, p.queue.Len(), p.tokenRate, p.startRate, now.Sub(p.shortageAt)
	if since := p.fullSince[positionOf(r.class)]; !since.IsZero() {
		s.FullFor = now.Sub(since)
	}
	return &s
}

// Main returns the use of most servers, the first by name of several.
func (s *Shortage) Main() string {
	main := Use("")
	for use, count := range s.Counts {
		if count > s.Counts[main] || count == s.Counts[main] && use < main {
			main = use
		}
	}
	return string(main)
}

func (c *core) describeServers(now time.Time, r *request, to *Shortage) {
	to.Servers, to.Counts = nil, make(map[Use]int)
	for _, s := range r.pool.servers {
		use, left := s.use(now, r)
		to.Counts[use]++
		if len(to.Servers) < maxShortageServers {
			to.Servers = append(to.Servers, c.describeUse(now, s, r, use, left))
		}
	}
}

// use returns how this instance uses the server for the request, and for how much longer if that is
// known. It names the first reason by which candidates are rejected.
func (s *server) use(now time.Time, r *request) (Use, time.Duration) {
	switch {
	case s.closed():
		return UseClosed, 0
	case now.Before(s.leavingUntil):
		return UseClosed, s.leavingUntil.Sub(now)
	case s.unreachable:
		return UseUnreachable, 0
	case now.Before(s.ejectedUntil):
		return UsePaused, s.ejectedUntil.Sub(now)
	case now.Before(s.busyUntil):
		return UseRejected, s.busyUntil.Sub(now)
	case now.Before(s.fullUntil):
		return UseLate, s.fullUntil.Sub(now)
	case s.limitReached(now) || s.mayReject():
		return UseLimited, 0
	case s.probing && len(s.running) > 0:
		return UseProbed, 0
	case s.load()+1 > s.useLimit(r):
		return UseFull, 0
	case r.firstTokenTarget() > 0 && s.expectedFirst(r) > r.firstTokenTarget():
		return UseSlow, 0
	}
	return UseAvailable, 0
}

// expectedFirst returns the expected time to the first token of one more request.
func (s *server) expectedFirst(r *request) time.Duration {
	return s.firstToken(s.load()+1, s.uncachedTokens(r), r.engineLevel())
}

// useLimit returns how many requests may run on the server, this one included.
func (s *server) useLimit(r *request) float64 {
	return s.limit(s.gapTarget(r.pool, r.tokenGapTarget()), r.tokenGapTarget())
}

func (c *core) describeUse(now time.Time, s *server, r *request, use Use, left time.Duration) ServerUse {
	u := ServerUse{
		Server: s.name, Use: use, Left: left, Own: len(s.running), Load: s.load(), Limit: s.useLimit(r), Expected: s.expectedFirst(r),
		Reported: s.reportedLoad, Told: s.peerLoad + s.boardLoad, ReportAge: s.reportAgeAt(now), ToldAge: -time.Millisecond,
		LastResponse: s.lastResponseAge(now), Silent: -time.Millisecond,
	}
	if use == UsePaused {
		u.Reason = s.ejectedFor
	}
	if heard, known := c.dataCenterHeard[s.dataCenter]; known {
		u.Silent = now.Sub(heard)
	}
	most := math.Inf(-1)
	for _, name := range c.peerNames {
		p := c.peers[name]
		if p == nil {
			continue
		}
		for _, load := range p.loads {
			if load.server == s && load.inFlight > most {
				most, u.Reporter, u.ToldAge = load.inFlight, name, now.Sub(p.at)
			}
		}
	}
	return u
}

// reportAgeAt returns the age of the server's last report of its load, negative for none.
func (s *server) reportAgeAt(now time.Time) time.Duration {
	if s.reportAge < 0 {
		return -time.Millisecond
	}
	return now.Sub(s.reportedAt)
}
