package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	booking    = `{"berth":7}`
	bookingURL = "/services/guichet/book?day=3"
)

// serveBooking answers as a service that has carried out the booking.
func serveBooking(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write([]byte(`{"booked":true}`))
}

// A client sends a booking, loses the answer and sends the booking again with the same
// idempotency key. The service must see it once and the client must get the stored
// answer; a different body under the same key is refused.
func TestKeyedCallRunsOnceAndItsAnswerIsReplayed(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend(t, serveBooking)
	f := start(t, testSettings(), backend.service("g1"))
	for range 3 {
		resp, body := f.post(bookingURL, booking, "Idempotency-Key", "k1")
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(body, `{"booked":true}`)
		is.Equal(resp.Header.Get("Content-Type"), "application/json")
		waitFor(t, func() bool { return f.ledger.state("k1") == lilacv1.ClaimState_CLAIM_STATE_RAN })
	}
	is.Equal(len(backend.calls("/book")), 1)
	is.Equal(backend.calls("/book")[0].key, "k1")
	resp, body := f.post(bookingURL, `{"berth":8}`, "Idempotency-Key", "k1")
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(parseError(body).Type, "key_reused")
	is.Equal(len(backend.calls("/book")), 1)
}

// A client repeats a request while the first one is still running at the service. The
// second must be refused at once as in progress; it must neither wait nor run.
func TestSecondSendInProgressIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
		close(arrived)
		<-release
		serveBooking(w, r, n)
	})
	f := start(t, testSettings(), backend.service("g1"))
	var first sync.WaitGroup
	first.Go(func() { f.post(bookingURL, booking, "Idempotency-Key", "k1") })
	<-arrived
	resp, body := f.post(bookingURL, booking, "Idempotency-Key", "k1")
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(parseError(body).Type, "in_progress")
	close(release)
	first.Wait()
	is.Equal(len(backend.calls("/book")), 1)
}

// A non-idempotent call fails before, during or after its first byte. not_run must be
// true only if the service provably did not run the call, and no call may reach the
// service twice.
func TestNotRunIsReportedOnlyWithProof(t *testing.T) {
	cut := func(http.ResponseWriter, *http.Request, int) { abort() }
	refuse := func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"not_run":true}}`))
	}
	half := func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("{"))
		_ = http.NewResponseController(w).Flush()
		abort()
	}
	cases := []struct {
		name   string
		answer script
		down   bool // the service's port is closed
		ledger bool // the ledger is unreachable
		key    string
		notRun any
		state  lilacv1.ClaimState
		calls  int
	}{
		{"port closed", serveBooking, true, false, "k", true, lilacv1.ClaimState_CLAIM_STATE_NOT_RUN, 0},
		{"port closed, no key", serveBooking, true, false, "", true, 0, 0},
		{"ledger out of reach", serveBooking, false, true, "k", true, 0, 0},
		{"cut after the request", cut, false, false, "k", "unknown", lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, 1},
		{"cut after the request, no key", cut, false, false, "", "unknown", 0, 1},
		{"cut in the answer", half, false, false, "k", "unknown", lilacv1.ClaimState_CLAIM_STATE_UNKNOWN, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			backend := newFakeBackend(t, c.answer)
			f := start(t, testSettings(), backend.service("g1"))
			if c.down {
				backend.Close()
			}
			f.ledger.setDown(c.ledger)
			headers := []string{"X-Lilac-Deadline-Ms", "800"}
			if c.key != "" {
				headers = append(headers, "Idempotency-Key", c.key)
			}
			resp, body := f.post(bookingURL, booking, headers...)
			is.True(resp.StatusCode >= 400)
			is.Equal(parseError(body).NotRun, c.notRun)
			is.Equal(len(backend.calls("")), c.calls)
			waitFor(t, func() bool { return f.ledger.state("k") == c.state })
		})
	}
	t.Run("service refuses", func(t *testing.T) {
		is := is.New(t)
		backend := newFakeBackend(t, refuse)
		f := start(t, testSettings(), backend.service("g1"))
		resp, body := f.post(bookingURL, booking, "X-Lilac-Deadline-Ms", "500", "Idempotency-Key", "k")
		is.True(resp.StatusCode >= 400)
		is.Equal(parseError(body).NotRun, true)
		waitFor(t, func() bool { return f.ledger.state("k") == lilacv1.ClaimState_CLAIM_STATE_NOT_RUN })
	})
}

// A service closes a keep-alive connection while a call is in transit. net/http would
// by itself repeat a POST that has an Idempotency-Key; the service must see it once.
func TestLibraryDoesNotRepeatPosts(t *testing.T) {
	for _, body := range []string{booking, ""} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
				if n > 1 {
					abort()
				}
				serveBooking(w, r, n)
			})
			f := start(t, testSettings(), backend.service("g1"))
			resp, _ := f.post(bookingURL, body, "Idempotency-Key", "k1")
			is.Equal(resp.StatusCode, http.StatusCreated)
			resp, text := f.post(bookingURL, body, "Idempotency-Key", "k2")
			is.Equal(resp.StatusCode, http.StatusConflict)
			is.Equal(parseError(text).Type, "outcome_unknown")
			is.Equal(len(backend.calls("/book")), 2)
		})
	}
}

// A caller disconnects while its keyed call runs. The call must continue, and its
// answer must be stored for the next request with the same key.
func TestCallContinuesAfterItsCallerDisconnects(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
		close(arrived)
		<-release
		serveBooking(w, r, n)
	})
	f := start(t, testSettings(), backend.service("g1"))
	client := http.Client{Timeout: 200 * time.Millisecond}
	req, err := http.NewRequest(http.MethodPost, f.url+bookingURL, strings.NewReader(booking))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+f.token())
	req.Header.Set("Idempotency-Key", "k1")
	_, err = client.Do(req)
	is.True(err != nil)
	<-arrived
	close(release)
	waitFor(t, func() bool { return f.ledger.state("k1") == lilacv1.ClaimState_CLAIM_STATE_RAN })
	resp, body := f.post(bookingURL, booking, "Idempotency-Key", "k1")
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.True(json.Valid([]byte(body)))
}

// Calls with an idempotent method are retried if the first attempt broke off.
func TestBrokenGetIsRetried(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request, n int) {
		if n == 1 {
			abort()
		}
		_, _ = w.Write([]byte("tide"))
	})
	f := start(t, testSettings(), backend.service("g1"))
	resp, body := f.send(http.MethodGet, "/services/guichet/tides//today?x=%2F", "")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "tide")
	is.True(len(backend.calls("/tides//today")) >= 2)
}
