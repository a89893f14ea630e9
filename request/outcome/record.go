// Package outcome tracks what became of a request: whether it provably did not run, and,
// for a non-idempotent one, its claim and its outcome in the ledger.
package outcome

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Proof is evidence that a request did not run and never will. The zero value is not
// valid; only Record.Proof returns a valid one.
type Proof struct{ valid bool }

// Valid reports whether the request provably did not run.
func (p Proof) Valid() bool { return p.valid }

func (p Proof) notRun() fault.NotRun {
	if p.valid {
		return lilacv1.NotRun_NOT_RUN_TRUE
	}
	return lilacv1.NotRun_NOT_RUN_UNKNOWN
}

type attemptRecord struct {
	attempt *upstream.Attempt
	refused bool
}

// Record holds all attempts of one request. It is not safe for concurrent use.
type Record struct {
	attempts []attemptRecord
	answered bool
}

// Add starts the record of an attempt; onWrite is called just before its first byte may
// be written.
func (r *Record) Add(onWrite func()) *upstream.Attempt {
	attempt := &upstream.Attempt{OnWrite: onWrite}
	r.attempts = append(r.attempts, attemptRecord{attempt: attempt})
	return attempt
}

// Evidence is what proves that an attempt did not run.
type Evidence string

// The kinds of evidence.
const (
	// NoEvidence: the attempt may have run.
	NoEvidence Evidence = "none"
	// NothingWritten: no byte of the attempt was written, and none will be.
	NothingWritten Evidence = "nothing written"
	// ServerRefused: the server stated that it did not run the attempt.
	ServerRefused Evidence = "refused"
)

// LastEvidence abandons the last attempt and returns what proves that it did not run. It is empty
// before the first attempt.
func (r *Record) LastEvidence() Evidence {
	if len(r.attempts) == 0 {
		return ""
	}
	return r.attempts[len(r.attempts)-1].evidence()
}

func (a attemptRecord) evidence() Evidence {
	switch {
	case a.attempt.Abandon():
		return NothingWritten
	case a.refused:
		return ServerRefused
	}
	return NoEvidence
}

// Refused records that the server stated that it did not run the last attempt.
func (r *Record) Refused() { r.attempts[len(r.attempts)-1].refused = true }

// Answered records that part of an answer arrived, so the request did run.
func (r *Record) Answered() { r.answered = true }

// Proof abandons all attempts and reports whether the request provably did not run: for each
// attempt, no byte was written, or the server stated that it did not run it. An abandoned
// attempt can no longer write.
func (r *Record) Proof() (Proof, bool) {
	proved := !r.answered
	for _, a := range r.attempts {
		proved = a.evidence() != NoEvidence && proved
	}
	return Proof{valid: proved}, proved
}

// Error returns the request's final error. It is the only place in the request path that
// sets not_run, and derives it from the record alone. Like Proof, it seals all attempts.
func (r *Record) Error(kind fault.Kind, message string, options ...fault.Option) error {
	proof, _ := r.Proof()
	notRun := proof.notRun()
	if r.answered {
		notRun = lilacv1.NotRun_NOT_RUN_FALSE
	}
	return fault.New(kind, message, append(options, fault.WithNotRun(notRun))...)
}
