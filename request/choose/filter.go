package choose

// Available rejects servers that get no new work, and the one on which the request
// has just failed.
type Available struct{}

var _ Filter = Available{}

// Allow implements Filter.
func (Available) Allow(r *Request, c *Candidate) bool {
	return !c.Unavailable && (r.Avoid == "" || c.Name != r.Avoid)
}

// WithinCapacity rejects servers that would exceed the number of requests that keeps
// their targets, including the slots reserved for more urgent tiers.
type WithinCapacity struct{}

var _ Filter = WithinCapacity{}

// Allow implements Filter.
func (WithinCapacity) Allow(r *Request, c *Candidate) bool {
	// An idle server accepts any request: if it has fewer slots than are reserved,
	// late and less urgent requests would otherwise never start on it.
	return c.Load+1 <= max(c.Limit-r.ReservedSlots+r.Overcommit, 1)
}

// WithinMemory rejects servers whose memory has no room for the request.
type WithinMemory struct{}

var _ Filter = WithinMemory{}

// Allow implements Filter.
func (WithinMemory) Allow(_ *Request, c *Candidate) bool { return !c.NoMemory }

// Quarantine keeps two suspects off the same server: if it crashed, it would be unknown
// which of them caused the crash.
type Quarantine struct{}

var _ Filter = Quarantine{}

// Allow implements Filter.
func (Quarantine) Allow(r *Request, c *Candidate) bool {
	return !r.Suspect || !c.HasTrial
}

// FirstTokenOnTime rejects servers that are expected to miss the target for the first
// token. The gap between tokens is left to the scorers: a gap measured while a long
// prompt is processed does not predict the gap of the next answer.
type FirstTokenOnTime struct{}

var _ Filter = FirstTokenOnTime{}

// Allow implements Filter.
func (FirstTokenOnTime) Allow(r *Request, c *Candidate) bool {
	return r.FirstTokenBudget <= 0 || c.FirstToken <= r.FirstTokenBudget
}

// NoDuplicatePrefill rejects servers that would process a part of the prompt that
// another server has cached or is processing.
type NoDuplicatePrefill struct{}

var _ Filter = NoDuplicatePrefill{}

// Allow implements Filter.
func (NoDuplicatePrefill) Allow(_ *Request, c *Candidate) bool { return !c.DuplicatePrefill }

// NoInterference rejects servers on which the prompt would delay the answers that they
// are reserved for.
type NoInterference struct{}

var _ Filter = NoInterference{}

// Allow implements Filter.
func (NoInterference) Allow(_ *Request, c *Candidate) bool { return !c.Interferes }

// OnTime rejects servers that are expected to miss any of the request's targets.
type OnTime struct{}

var _ Filter = OnTime{}

// Allow implements Filter.
func (OnTime) Allow(r *Request, c *Candidate) bool {
	if r.TokenGapTarget > 0 && c.TokenGap > r.TokenGapTarget {
		return false
	}
	return r.FirstTokenBudget <= 0 || c.FirstToken <= r.FirstTokenBudget
}
