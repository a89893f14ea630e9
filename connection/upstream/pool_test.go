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

// echoServer counts the connections that it gets; while wrong is set it names another
// request in its answers.
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

// Each booking had a connection of its own, and waited for a way there and back first.
func TestRequestsThatMustNotRepeatShareConnectionsInUse(t *testing.T) {
	is := is.New(t)
	var wrong atomic.Bool
	url, connections := echoServer(t, &wrong)
	client := NewClient()
	defer client.Close()
	for _, id := range []string{"1", "2", "3", "4"} {
		is.NoErr(book(t, client, url, id))
	}
	is.Equal(connections.Load(), int64(2)) // the first shows that the server names requests
	is.True(client.requests.recent.Transport.(*http.Transport).IdleConnTimeout < time.Second)
}

// A server answers twice, and the second answer comes as that of the next booking,
// whose outcome nobody knows then. The ones after it have connections of their own.
func TestALateAnswerEndsSharingForAWhile(t *testing.T) {
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
