package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// Guards against a Retry-After that ends before a starting instance has a configuration.
// With a constant 0.9 s, callers that were refused in the first 0.5 s after a power failure
// were refused again, and most retry only once.
func TestRetryAfterCoversStartupTime(t *testing.T) {
	is := is.New(t)
	for uptime := time.Duration(0); uptime < 5*time.Second; uptime += 50 * time.Millisecond {
		retryAt := uptime + startingRetryAfter(uptime)
		is.True(retryAt >= startupTime)
		is.True(startingRetryAfter(uptime) >= minStartingRetry)
		is.True(startingRetryAfter(uptime) <= startupTime+retryJitter)
	}
}

// startingRouter is a Router that has no configuration before the time at.
type startingRouter struct {
	Router
	at    time.Time
	table *routing.Table
}

func (r *startingRouter) Table() *routing.Table {
	if time.Now().Before(r.at) {
		return nil
	}
	return r.table
}

// Guards against refusing requests that arrive before the first configuration: after a power
// failure, the retry reached another starting instance and the caller gave up.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &routing.Table{}
		h := &Handler{router: &startingRouter{at: time.Now().Add(400 * time.Millisecond), table: table}, started: time.Now()}
		is.Equal(h.awaitTable(t.Context(), 200*time.Millisecond), nil) // 50 ms of the caller's timeout are not enough
		is.Equal(h.awaitTable(t.Context(), 10*time.Second), table)
	})
}

// Guards against requests that wait for the state processes when these have been
// unreachable since long before.
func TestRequestsDoNotWaitLongAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		h := &Handler{router: &startingRouter{at: start.Add(time.Hour)}, started: start}
		is.Equal(h.awaitTable(t.Context(), time.Minute), nil)
		is.True(time.Since(start) <= maxTableWait)
		time.Sleep(2 * startupTime)
		again := time.Now()
		is.Equal(h.awaitTable(t.Context(), time.Minute), nil)
		is.Equal(time.Since(again), time.Duration(0))
	})
}

// Guards against a part of a request body that is taken for the whole, since the error of its
// connection wraps io.EOF.
func TestRequestBodyWhoseConnectionBreaksIsNotComplete(t *testing.T) {
	is := is.New(t)
	q := &Request{Hold: holding.NewStore(holding.Options{Bytes: 1 << 20}).Open(holding.Owner{})}
	broken := iotest.ErrReader(errors.Join(io.EOF, errors.New("connection closed")))
	_, err := readInSteps(t.Context(), q, io.MultiReader(strings.NewReader("a part"), broken))
	is.True(err != nil)
}
