package policy

import (
	"slices"
	"time"
)

// Copies of a request that nobody suspects yet each take a server down if they
// crash before the first one's news can stop them. Within one instance all of
// them are known: so a copy joins the first on its server, or waits, until one
// of them got as far as clears a suspect. Together they cost one server.
const (
	// joinFor is how long copies follow the first, at most: a caller that sends
	// again since the first hangs shall not be bound to it.
	joinWindow = 3 * time.Second
	// passedFor is how long copies of a request that passed run freely: popular
	// requests must not share one server for ever.
	passedTTL = 10 * time.Minute
	// maxPassed bounds the memory of those; when it is full it begins anew.
	maxPassed = 4096
)

// identical knows the requests that run and have not passed yet.
type identicalRequests struct {
	// first is the first running copy of each digest; the next ones hang on it.
	first map[string]*request
	// passed is when a digest that came more than once passed.
	passed map[string]time.Time
}

func newIdenticalRequests() identicalRequests {
	return identicalRequests{first: make(map[string]*request), passed: make(map[string]time.Time)}
}

// joins returns the server of the first copy that runs, or nil where the
// request is free to go anywhere.
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

// left drops a copy that no longer runs; the next one is the first then.
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

// proved notes that a copy ran past the place where a suspect is cleared.
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

// park sets a copy aside that may only join the first, whose server has no
// room: it must not keep others of its tier from starting.
func (c *core) park(r *request) {
	r.pool.queue.Remove(&r.item)
	r.pool.parked = append(r.pool.parked, r)
}

// unpark lets the parked copies try again.
func (c *core) unpark(now time.Time, p *pool) {
	parked := slices.Clone(p.parked)
	p.parked = p.parked[:0]
	for _, r := range parked {
		c.enqueue(now, r)
	}
}
