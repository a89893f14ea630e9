package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// attempt is one attempt at a non-idempotent request, as an entry instance makes
// it.
type attempt struct {
	request  *lilacv1.ClaimRequest
	sent     bool
	finished bool
}

// history drives one ledger with delayed, repeated and lost calls, dying instances,
// expiring retention and restarts from snapshots.
type history struct {
	random   *rand.Rand
	ledger   *Ledger
	limits   Limits
	now      int64
	attempts []*attempt
	// runs counts how often each key has reached the backend server.
	runs   map[string]int
	grants int
	starts []int
}

func (h *history) incarnation(instance int) string {
	return fmt.Sprint(instance, "/", h.starts[instance])
}

func (h *history) step() {
	h.now += h.random.Int64N(int64(time.Minute / time.Millisecond))
	switch h.random.IntN(12) {
	case 0, 1, 2:
		h.arrive()
	case 3, 4, 5, 6:
		h.claim()
	case 7, 8:
		h.finish()
	case 9:
		instance := h.random.IntN(len(h.starts))
		if h.random.IntN(3) == 0 {
			h.ledger.MarkGone(&lilacv1.IncarnationsGone{Incarnations: []string{h.incarnation(instance)}, NowUnixMs: h.now})
		}
		h.starts[instance]++
	case 10:
		h.now += h.random.Int64N(hour)
	case 11:
		restored := New(h.limits)
		restored.Restore(h.ledger.Snapshot())
		h.ledger = restored
	}
}

func (h *history) arrive() {
	key := fmt.Sprint("key-", h.random.IntN(60))
	if h.random.IntN(2) == 0 {
		key = timedKey(start+h.random.Int64N(8)*hour/2, h.random.IntN(8))
	}
	instance := h.random.IntN(len(h.starts))
	r := newClaim(key, fmt.Sprint("attempt-", len(h.attempts)), 0)
	r.Instance, r.Incarnation = fmt.Sprint(instance), h.incarnation(instance)
	h.attempts = append(h.attempts, &attempt{request: r})
}

// pickAttempt prefers recent attempts but also returns old ones, as delayed calls.
func (h *history) pickAttempt() *attempt {
	if len(h.attempts) == 0 {
		return nil
	}
	back := min(h.random.IntN(12), h.random.IntN(len(h.attempts)))
	return h.attempts[len(h.attempts)-1-min(back, len(h.attempts)-1)]
}

// claim sends or resends the claim. An attempt that has been sent on or has
// finished no longer listens: its resent claim is a delayed copy.
func (h *history) claim() {
	c := h.pickAttempt()
	if c == nil {
		return
	}
	c.request.NowUnixMs = h.now - h.random.Int64N(hour/10)
	reply, err := h.ledger.Claim(c.request)
	lost := h.random.IntN(5) == 0
	if err != nil || !reply.GetGranted() || lost || c.sent || c.finished {
		return
	}
	h.grants++
	c.sent = true
	h.runs[c.request.GetKey()]++
}

func (h *history) finish() {
	c := h.pickAttempt()
	if c == nil || c.finished {
		return
	}
	outcome := &lilacv1.OutcomeRequest{Team: c.request.GetTeam(), Key: c.request.GetKey(), Attempt: c.request.GetAttempt(), NowUnixMs: h.now}
	switch {
	case !c.sent:
		// The attempt was abandoned before its first byte and will not be sent.
		outcome.State = notRun
	case h.random.IntN(2) == 0:
		outcome.State = unknown
	default:
		outcome.State, outcome.Answer = ran, &lilacv1.StoredAnswer{Status: 200, Body: []byte("filed")}
	}
	c.finished = true
	if h.random.IntN(4) > 0 {
		_, _ = h.ledger.Outcome(outcome)
	}
}

// Callers retry through any instance while calls are delayed, repeated and lost,
// instances restart, keys expire and the ledger is restored from snapshots. The
// backend server must see each key at most once.
func TestKeyRunsAtMostOnceInRandomHistories(t *testing.T) {
	is := is.New(t)
	total := 0
	for seed := range uint64(60) {
		limits := Limits{Retention: time.Hour, Entries: 12, Tombstones: 40, TotalAnswerBytes: 20}
		h := &history{
			random: rand.New(rand.NewPCG(seed, 1)), ledger: New(limits), limits: limits,
			now: start, runs: make(map[string]int), starts: make([]int, 4),
		}
		for range 600 {
			h.step()
			for key, runs := range h.runs {
				if runs > 1 {
					t.Fatalf("seed %d: %s ran %d times", seed, key, runs)
				}
			}
		}
		is.Equal(h.ledger.InvariantsViolated(), uint64(0))
		is.True(h.ledger.Len() <= limits.Entries)
		is.True(h.ledger.tombstones.untimedSize()+h.ledger.untimed <= limits.Tombstones)
		total += h.grants
	}
	is.True(total > 1000)
}
