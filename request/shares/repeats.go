package shares

import "time"

// maxRefusals is the number of refusals from which the older half of them is dropped.
const maxRefusals = 8192

// Refusals remembers until when callers were told to wait, by the digest of their request. Its
// memory is bounded; a caller whose refusal was dropped counts as new.
type Refusals struct {
	// recent and older hold the times of return, older those from before recent was full.
	recent, older map[string]time.Time
}

// NewRefusals returns an empty record.
func NewRefusals() *Refusals {
	return &Refusals{recent: make(map[string]time.Time), older: make(map[string]time.Time)}
}

// Refused records that the caller was told to return at the given time. A caller that returned
// too early keeps the time that it was told first.
func (r *Refusals) Refused(now time.Time, digest string, returnAt time.Time) {
	if _, early := r.ReturnAt(now, digest); early || digest == "" {
		return
	}
	if len(r.recent) >= maxRefusals/2 {
		r.recent, r.older = r.older, r.recent
		clear(r.recent)
	}
	r.recent[digest] = returnAt
}

// ReturnAt returns the time at which a caller that was refused may return; false if it was not
// refused or the time has passed.
func (r *Refusals) ReturnAt(now time.Time, digest string) (time.Time, bool) {
	at, known := r.recent[digest]
	if !known {
		at, known = r.older[digest]
	}
	return at, known && now.Before(at)
}
