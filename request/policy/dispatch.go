package policy

import (
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// dispatch starts waiting requests while servers have free slots: first classes
// below their guaranteed share, then requests that can meet their target, by position,
// then late ones, by position.
func (c *core) dispatch(now time.Time, p *pool) {
	c.expireDue(now)
	p.dirty = false
	c.tryTrials(now, p)
	for p.queue.Len() > 0 {
		if !c.startGuaranteed(now, p) && !c.startNext(now, p) {
			break
		}
	}
	p.queue.RestoreSkipped()
	p.updateFullSince(now)
}

func (c *core) startGuaranteed(now time.Time, p *pool) bool {
	item := p.queue.NextByCredit(now)
	if item == nil {
		return false
	}
	r := c.requests[ID(item.ID)]
	s := c.choose(now, r, chooseOptions{late: true})
	if s == nil {
		return false
	}
	if !c.mayBegin(now, r, s) {
		s.returnDisplaceBudget(r)
		return false
	}
	p.queue.SpendCredit(item)
	c.startQueued(now, r, s)
	return true
}

// maxPassedOver is how many requests of a level are passed over in one dispatch. The
// engines suitable for them are full, but those behind them may suit other engines.
const maxPassedOver = 4

func (c *core) startNext(now time.Time, p *pool) bool {
	for _, late := range [...]bool{false, true} {
		for position := range model.Positions {
			if c.startRank(now, p, model.TierOf(position), model.RankOf(position), late) {
				return true
			}
		}
	}
	return false
}

// startRank starts the first request of a rank within its tier for which a server is
// available.
func (c *core) startRank(now time.Time, p *pool, tier, rank int, late bool) bool {
	for passedOver := 0; passedOver < maxPassedOver; {
		item := p.queue.Peek(tier, rank, late)
		if item == nil {
			return false
		}
		if c.tryStart(now, p, item) {
			return true
		}
		r := c.requests[ID(item.ID)]
		if r.blocked != BlockedByRoom {
			return false
		}
		if r.limitedByVersion() {
			// Those behind it may use other servers.
			c.park(r)
			continue
		}
		p.queue.Skip(item)
		passedOver++
	}
	return false
}

func (c *core) tryStart(now time.Time, p *pool, item *queue.Item) bool {
	urgent := item.Tier == 0 && item.Rank == 0 && !item.Late
	r := c.requests[ID(item.ID)]
	if !urgent && (p.runningUpTo(positionOf(r.class)) >= p.quota || !p.withinSplit(r)) {
		r.blocked = BlockedByShare
		return false
	}
	opts := chooseOptions{reserve: c.choice.reserves[p.reserveTier(r)], late: item.Late}
	if item.Late {
		opts.reserve += lateReserve
	}
	if r.Pinned && !p.service {
		opts.reserve += rankReserve * float64(item.Rank*p.slots())
		if c.boardActive {
			opts.reserve += staleLoadReserve
		}
	}
	if !urgent && float64(len(p.running)) >= p.quota {
		opts.reserve += overQuotaReserve
	}
	opts.reserve += p.shareReserve(r)
	if r.versionBound && p.versioned {
		// New answers may start elsewhere and leave the reserve of its version's servers to it.
		opts.reserve = 0
	}
	s := c.choose(now, r, opts)
	if s != nil && !c.mayBegin(now, r, s) {
		s.returnDisplaceBudget(r)
		r.blocked = BlockedByRoom
		return false
	}
	if s == nil && c.identical.serverToJoin(now, r) != nil {
		c.park(r)
		return true
	}
	if s == nil {
		s = c.preempt(now, r)
	}
	if s == nil {
		c.reserveRoom(now, r)
		r.blocked = BlockedByRoom
		return false
	}
	c.startQueued(now, r, s)
	return true
}

// reserveTier returns the tier whose reserve of slots the request leaves free. Requests
// of all ranks but the first leave that of the least urgent tier in use: bulk must not
// take a slot that short requests of any tier have to leave free.
func (p *pool) reserveTier(r *request) int {
	tier := r.tier()
	if r.class.GetRank() == 0 || p.service {
		return tier
	}
	return max(tier, p.lastTier)
}

// startQueued takes the request out of the queue and starts it.
func (c *core) startQueued(now time.Time, r *request, s *server) {
	r.pool.queue.Started(&r.item)
	c.recordService(now, r)
	if r.pool.queue.Before(&r.item) > r.pool.onTimeWaiting(r) {
		c.stats.PriorityInversions++
	}
	r.pool.observeStart(now, r, s)
	r.pool.queue.AccrueCredit(r.Class, r.item.Cost, now)
	c.start(now, r, s)
}

// onTimeWaiting counts the waiting requests of the request's level that can still
// meet their target.
func (p *pool) onTimeWaiting(r *request) int {
	waiting, late := p.queue.LevelLen(queueLevel(r.class))
	return waiting - late
}

func (c *core) start(now time.Time, r *request, s *server) { c.startWith(now, r, s, nil) }

// startWith starts an attempt. Its KV cache is transferred from the given server,
// which held the answer; nil for none.
func (c *core) startWith(now time.Time, r *request, s, from *server) {
	if !c.check(InvariantIdempotent, r.Idempotent || !r.everSent && r.unsettled == 0) {
		c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, outcomeMessage, 0)
		return
	}
	if b := c.blockOf(r); b != nil {
		c.endBlocked(now, r, b)
		return
	}
	if !c.renewGrant(now, r) {
		c.endWithoutRetry(now, r, RetryDeniedByBudget)
		return
	}
	c.check(InvariantLeaving, !s.closed() || now.Sub(s.closedAt) <= leavingGrace)
	c.check(InvariantSuspects, !c.suspects.Get(r.Digest).Convicted() && (!r.trial || s.trial == r.Digest && s.peerTrials == 0))
	c.check(InvariantDeadline, r.Deadline.IsZero() || now.Before(r.Deadline))
	c.check(InvariantLimit, !s.limitReached(now))
	s.takeAllowance(now)
	s.extraStart = s.extraStart && len(s.running) < s.ownSlots
	s.startBudget--
	r.recordRetry()
	r.attempt++
	r.server = s
	r.attemptSent = false
	r.pastStart = false
	r.attemptTokens = 0
	r.attemptVersion = s.version
	r.started, r.lastAt = now, now
	r.level = r.engineLevel()
	h := c.homesOf(now, r)
	source := h.sourceAt(s, r)
	r.uncached, r.fetched, r.workAhead = source.prefill, source.fetched, s.backlogBefore(r.level)
	r.expectedFirst = s.firstToken(s.load()+1, r.uncached, r.level) + s.fetchTime(r.fetched)
	if r.pool.admitsByEnd() {
		o := c.outlookAt(now, r, s, source)
		r.expectedEnd, r.workTimeAhead = o.End(), o.ahead
	}
	r.recordServed(true)
	c.setTransferred(now, r, s, from)
	decision := c.decision(now, r, s)
	decision.Home = h.ordinal(s)
	if r.reached {
		decision.Retry = r.retryCause
	}
	c.chargeMemory(now, r)
	s.attach(r)
	c.identical.add(r)
	s.ownBacklog.add(r.level, r.uncached)
	r.pool.attach(r)
	c.recordPrefixes(now, r, s)
	s.cache.insert(r.Prefix, now.Add(r.expectedFirst))
	c.running++
	c.stats.Starts++
	if r.tokens > 0 {
		c.stats.Continued++
	}
	fetch := ""
	if source.from != nil {
		fetch = source.from.name
	}
	resume := ""
	if from != nil {
		resume = from.name
	}
	c.emit(Start{ID: r.ID, Server: s.name, Version: s.version, Attempt: r.attempt, Priority: r.tier(), Level: r.level, ResumeFrom: resume, FetchFrom: fetch, Continue: r.tokens > 0, Decision: decision})
}

// returnDisplaceBudget returns what the request took to displace bulk on the server, if it did.
func (s *server) returnDisplaceBudget(r *request) {
	if r.displacing {
		s.displaceBudget++
		r.displacing = false
	}
}

// decision records the inputs of the choice. It must be called before the request is
// attached to the server.
func (c *core) decision(now time.Time, r *request, s *server) Decision {
	reported, paceAge := s.pace.Reported(now)
	decision := Decision{
		Pace: s.paceNow, Reported: reported, PaceAge: paceAge,
		Waited: max(now.Sub(r.item.Arrived), 0), Own: len(s.running), Load: s.load(), ReportAge: number.Seconds(s.reportAge),
		Uncached: r.uncached, Fetched: r.fetched, Ahead: r.workAhead, Expected: r.expectedFirst, Remote: s.remote, Lane: s.lane != laneLong,
		Displaces: r.displacing, Bulk: s.bulkLoad(), Team: c.teamShare(now, r),
	}
	if s.guardsMemory(r.pool) {
		decision.Need, decision.Held, decision.Memory = r.memory.need, s.memory.held(), s.memory.tokens
	}
	return decision
}

// detachFromServer removes the request from its server, if it has one.
func (c *core) detachFromServer(now time.Time, r *request) {
	s := r.server
	if s == nil {
		return
	}
	r.everSent = r.everSent || r.attemptSent
	if r.attemptTokens == 0 {
		s.ownBacklog.add(r.level, -r.uncached)
		if r.kvTransferRate != nil {
			c.observeAbandonedTransfer(now, r)
		}
	} else {
		s.decoding--
	}
	s.detach(r)
	s.creditMemory(r)
	s.startBudget++
	s.returnDisplaceBudget(r)
	r.pool.detach(r)
	c.identical.remove(r)
	r.server = nil
	c.running--
	c.endTrial(now, r, s)
}
