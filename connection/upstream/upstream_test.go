package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against a request that net/http's writer goroutine still sends after the attempt was
// reported as not run: the context is cancelled just before the request is written.
func TestNothingIsWrittenAfterAbandon(t *testing.T) {
	is := is.New(t)
	var ran sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ran.Store(r.URL.Path, true) }))
	client := NewClient()
	var abandoned []string
	for i := range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		attempt := &Attempt{}
		path := "/" + strconv.Itoa(i)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader("book"))
		is.NoErr(err)
		if i%2 == 0 {
			attempt.OnWrite = cancel
		} else {
			go cancel()
		}
		resp, err := client.Do(req, attempt)
		if err == nil {
			resp.Body.Close()
		}
		if attempt.Abandon() {
			abandoned = append(abandoned, path)
			is.True(err != nil)
		}
		cancel()
	}
	client.Close()
	server.Close()
	is.True(len(abandoned) < 300)
	for _, path := range abandoned {
		_, saw := ran.Load(path)
		is.True(!saw)
	}
}

func TestAbandonAndWriteExcludeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 1000 {
			attempt := &Attempt{}
			var wrote, unsent atomic.Bool
			go func() { wrote.Store(attempt.beginWrite()) }()
			go func() { unsent.Store(attempt.Abandon()) }()
			synctest.Wait()
			is.True(wrote.Load() != unsent.Load())
			is.Equal(attempt.Written(), wrote.Load())
		}
	})
}

// Guards against net/http resending a POST with an Idempotency-Key, with or without a body,
// when the server closes a reused connection before it responds.
func TestNetHTTPDoesNotResendPosts(t *testing.T) {
	for _, body := range []string{"book", ""} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
				if calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := NewClient()
			defer client.Close()
			client.requests.setEchoesID(server.Listener.Addr().String(), true)
			for i := range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(body))
				is.NoErr(err)
				req.Header.Set("Idempotency-Key", "k")
				req.Header.Set(RequestIDHeader, strconv.Itoa(i))
				resp, err := client.Do(req, &Attempt{})
				is.Equal(err == nil, i == 0)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			is.Equal(calls.Load(), int32(2))
		})
	}
}

// get sends a request with the id and reads the complete response.
func get(t *testing.T, client *Client, url, id string) error {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.New(t).NoErr(err)
	req.Header.Set(RequestIDHeader, id)
	resp, err := client.Do(req, &Attempt{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against "use of closed network connection" with servers that echo no id: closing
// their connections after the response fails the call to which net/http has already
// assigned the connection.
func TestServerWithoutEchoGetsNewConnectionPerCall(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient()
	defer client.Close()
	const callers, calls = 16, 100
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for i := range calls {
				if err := get(t, client, server.URL, fmt.Sprint(caller, "-", i)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.Equal(conns.Load(), int32(callers*calls))
}

// Guards against the delivery of another request's response: connections are reused only while
// each response carries its request's id, and responses that may be another's are discarded.
func TestResponseIDsControlConnectionReuse(t *testing.T) {
	const other = "other"
	cases := []struct {
		name string
		// echoedIDs are the ids in the server's responses by call; "" is none and "=" the
		// call's own.
		echoedIDs []string
		errs      []error
		conns     int32
	}{
		{"echoes", []string{"=", "=", "=", "="}, []error{nil, nil, nil, nil}, 2},
		{"never echoes", []string{"", "", ""}, []error{nil, nil, nil}, 3},
		{"echoes later", []string{"", "=", "="}, []error{nil, nil, nil}, 3},
		{"stops echoing", []string{"=", "=", "", "", ""}, []error{nil, nil, ErrMissingID, nil, nil}, 4},
		{"mismatch on a new connection", []string{other, "="}, []error{ErrIDMismatch, nil}, 2},
		{"mismatch on a reused connection", []string{"=", "=", other, "="}, []error{nil, nil, ErrIDMismatch, nil}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls, conns atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				echo := c.echoedIDs[calls.Add(1)-1]
				if echo == "=" {
					echo = r.Header.Get(RequestIDHeader)
				}
				if echo != "" {
					w.Header().Set(RequestIDHeader, echo)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			}))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					conns.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			client := NewClient()
			defer client.Close()
			for i, want := range c.errs {
				is.True(errors.Is(get(t, client, server.URL, strconv.Itoa(i)), want))
			}
			is.Equal(conns.Load(), c.conns)
		})
	}
}
