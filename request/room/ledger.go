package room

// Part is a part of a prompt. Its hash covers all parts before it.
type Part struct {
	Hash   uint64
	Tokens int
}

// Request is the memory that a request needs.
type Request struct {
	// Parts are the parts of the prompt that it may share with others, Rest the prompt tokens
	// beyond them.
	Parts []Part
	Rest  float64
	// Answer is the number of tokens that the answer gets room for.
	Answer float64
	// Least is what it counts for at least: the slot of a request that ends before other instances
	// know may already belong to a larger one.
	Least float64
}

// Need returns the memory of the request on a server of its own.
func (r *Request) Need() float64 {
	need := r.Rest + r.Answer
	for _, part := range r.Parts {
		need += float64(part.Tokens)
	}
	return need
}

// padding returns what the request counts for beyond its need.
func (r *Request) padding() float64 { return max(0, r.Least-r.Need()) }

// Ledger adds up what an instance's requests need on one server. The zero value is empty.
type Ledger struct {
	users map[uint64]int
	held  float64
}

// Held returns the memory needed, with shared parts counted once.
func (l *Ledger) Held() float64 { return l.held }

// Added returns the memory that the request would add.
func (l *Ledger) Added(r *Request) float64 {
	added := r.Rest + r.Answer + r.padding()
	for _, part := range r.Parts {
		if l.users[part.Hash] == 0 {
			added += float64(part.Tokens)
		}
	}
	return added
}

// Add adds the request.
func (l *Ledger) Add(r *Request) {
	if l.users == nil {
		l.users = make(map[uint64]int)
	}
	l.held += r.Rest + r.Answer + r.padding()
	for _, part := range r.Parts {
		if l.users[part.Hash] == 0 {
			l.held += float64(part.Tokens)
		}
		l.users[part.Hash]++
	}
}

// Remove removes a request that was added.
func (l *Ledger) Remove(r *Request) {
	l.held -= r.Rest + r.Answer + r.padding()
	for _, part := range r.Parts {
		if l.users[part.Hash]--; l.users[part.Hash] == 0 {
			delete(l.users, part.Hash)
			l.held -= float64(part.Tokens)
		}
	}
	if len(l.users) == 0 && l.held < 1 {
		l.held = 0
	}
}
