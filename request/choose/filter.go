package choose

// Available bars servers that get no new work, and the one that failed just now.
type Available struct{}

var _ Filter = Available{}

// Allow implements Filter.
func (Available) Allow(r *Request, c *Candidate) bool {
	return !c.Unavailable && (r.Avoid == "" || c.Name != r.Avoid)
}

// WithinCapacity bars servers that would run more than keeps their targets, the
// reserve for more urgent tiers included.
type WithinCapacity struct{}

var _ Filter = WithinCapacity{}

// Allow implements Filter.
func (WithinCapacity) Allow(r *Request, c *Candidate) bool {
	// An idle server takes anything: where it has fewer slots than the reserve,
	// late and less urgent requests would never start at all.
	return c.Load+1 <= max(c.Limit-r.ReservedSlots+r.Overcommit, 1)
}

// Quarantine keeps two suspects off the same server: if it crashed, nobody
// could tell which of them did it.
type Quarantine struct{}

var _ Filter = Quarantine{}

// Allow implements Filter.
func (Quarantine) Allow(r *Request, c *Candidate) bool {
	return !r.Suspect || !c.HasTrial
}

// FirstTokenOnTime bars servers that are expected to miss the target for the first
// token. The gap between tokens is left to the scores: beside a long prompt it
// says nothing of the next answer's.
type FirstTokenOnTime struct{}

var _ Filter = FirstTokenOnTime{}

// Allow implements Filter.
func (FirstTokenOnTime) Allow(r *Request, c *Candidate) bool {
	return r.FirstTokenBudget <= 0 || c.FirstToken <= r.FirstTokenBudget
}

// NoDuplicatePrefill bars servers that would read again what another one holds or reads.
type NoDuplicatePrefill struct{}

var _ Filter = NoDuplicatePrefill{}

// Allow implements Filter.
func (NoDuplicatePrefill) Allow(_ *Request, c *Candidate) bool { return !c.DuplicatePrefill }

// NoInterference bars servers whose answers the prompt would hold up.
type NoInterference struct{}

var _ Filter = NoInterference{}

// Allow implements Filter.
func (NoInterference) Allow(_ *Request, c *Candidate) bool { return !c.Interferes }

// OnTime bars servers that are expected to miss the request's targets.
type OnTime struct{}

var _ Filter = OnTime{}

// Allow implements Filter.
func (OnTime) Allow(r *Request, c *Candidate) bool {
	if r.TokenGapTarget > 0 && c.TokenGap > r.TokenGapTarget {
		return false
	}
	return r.FirstTokenBudget <= 0 || c.FirstToken <= r.FirstTokenBudget
}
