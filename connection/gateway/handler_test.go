package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/holding"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
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
	hold := holding.NewStore(holding.Options{Bytes: 1 << 20}).Open(holding.Owner{})
	broken := iotest.ErrReader(errors.Join(io.EOF, errors.New("connection closed")))
	_, err := hold.ReadBody(t.Context(), io.MultiReader(strings.NewReader("a part"), broken), -1, time.Second)
	is.True(err != nil)
}

// plainProtocol is a Protocol without headers of its own.
type plainProtocol struct{ Protocol }

func (plainProtocol) ParseRequest(http.Header) (RequestInfo, error) { return RequestInfo{}, nil }
func (plainProtocol) IDHeader() string                              { return "Id" }

// slowRouter is a Router that answers requests to /slow/ only once they are released.
type slowRouter struct {
	Router
	table    *routing.Table
	running  chan struct{}
	released chan struct{}
}

func (r *slowRouter) Table() *routing.Table { return r.table }

func (r *slowRouter) Forward(_ context.Context, q *Request, rw *ResponseWriter) error {
	if q.Route.Name == "slow" {
		r.running <- struct{}{}
		<-r.released
	}
	rw.WriteHeader(http.StatusOK)
	return nil
}

// noCounter and noLog record nothing.
type noCounter struct{}

func (noCounter) Request(string) {}
func (noCounter) Refused(string) {}

type noLog struct{}

func (noLog) Refused(string, string, string, error) {}
func (noLog) Failed(string, int, error)             {}

// Guards against requests in progress that keep the heads of others from being read: their own are
// in the account of what is held for their teams.
func TestRequestsInProgressLeaveRoomForOtherHeads(t *testing.T) {
	is := is.New(t)
	route := func(name string) routing.Route {
		return routing.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Public: true, Timeout: time.Minute}
	}
	table := routing.NewTable(&routing.Document{Version: 1, Routes: []routing.Route{route("slow"), route("fast")}}, 1)
	router := &slowRouter{table: table, running: make(chan struct{}), released: make(chan struct{})}
	h := NewHandler(plainProtocol{}, router, noCounter{}, noLog{})
	h.SetHoldings(holding.NewStore(holding.Options{Bytes: 1 << 20}), time.Minute)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := httpserver.New(listener, connguard.New(connguard.Limits{Connections: 100, HeadBytes: 10_000}, nil), httpserver.DefaultPolicy(), h)
	go func() { _ = server.Start(t.Context()) }()
	defer server.Close()
	get := func(path string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+path, nil)
		is.NoErr(err)
		req.Host = "h"
		for line := range 20 {
			req.Header.Set(fmt.Sprint("X-", line), "x")
		}
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() { is.Equal(get("/slow/"), http.StatusOK) })
		<-router.running
	}
	is.Equal(get("/fast/"), http.StatusOK)
	close(router.released)
	group.Wait()
}

// Guards against a header of short lines that passes at over twice the limit of the document.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\nHost:h\n" + strings.Repeat("a:\n", 1000) + "\n")))
	is.NoErr(err)
	is.NoErr(checkHeaderSize(r, 3022))
	is.True(checkHeaderSize(r, 3021) != nil)
}

// Guards against a header of many parts of a prompt, which takes more than its bytes.
func TestPartsOfAPromptAreHeld(t *testing.T) {
	is := is.New(t)
	const parts = 1000
	h := NewHandler(plainProtocol{}, nil, noCounter{}, noLog{})
	h.SetHoldings(holding.NewStore(holding.Options{Bytes: 1 << 20}), time.Minute)
	q := &Request{RequestInfo: RequestInfo{Parts: make([]PromptPart, parts)}}
	r, err := http.NewRequest(http.MethodGet, "http://h/", nil)
	is.NoErr(err)
	is.NoErr(h.openHold(q, r))
	is.True(q.Hold.Held()[holding.Head] > parts*partBytes)
	q.Hold.Close()
	is.True(h.openHold(&Request{RequestInfo: RequestInfo{Parts: make([]PromptPart, 1<<20)}}, r) != nil)
}
