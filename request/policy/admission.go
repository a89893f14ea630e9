package policy

import (
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// defaultClass is the class of requests that name none, if it is configured.
const defaultClass = "default"

func (c *core) arrive(now time.Time, a Arrival) {
	c.stats.Arrivals++
	if !c.check(InvariantOneFinal, c.requests[a.ID] == nil) {
		return
	}
	r := &request{Arrival: a, quarantinedAt: now, idleSince: now}
	if a.Resumed {
		r.bindVersion(a.Version)
	}
	if refusal, ok := c.admit(now, r); !ok {
		refusal.ID = a.ID
		refusal.Queue.Position = -1
		refusal.NotRun = lilacv1.NotRun_NOT_RUN_TRUE
		c.stats.Refused++
		c.emit(refusal)
		return
	}
	c.requests[a.ID] = r
	if !a.Deadline.IsZero() {
		c.timers.add(a.Deadline, a.ID)
	}
	c.charge(now, r)
	r.pool.retryBudget.Earn()
	r.pool.recordUse(r.class, now)
	repeat := c.recallRepeat(now, r)
	if !repeat {
		r.pool.observeWork(r)
		r.pool.usageByClass[r.Class].traffic.observeArrival(r.estimated)
	}
	c.initItem(now, r)
	c.redeemReturn(now, r)
	if !repeat {
		c.ask(now, r)
	}
	r.placeRepeat(now)
	if c.refuseOutliving(now, r) || c.refuseTooLarge(now, r) || c.refuseEarly(now, r) || c.refuseCutOff(now, r) || c.refuseWhenFull(now, r) {
		return
	}
	c.enqueue(now, r)
	c.dispatch(now, r.pool)
	c.refuseUnfinished(now, r)
	c.shedOverload(now, r.pool)
}

// admit checks the request against the configuration and the limit of its team.
func (c *core) admit(now time.Time, r *request) (Refuse, bool) {
	if c.draining || c.view.Instances[c.options.Instance].GetDraining() {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_DRAINING, "this instance is shutting down; send the request again, another instance will accept it", c.jitter(time.Second))
	}
	if r.Class == "" {
		r.Class = defaultClass
	}
	r.class = c.view.Classes[r.Class]
	if r.class == nil {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_CLASS, fmt.Sprintf("class %q is not configured; ask the operators for the classes, or SET CLASS", r.Class), 0)
	}
	team := c.view.Teams[r.Team]
	if team == nil {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_TEAM, fmt.Sprintf("team %q is not configured; ask the operators to SET TEAM", r.Team), 0)
	}
	if c.convicted(now, r.Digest) {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_CONVICTED, convictedMessage, 0)
	}
	r.pool = c.pools[r.Target]
	if r.pool == nil || len(r.pool.servers) == 0 {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_MODEL, fmt.Sprintf("no backend server serves %q; GET /v1/models lists what is served", r.Target), 0)
	}
	if b := c.refusingBlock(r); b != nil {
		r.pool.partsRefused++
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_CONVICTED, partMessage(b.Part), r.partRetryAfter(now, b))
	}
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "the deadline had passed on arrival; allow more time", 0)
	}
	r.limit = limitOf(team)
	if wait, ok := c.limits.Allow(r.Team, r.limit, now); !ok {
		return refuseWith(lilacv1.ErrorKind_ERROR_KIND_LIMIT, fmt.Sprintf("team %q has exceeded its limit of tokens per second; send the request again after Retry-After, or ask the operators to raise the limit", r.Team), c.jitter(max(wait, minRetryAfter)))
	}
	return Refuse{}, true
}

// convictionInForce reports whether a conviction of the digest is in force.
func (c *core) convictionInForce(now time.Time, digest string) bool {
	conviction := c.view.Convictions[digest]
	if conviction == nil {
		return false
	}
	expires := conviction.GetExpiresUnixMs()
	return expires == 0 || now.UnixMilli() < expires
}

func refuseWith(kind fault.Kind, message string, after time.Duration) (Refuse, bool) {
	return Refuse{Kind: kind, Message: message, RetryAfter: after}, false
}

// charge takes the expected tokens from the team's limit; forget corrects the
// charge by the actual ones.
func (c *core) charge(now time.Time, r *request) {
	r.estimated = 1
	if !r.pool.service {
		r.estimated = c.estimates.Remaining(r.key(), 0)
		if r.Hint > 0 {
			r.estimated = float64(r.Hint)
		}
		if r.MaxTokens > 0 {
			r.estimated = min(r.estimated, float64(r.MaxTokens))
		}
	}
	r.charged = float64(r.PromptTokens) + r.estimated
	c.limits.Spend(r.Team, r.limit, r.charged, now)
}

// prefillCost is the cost of a prompt token relative to a generated one.
const prefillCost = 0.05

func (c *core) initItem(now time.Time, r *request) {
	weight := max(float64(c.view.Teams[r.Team].GetWeight()), 1)
	cost := r.estimated
	if !r.pool.service {
		cost += prefillCost * float64(r.PromptTokens)
	}
	r.item = queue.Item{
		ID: uint64(r.ID), Tier: r.tier(), Rank: min(int(r.class.GetRank()), model.Ranks-1), Class: r.Class, Team: r.Team,
		Weight: weight, Cost: cost, Arrived: now,
	}
	r.item.Due = now.Add(r.firstTokenTarget() - r.pool.expectedFirst(r))
	r.item.Guaranteed = r.pool.withinShare(r)
	r.item.Begun = r.Resumed
}

// startMargin is added to the expected time to the first token, since other
// instances may start requests on the same server at the same moment. In a burst
// each request starts at its latest start time: without the margin a fifth of
// those that started in time missed the target, most by less than a quarter of it.
const startMargin = 120 * time.Millisecond

// expectedFirst returns the part of the target for the first token that must not be
// spent waiting.
func (p *pool) expectedFirst(r *request) time.Duration {
	best := time.Duration(-1)
	for i := range min(len(p.servers), dueSampleSize) {
		s := p.servers[i]
		first := s.firstToken(s.load(), s.uncachedTokens(r), r.engineLevel())
		if best < 0 || first < best {
			best = first
		}
	}
	return min(best+best/4+startMargin, r.firstTokenTarget()/2)
}

// dueSampleSize is how many servers are considered in the estimate of the time to
// the first token.
const dueSampleSize = 4

// enqueue puts the request into the quarantine if it is a suspect, else into the
// queue.
func (c *core) enqueue(now time.Time, r *request) {
	if r.unsettled > 0 {
		return
	}
	if r.lacksVersion(now) {
		c.endLackingVersion(now, r)
		return
	}
	if b := c.blockOf(r); b != nil {
		c.endBlocked(now, r, b)
		return
	}
	r.pool.dirty = true
	r.suspect = false
	if c.suspects.Len() > 0 && c.suspects.Get(r.Digest) != nil {
		r.quarantinedAt, r.suspect = now, true
		r.pool.quarantine = append(r.pool.quarantine, r)
		return
	}
	r.item.Late, r.expectedLate = false, false
	if r.tokens > 0 {
		// A continued answer is due when it would fall behind its class's rate.
		r.item.Due = now.Add(max(r.slack(now), 0))
		r.item.Begun = true
	}
	r.blocked = BlockedByOrder
	if c.parkCopy(r) {
		return
	}
	c.ask(now, r)
	r.pool.queue.Push(&r.item)
}
