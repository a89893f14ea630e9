package policy

// Engines preempt the least urgent of their requests for a more urgent one where no
// slot is free, and read its prompt again later; its answer goes on where it was. In a
// burst that nobody foresaw, long answers of the least urgent rank hold slots for
// seconds. A short urgent request may start in the place of one of them.
//
// In a large fleet all know how much bulk the others run on each engine. Engines that bulk
// fills have room for urgent requests then: without it these would all go to the few engines
// that no bulk fills. What is put back is read again, so all instances take the engines in
// the same order, and as few as they need.

const (
	// yieldShare is the part of an engine's slots that may be taken in this way by one
	// instance, beside what others take.
	yieldShare = 0.125
	// leastYield is the number of slots below which none is taken: small engines stand
	// before many instances, which would all take one in the same moment.
	leastYield = 2
	// displaceOver is the part of an engine's slots beyond which requests that displace bulk
	// wait there: a slot that is free for a moment goes back to bulk, which is read again.
	displaceOver = 1.0 / 3
)

// yields is how many of this instance's requests on a full engine give way to the
// request, where the engine takes up to limit.
func (s *server) yields(r *request, limit float64) float64 {
	most := yieldShare * float64(s.slots)
	if s.engine == nil || !r.Pinned || limit < float64(s.slots) || most < leastYield {
		return 0
	}
	rank, bulk := r.class.GetRank(), 0.0
	for _, running := range s.own {
		if running.class.GetRank() > rank && running.pool.holdsLong(running) {
			bulk++
		}
	}
	return min(bulk, most)
}

// holdsLong tells whether the request's class holds its slots for long.
func (p *pool) holdsLong(r *request) bool {
	return p.used[r.Class].flow.holds(0) >= briefHold.Seconds()
}

// isBulk tells whether engines put the request back for any more urgent one.
func (r *request) isBulk() bool {
	rank := int(r.class.GetRank())
	return r.Pinned && rank > 0 && rank >= r.pool.lastRank && r.pool.holdsLong(r)
}

// mayDisplace tells whether the request may start in the place of bulk.
func (r *request) mayDisplace() bool {
	return r.Pinned && !r.pool.service && int(r.class.GetRank()) < r.pool.lastRank
}

// yielding counts all instances' bulk on the engine.
func (s *server) yielding() float64 { return s.toldYielding + s.ownYielding() }

// ownYielding counts this instance's bulk on the engine.
func (s *server) ownYielding() float64 {
	if s.engine == nil {
		return 0
	}
	count := 0.0
	for _, r := range s.own {
		if r.isBulk() {
			count++
		}
	}
	return count
}

// displaceOrder is the engine's place, 0 to 2, in the order in which bulk is displaced: at
// random, but alike for all instances of a region, and near engines first.
func (s *server) displaceOrder() float64 {
	order := float64(s.key) / (1 << 32)
	if s.remote {
		order++
	}
	return order
}
