package policy

import (
	"maps"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/process/settings"
	byend "github.com/lilacbridge/lilacbridge/request/finish"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// In contended pools, requests are admitted by when their answers end, not only by when they begin:
// an answer that its caller's time limit cuts off took slots and prefill time from others and served
// nobody. See docs/design/admission-by-end.md.

const (
	// longBacklogShare is the fraction of its target for the first token from which the prompt work
	// ahead of a request counts as long: while it is, a request that can't be on time doesn't start.
	longBacklogShare = 0.5
	// earlyShare is the part of the target within which a request that can only be late is refused;
	// later its caller has waited too long for a refusal to help.
	earlyShare = 8
	// servedWindow is the time constant of the counts of accepted requests.
	servedWindow = 20 * time.Second
	// limitSlack is how long before the deadline known here a caller's own limit may pass.
	limitSlack = 250 * time.Millisecond
	// returnShare is the part of the start rate that is kept for refused callers who return.
	returnShare = 0.5

	unfinishedMessage = "the answer would not end within the time limit; send the request again after Retry-After, or allow more time"
	backlogMessage    = "the backend servers have too much work ahead to begin the answer in time; send the request again after Retry-After"
)

// RefusalReason is why a contended pool refused a request.
type RefusalReason string

// The reasons for refusals in contended pools.
const (
	// RefusedUnfinished: the answer can't end within its caller's time limit.
	RefusedUnfinished RefusalReason = "unfinished"
	// RefusedBacklog: the answer can only begin late, and the work ahead is long.
	RefusedBacklog RefusalReason = "backlog"
)

// FinishStats are the counters of admission by the end of the answer in one pool.
type FinishStats struct {
	Refused map[RefusalReason]uint64
	// Returned counts callers who were refused before and returned.
	Returned uint64
	Accuracy byend.Accuracy
}

// finishing is a pool's state of admission by the end of the answer.
type finishing struct {
	// spreads compares the ends of answers with the expected ones, firsts their first tokens.
	spreads, firsts map[string]*byend.Spread
	served          map[string]*byend.Served
	// limits is the usual time limit of each class's callers.
	limits  map[string]*byend.UsualLimit
	returns [model.Levels]*byend.Returns
	stats   FinishStats
}

func newFinishing() finishing {
	f := finishing{spreads: make(map[string]*byend.Spread), firsts: make(map[string]*byend.Spread), served: make(map[string]*byend.Served), limits: make(map[string]*byend.UsualLimit), stats: FinishStats{Refused: make(map[RefusalReason]uint64)}}
	for level := range f.returns {
		f.returns[level] = byend.NewReturns()
	}
	return f
}

func (f *finishing) spread(class string) *byend.Spread { return spreadOf(f.spreads, class) }

func (f *finishing) first(class string) *byend.Spread { return spreadOf(f.firsts, class) }

func spreadOf(spreads map[string]*byend.Spread, class string) *byend.Spread {
	s := spreads[class]
	if s == nil {
		s = byend.NewSpread()
		spreads[class] = s
	}
	return s
}

func (f *finishing) limit(class string) *byend.UsualLimit {
	l := f.limits[class]
	if l == nil {
		l = &byend.UsualLimit{}
		f.limits[class] = l
	}
	return l
}

func (f *finishing) servedOf(class string) *byend.Served {
	s := f.served[class]
	if s == nil {
		s = &byend.Served{}
		f.served[class] = s
	}
	return s
}

// admitsByEnd reports whether the pool admits requests by the end of their answers.
func (p *pool) admitsByEnd() bool {
	return p.contended() && !p.service && p.enabled(settings.AdmissionByEnd)
}

// outlook is what a request would get on a server that it started on now.
type outlook struct {
	byend.Expectation
	// ahead is the time for the prompt work of all instances before it there.
	ahead   time.Duration
	verdict byend.Verdict
}

// outlookAt returns the request's outlook on the server. A full batch counts as such, not the
// requests above it: what waits there is less urgent or in the work ahead.
func (c *core) outlookAt(now time.Time, r *request, s *server, source promptSource) outlook {
	level := r.engineLevel()
	n := min(s.load()+1, float64(s.slots))
	o := outlook{ahead: number.Seconds(s.prefill * s.backlogBefore(level))}
	first := s.firstToken(n, source.prefill, level) + s.fetchTime(source.fetched)
	o.First = r.pool.finishing.first(r.Class).Even(byend.Expectation{First: first})
	o.Gap, o.Tokens = max(s.gapAt(n), r.pool.usualGap(r.Class)), r.tokensLeft(c)
	o.Busy = max(number.Seconds(s.prefill*s.backlogBefore(engineLevels-1))-o.ahead, 0)
	o.BusyGap = s.gapAt(n) + number.Seconds(s.prefill*prefillChunk)
	o.verdict = byend.Judge(o.Expectation, r.budget(now), r.pool.finishing.spread(r.Class))
	return o
}

// usualGap returns the mean gap between tokens of the class's recent answers.
func (p *pool) usualGap(class string) time.Duration {
	return number.Seconds(p.usageByClass[class].traffic.tokenGap)
}

// bestOutlook returns the request's best outlook on any server, now; ok is false if none may run it.
func (c *core) bestOutlook(now time.Time, r *request) (best outlook, ok bool) {
	h := c.homesOf(now, r)
	for _, s := range r.pool.servers {
		if !s.isOpen(now) || now.Before(s.ejectedUntil) || !s.maySend(now, r) {
			continue
		}
		source := h.sourceAt(s, r)
		if source.duplicate >= minDuplicatePrefill || s.interferes(now, r, source.prefill) {
			continue
		}
		o := c.outlookAt(now, r, s, source)
		if !ok || o.verdict < best.verdict || o.verdict == best.verdict && o.End() < best.End() {
			best, ok = o, true
		}
	}
	return best, ok
}

// limitAt returns the time that the caller still waits; 0 if it states no limit.
func (r *request) limitAt(now time.Time) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return r.Deadline.Sub(now)
}

func (r *request) budget(now time.Time) byend.Budget {
	return byend.Budget{First: r.slack(now), End: r.Deadline.Sub(now), Unlimited: r.Deadline.IsZero()}
}

// mayBegin reports whether the request may start on the server chosen for it: if its answer can end
// in time and, should it begin late, little prompt work is ahead.
func (c *core) mayBegin(now time.Time, r *request, s *server) bool {
	if !r.pool.admitsByEnd() || r.tokens > 0 || r.Resumed {
		return true
	}
	h := c.homesOf(now, r)
	o := c.outlookAt(now, r, s, h.sourceAt(s, r))
	return o.verdict == byend.OnTime || o.verdict == byend.Late && (r.protected() || !r.hasLongBacklog(o))
}

// protected reports whether the request may begin late behind much work, as long as its answer can end
// in time.
func (r *request) protected() bool {
	f := &r.pool.finishing
	return f.servedOf(r.Class).Owed(float64(r.PromptTokens)) || r.pool.belowShare(r)
}

// belowShare reports whether the class got less than its guaranteed share of what the instance
// accepted in the last seconds.
func (p *pool) belowShare(r *request) bool {
	total := 0.0
	for _, u := range p.usages {
		total += p.finishing.servedOf(u.class.GetName()).Cost()
	}
	return p.finishing.servedOf(r.Class).Cost() < guaranteedShare(r.class)*total
}

func (r *request) hasLongBacklog(o outlook) bool {
	return o.ahead > number.Duration(longBacklogShare*float64(r.firstTokenTarget()))
}

// refuseUnfinished refuses a waiting request that can't end in time on any server, or that can only
// begin late behind much work, if that is known early.
func (c *core) refuseUnfinished(now time.Time, r *request) bool {
	if !r.pool.admitsByEnd() || !r.item.Waiting() || r.item.Begun {
		return false
	}
	o, ok := c.bestOutlook(now, r)
	if !ok {
		return false
	}
	r.expectedEnd, r.workTimeAhead = o.End(), o.ahead
	early := now.Sub(r.item.Arrived) <= r.firstTokenTarget()/earlyShare
	switch {
	case o.verdict == byend.TooLate:
		c.refuseByEnd(now, r, RefusedUnfinished, unfinishedMessage)
	case o.verdict == byend.Late && early && r.hasLongBacklog(o) && !r.returned && !r.protected():
		c.refuseByEnd(now, r, RefusedBacklog, backlogMessage)
	default:
		return false
	}
	return true
}

func (c *core) refuseByEnd(now time.Time, r *request, reason RefusalReason, message string) {
	r.pool.finishing.stats.Refused[reason]++
	r.reason = reason
	c.dequeue(r)
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, message, c.retryAfter(r.pool))
}

// refuseWaitingUnfinished refuses waiting requests that have become unable to end in time.
func (c *core) refuseWaitingUnfinished(now time.Time, p *pool) {
	if !p.admitsByEnd() {
		return
	}
	for _, served := range p.finishing.served {
		served.Decay(slowTick.Seconds() / servedWindow.Seconds())
	}
	var late []*request
	p.queue.EachLate(func(item *queue.Item) { late = append(late, c.requests[ID(item.ID)]) })
	for _, r := range late {
		c.refuseUnfinished(now, r)
	}
}

// returnAfter returns when the caller of a request that is refused because of load should return: in
// a contended pool in its turn, once the work ahead of it is done. For a request whose outlook is not
// known, that takes the time after.
func (c *core) returnAfter(now time.Time, r *request, after time.Duration) time.Duration {
	if !r.pool.admitsByEnd() || r.Deadline.IsZero() || after <= 0 {
		return after
	}
	f := &r.pool.finishing
	drain, need := after, time.Duration(0)
	if r.expectedEnd > 0 {
		drain, need = r.workTimeAhead, max(r.expectedEnd-r.workTimeAhead, 0)
	}
	return f.returns[queueLevel(r.class)].Assign(now, r.Digest, drain, need, r.Deadline.Sub(now), returnShare*r.pool.startRate, c.random.Float64())
}

// redeemReturn notes whether the caller was refused before. One that returns to another instance than
// the one that refused it is known by having less time left than callers of its class start with.
func (c *core) redeemReturn(now time.Time, r *request) {
	if !r.pool.admitsByEnd() || r.Deadline.IsZero() {
		return
	}
	f := &r.pool.finishing
	promised := f.returns[queueLevel(r.class)].Redeem(now, r.Digest)
	shortened := f.limit(r.Class).Observe(r.Deadline.Sub(now))
	if r.returned = promised || shortened; r.returned {
		f.stats.Returned++
	}
}

// recordServed counts the decision on a request.
func (r *request) recordServed(accepted bool) {
	if r.pool.admitsByEnd() && !r.counted {
		r.counted = true
		r.pool.finishing.servedOf(r.Class).Record(float64(r.PromptTokens), r.item.Cost, accepted)
	}
}

// finishStats returns copies of the counters of all contended pools.
func (c *core) finishStats() map[string]FinishStats {
	all := make(map[string]FinishStats)
	for _, p := range c.poolOrder {
		if p.admitsByEnd() {
			stats := p.finishing.stats
			stats.Refused = maps.Clone(stats.Refused)
			all[p.name] = stats
		}
	}
	return all
}

// observeFirst records how long an attempt took until its first token.
func (c *core) observeFirst(now time.Time, r *request) {
	if r.pool.admitsByEnd() {
		r.pool.finishing.first(r.Class).Observe(r.expectedFirst, now.Sub(r.started))
	}
}

// cutOffByLimit reports whether a caller that disconnects does so because its time limit passes.
func (r *request) cutOffByLimit(now time.Time) bool {
	return !r.Deadline.IsZero() && r.Deadline.Sub(now) < limitSlack
}

// observeEnd records how long an attempt took until its end or until it was cut off.
func (c *core) observeEnd(now time.Time, r *request) {
	if !r.pool.admitsByEnd() || r.server == nil || r.attemptTokens != r.tokens {
		return
	}
	actual := now.Sub(r.started)
	r.pool.finishing.spread(r.Class).Observe(r.expectedEnd, actual)
	r.pool.finishing.stats.Accuracy.Observe(r.expectedEnd, actual)
}
