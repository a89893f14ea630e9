// Package outcome knows what became of a request: whether it is proved not to
// have run, and how a non-idempotent one stands in the ledger.
package outcome

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Proof shows that a request did not run and never will. Its zero value proves
// nothing; only Record.Proof makes one that does.
type Proof struct{ valid bool }

// Valid tells whether the value proves anything.
func (p Proof) Valid() bool { return p.valid }

func (p Proof) notRun() fault.NotRun {
	if p.valid {
		return lilacv1.NotRun_NOT_RUN_TRUE
	}
	return lilacv1.NotRun_NOT_RUN_UNKNOWN
}

type try struct {
	attempt *upstream.Attempt
	refused bool
}

// Record holds all attempts of one request. It is used by one goroutine.
type Record struct {
	tries    []try
	answered bool
}

// Add starts the record of an attempt; onWrite is called just before its first
// byte may go out.
func (r *Record) Add(onWrite func()) *upstream.Attempt {
	attempt := &upstream.Attempt{OnWrite: onWrite}
	r.tries = append(r.tries, try{attempt: attempt})
	return attempt
}

// Refused notes that the server stated that it did not run the last attempt.
func (r *Record) Refused() { r.tries[len(r.tries)-1].refused = true }

// Answered notes that a part of an answer came: the request ran.
func (r *Record) Answered() { r.answered = true }

// Proof gives all attempts up, and proves that the request did not run where
// for each of them no byte was written, or the server said that it did not run.
func (r *Record) Proof() (Proof, bool) {
	proved := !r.answered
	for _, t := range r.tries {
		if !t.attempt.Seal() && !t.refused {
			proved = false
		}
	}
	return Proof{valid: proved}, proved
}

// Error makes the request's final error. It is the one place of the request
// path that states not_run, and takes it from the record alone.
func (r *Record) Error(kind fault.Kind, message string, options ...fault.Option) error {
	proof, _ := r.Proof()
	notRun := proof.notRun()
	if r.answered {
		notRun = lilacv1.NotRun_NOT_RUN_FALSE
	}
	return fault.New(kind, message, append(options, fault.WithNotRun(notRun))...)
}
