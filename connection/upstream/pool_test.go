package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echoServer returns a server that echoes request ids, or sends a wrong one while wrong is
// set. connections counts the connections opened to it.
func echoServer(t *testing.T, wrong *atomic.Bool) (url string, connections *atomic.Int64) {
	t.Helper()
	connections = &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(RequestIDHeader)
		if wrong.Load() {
			id = "another"
		}
		w.Header().Set(RequestIDHeader, id)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, connections
}

// book sends a request that must not be repeated.
func book(t *testing.T, client *Client, url, id string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("book"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(RequestIDHeader, id)
	resp, err := client.DoRecentConn(req, &Attempt{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a new connection, and so an additional round trip, for each request that
// must not be repeated.
func TestNonIdempotentRequestsReuseRecentConnections(t *testing.T) {
	is := is.New(t)
	var wrong atomic.Bool
	url, connections := echoServer(t, &wrong)
	client := NewClient()
	defer client.Close()
	for _, id := range []string{"1", "2", "3", "4"} {
		is.NoErr(book(t, client, url, id))
	}
	is.Equal(connections.Load(), int64(2)) // the first shows that the server echoes request ids
	is.True(client.requests.recent.Transport.(*http.Transport).IdleConnTimeout < time.Second)
}

// Guards against reuse of connections to a server that writes two responses to one request:
// each later booking that reads such a response has an unknown outcome.
func TestMismatchedResponseSuspendsConnectionReuse(t *testing.T) {
	is := is.New(t)
	var wrong atomic.Bool
	url, connections := echoServer(t, &wrong)
	client := NewClient()
	defer client.Close()
	for _, id := range []string{"1", "2"} {
		is.NoErr(book(t, client, url, id))
	}
	wrong.Store(true)
	is.True(errors.Is(book(t, client, url, "3"), ErrIDMismatch))
	wrong.Store(false)
	before := connections.Load()
	for _, id := range []string{"4", "5"} {
		is.NoErr(book(t, client, url, id))
	}
	is.Equal(connections.Load(), before+2)
}

// Guards against a request that is sent on an idle connection whose path is lost: it would
// get no answer, and its outcome would be unknown.
func TestIdleConnectionsAreNotUsedOnALostPath(t *testing.T) {
	is := is.New(t)
	var wrong atomic.Bool
	url, connections := echoServer(t, &wrong)
	client := NewClient()
	defer client.Close()
	address := strings.TrimPrefix(url, "http://")
	for _, id := range []string{"1", "2"} {
		is.NoErr(book(t, client, url, id))
	}
	is.Equal(connections.Load(), int64(2))
	client.CloseIdle(address)
	attempt := &Attempt{}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("book"))
	is.NoErr(err)
	req.Header.Set(RequestIDHeader, "3")
	resp, err := client.DoRecentConn(req, attempt)
	if err == nil {
		resp.Body.Close()
		is.Equal(connections.Load(), int64(3))
	} else {
		is.True(!attempt.Written())
	}
}
