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

// A caller leaves at the moment at which its request is about to be written. The
// entry says "not run"; the HTTP library's writer, a goroutine of its own, has
// the request still in hand. The server must see nothing of it.
func TestNothingIsWrittenAfterTheSeal(t *testing.T) {
	is := is.New(t)
	var ran sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ran.Store(r.URL.Path, true) }))
	client := NewClient()
	var sealed []string
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
			sealed = append(sealed, path)
			is.True(err != nil)
		}
		cancel()
	}
	client.Close()
	server.Close()
	is.True(len(sealed) < 300)
	for _, path := range sealed {
		_, saw := ran.Load(path)
		is.True(!saw)
	}
}

func TestSealAndWriteExcludeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 1000 {
			attempt := &Attempt{}
			var wrote, proved atomic.Bool
			go func() { wrote.Store(attempt.mayWrite()) }()
			go func() { proved.Store(attempt.Abandon()) }()
			synctest.Wait()
			is.True(wrote.Load() != proved.Load())
			is.Equal(attempt.Written(), wrote.Load())
		}
	})
}

// A service closes a kept connection while a booking is on its way. net/http
// would send it again by itself, since it carries an Idempotency-Key; the
// service must see it once, also when its body is empty.
func TestLibraryDoesNotRepeatPosts(t *testing.T) {
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
			client.requests.learn(server.Listener.Addr().String(), true)
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

// get calls the server as attempt id and reads the whole answer.
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

// Calls to an engine that echoes no id fail now and then with "use of closed
// network connection". Its connection was closed after the answer, when the
// library had handed it to the next call already.
func TestServerWithoutEchoGetsEachCallOnAConnectionOfItsOwn(t *testing.T) {
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

// What answers do to the connections: kept where each carries its call's id,
// and what may be another's answer is discarded.
func TestAnswersBindConnections(t *testing.T) {
	const other = "other"
	cases := []struct {
		name string
		// echoes are the ids that the server gives back, call by call; "" is none
		// and "=" the call's own.
		echoes []string
		errs   []error
		conns  int32
	}{
		{"echoes", []string{"=", "=", "=", "="}, []error{nil, nil, nil, nil}, 2},
		{"never echoes", []string{"", "", ""}, []error{nil, nil, nil}, 3},
		{"echoes later", []string{"", "=", "="}, []error{nil, nil, nil}, 3},
		{"ends to echo", []string{"=", "=", "", "", ""}, []error{nil, nil, ErrMissingID, nil, nil}, 4},
		{"another's answer at first", []string{other, "="}, []error{ErrIDMismatch, nil}, 2},
		{"another's answer later", []string{"=", "=", other, "="}, []error{nil, nil, ErrIDMismatch, nil}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls, conns atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				echo := c.echoes[calls.Add(1)-1]
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
