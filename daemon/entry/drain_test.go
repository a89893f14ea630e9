package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// pacedEngine sends one token for each value received from pace.
func pacedEngine(t *testing.T, pace <-chan struct{}) *fakeBackend {
	return newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		startStream(w)
		for i, token := range tokens {
			<-pace
			finish := ""
			if i == len(tokens)-1 {
				finish = "stop"
			}
			sendChunk(w, requestID(r), token, finish)
		}
		sendDone(w)
	})
}

// An instance drains with a stream and a keyed call in progress, and the load balancer
// notices late. Requests in progress must complete and their outcomes be stored. New
// requests must be served during the drain lag and then refused with a typed error,
// never by a closed port.
func TestDrainCompletesRequestsInProgress(t *testing.T) {
	is := is.New(t)
	pace, release := make(chan struct{}, len(tokens)), make(chan struct{})
	backend := pacedEngine(t, pace)
	counter := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			<-release
		}
		serveBooking(w, r, n)
	})
	s := testSettings()
	s.DrainLag.Duration = 200 * time.Millisecond
	f := start(t, s, backend.engine("r1"), counter.service("g1"))
	var stream string
	var requests, drain sync.WaitGroup
	requests.Go(func() { _, stream = f.post("/v1/chat/completions", chatBody) })
	requests.Go(func() { f.post(bookingURL, booking, "Idempotency-Key", "k1") })
	waitFor(t, func() bool { return len(backend.calls("")) == 1 && len(counter.calls("")) == 1 })
	pace <- struct{}{}
	var drained error
	drain.Go(func() { drained = f.Drain(context.Background()) })
	waitFor(t, func() bool { return f.Ready() == errLeaving })

	resp, _ := f.post(bookingURL, booking, "Idempotency-Key", "k2")
	is.Equal(resp.StatusCode, http.StatusCreated) // within the lag
	is.True(resp.Close)
	digest, err := f.Digest(t.Context())
	is.NoErr(err)
	is.True(digest.GetLeaving())

	var refusal errorEvent
	waitFor(t, func() bool {
		refused, body := f.post(bookingURL, booking)
		refusal = parseError(body)
		return refused.Header.Get("Retry-After") == "1" && refusal.Type == "draining"
	})
	is.Equal(refusal.NotRun, true)
	for range len(tokens) - 1 {
		pace <- struct{}{}
	}
	close(release)
	requests.Wait()
	drain.Wait()
	is.NoErr(drained)
	text, _, done, _ := parseStream(stream)
	is.Equal(text, strings.Join(tokens, ""))
	is.True(done)
	is.Equal(f.ledger.state("k1"), lilacv1.ClaimState_CLAIM_STATE_RAN)
}

// A stream is still running at the end of the drain time. Its caller must get an
// explicit error and no "[DONE]", and the drain must end.
func TestDrainLimitEndsStreamsWithATypedError(t *testing.T) {
	is := is.New(t)
	pace := make(chan struct{}, len(tokens))
	backend := pacedEngine(t, pace)
	s := testSettings()
	s.Drain.Duration, s.DrainLag.Duration = 50*time.Millisecond, 0
	f := start(t, s, backend.engine("r1"))
	var stream string
	var requests sync.WaitGroup
	requests.Go(func() { _, stream = f.post("/v1/chat/completions", chatBody) })
	pace <- struct{}{}
	waitFor(t, func() bool { return len(backend.calls("")) == 1 })
	is.NoErr(f.Drain(context.Background()))
	requests.Wait()
	_, _, done, failure := parseStream(stream)
	is.True(!done)
	is.True(failure != nil)
	is.Equal(failure.Type, "draining")
	close(pace)
}

// The state processes are unreachable when an instance drains with an outcome to store.
// The drain must retry until the outcome is stored.
func TestDrainWaitsForOutcomes(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	counter := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
		<-release
		serveBooking(w, r, n)
	})
	f := start(t, testSettings(), counter.service("g1"))
	var requests, drain sync.WaitGroup
	requests.Go(func() { f.post(bookingURL, booking, "Idempotency-Key", "k1") })
	waitFor(t, func() bool { return len(counter.calls("")) == 1 })
	f.ledger.setDown(true)
	close(release)
	requests.Wait()
	var drained error
	drain.Go(func() { drained = f.Drain(context.Background()) })
	waitFor(t, func() bool { return f.relay.InFlight() == 0 && f.Ready() == errLeaving })
	is.Equal(f.ledger.state("k1"), lilacv1.ClaimState_CLAIM_STATE_CLAIMED)
	f.ledger.setDown(false)
	drain.Wait()
	is.NoErr(drained)
	is.Equal(f.ledger.state("k1"), lilacv1.ClaimState_CLAIM_STATE_RAN)
}
