package policy

import (
	"slices"
	"time"
)

// Copies of a request that is not suspected yet each crash a server if they run on
// different ones before the first crash is reported. All copies at one instance are
// known there. So a copy joins the first one on its server, or waits, until one of
// them has run past the point at which a suspect is cleared. Together they crash one
// server at most.
const (
	// joinWindow is how long copies join the first one at most: a caller that sends its
	// request again because the first copy hangs must not be bound to the same server.
	joinWindow = 3 * time.Second
	// passedTTL is how long copies of a request that passed may run anywhere, so that
	// popular requests do not all share one server.
	passedTTL = 10 * time.Minute
	// maxPassed limits the number of remembered digests; all are dropped when it is
	// reached.
	maxPassed = 4096
)

// identicalRequests tracks the running requests that have not passed yet.
type identicalRequests struct {
	// first is the first running copy of each digest; nextCopy links the others.
	first map[string]*request
	// passed is when a digest with more than one copy passed.
	passed map[string]time.Time
}

func newIdenticalRequests() identicalRequests {
	return identicalRequests{first: make(map[string]*request), passed: make(map[string]time.Time)}
}

// serverToJoin returns the server of the first running copy, or nil if the request
// may run on any server.
func (i *identicalRequests) serverToJoin(now time.Time, r *request) *server {
	first := i.first[r.Digest]
	if first == nil || first == r || now.Sub(first.started) > joinWindow {
		return nil
	}
	if at, ok := i.passed[r.Digest]; ok && now.Sub(at) < passedTTL {
		return nil
	}
	return first.server
}

func (i *identicalRequests) add(r *request) {
	if r.Digest == "" {
		return
	}
	first := i.first[r.Digest]
	if first == nil {
		i.first[r.Digest] = r
		return
	}
	for first.nextCopy != nil {
		first = first.nextCopy
	}
	first.nextCopy = r
}

// remove drops a copy that no longer runs. The next one becomes the first.
func (i *identicalRequests) remove(r *request) {
	at := i.first[r.Digest]
	if at == r {
		i.setFirst(r.Digest, r.nextCopy)
	}
	for ; at != nil && at != r; at = at.nextCopy {
		if at.nextCopy == r {
			at.nextCopy = r.nextCopy
			break
		}
	}
	r.nextCopy = nil
}

func (i *identicalRequests) setFirst(digest string, r *request) {
	if r == nil {
		delete(i.first, digest)
		return
	}
	i.first[digest] = r
}

// markPassed records that a copy ran past the point at which a suspect is cleared.
// waiting is true if another copy is waiting.
func (i *identicalRequests) markPassed(now time.Time, r *request, waiting bool) {
	first := i.first[r.Digest]
	if first == nil {
		return
	}
	if waiting || first.nextCopy != nil {
		if len(i.passed) >= maxPassed {
			clear(i.passed)
		}
		i.passed[r.Digest] = now
	}
	for first != nil {
		first, first.nextCopy = first.nextCopy, nil
	}
	delete(i.first, r.Digest)
}

// park sets a copy aside that may only join the first one, whose server is full. In
// the queue it would keep other requests of its tier from starting.
func (c *core) park(r *request) {
	r.pool.queue.Remove(&r.item)
	r.pool.parked = append(r.pool.parked, r)
}

// unpark puts the parked copies back into the queue.
func (c *core) unpark(now time.Time, p *pool) {
	parked := slices.Clone(p.parked)
	clear(p.parked)
	p.parked = p.parked[:0]
	for _, r := range parked {
		c.enqueue(now, r)
	}
}
