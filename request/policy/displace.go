package policy

// An engine without a free slot preempts its least urgent request for a more urgent one, prefills
// it again later and continues its answer. In an unexpected burst, long answers of the least
// urgent rank (bulk) hold slots for seconds; a short urgent request may displace one of them.
//
// In a large fleet all instances know how much bulk the others run on each engine. To urgent
// requests, an engine full of bulk has free slots; otherwise they would all go to the few engines
// that are not full of bulk. Preempted bulk is prefilled again, so all instances displace it on
// the same engines first, and on as few as they need.

const (
	// maxPreemptibleShare is the maximum fraction of an engine's slots from which one instance
	// displaces its own bulk, in addition to what other instances displace.
	maxPreemptibleShare = 0.125
	// minPreemptibleSlots is the number of slots below which none is displaced: many instances
	// share a small engine, and all would displace one at the same moment.
	minPreemptibleSlots = 2
	// displaceOvercommit is the fraction of an engine's slots by which displacing requests may
	// exceed its limit and wait there: a slot that is free for a moment would go back to bulk,
	// which is prefilled again.
	displaceOvercommit = 1.0 / 3
)

// preemptibleSlots returns how many of this instance's requests on a full engine, which runs up
// to limit, the request can displace.
func (s *server) preemptibleSlots(r *request, limit float64) float64 {
	maxSlots := maxPreemptibleShare * float64(s.slots)
	if s.engine == nil || !r.Pinned || limit < float64(s.slots) || maxSlots < minPreemptibleSlots {
		return 0
	}
	rank, bulk := r.class.GetRank(), 0.0
	for _, running := range s.running {
		if running.class.GetRank() > rank && running.pool.holdsSlotsLong(running) {
			bulk++
		}
	}
	return min(bulk, maxSlots)
}

// holdsSlotsLong reports whether answers of the request's class hold their slots for long.
func (p *pool) holdsSlotsLong(r *request) bool {
	return p.usageByClass[r.Class].traffic.slotHoldTime(0) >= maxBriefHold.Seconds()
}

// isBulk reports whether engines preempt the request for any more urgent one.
func (r *request) isBulk() bool {
	rank := int(r.class.GetRank())
	return r.Pinned && rank > 0 && rank >= r.pool.lastRank && r.pool.holdsSlotsLong(r)
}

// mayDisplace reports whether the request may displace bulk.
func (r *request) mayDisplace() bool {
	return r.Pinned && !r.pool.service && int(r.class.GetRank()) < r.pool.lastRank
}

// bulkLoad returns the number of all instances' bulk requests on the engine.
func (s *server) bulkLoad() float64 { return s.boardBulk + s.ownBulk() }

// ownBulk returns the number of this instance's bulk requests on the engine.
func (s *server) ownBulk() float64 {
	if s.engine == nil {
		return 0
	}
	count := 0.0
	for _, r := range s.running {
		if r.isBulk() {
			count++
		}
	}
	return count
}

// displaceOrder returns the engine's position, from 0 to 2, in the order in which bulk is
// displaced: pseudo-random, the same for all instances of a region, with the region's own engines
// first.
func (s *server) displaceOrder() float64 {
	order := float64(s.key) / (1 << 32)
	if s.remote {
		order++
	}
	return order
}
