package connguard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
)

var (
	roomy = connguard.Limits{Connections: 10, HeadBytes: 1 << 20}
	head  = connguard.HeadLimits{Bytes: 1000, Time: 200 * time.Millisecond, Idle: 400 * time.Millisecond}
)

// serve starts a server and returns its address.
func serve(t *testing.T, limits connguard.Limits, head connguard.HeadLimits, handle http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	policy := connguard.Policy{Limits: func() connguard.HeadLimits { return head }, Response: httpserver.PlainResponse}
	server := httpserver.New(listener, connguard.New(limits, nil), policy, handle)
	go func() { _ = server.Start(t.Context()) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// receive sends a text and returns the status of the response, 0 if the connection is closed without.
func receive(t *testing.T, conn net.Conn, text string) int {
	is := is.New(t)
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	return resp.StatusCode
}

func ok(http.ResponseWriter, *http.Request) {}

const get = "GET / HTTP/1.1\r\nHost: h\r\n"

// Guards against a rejection that promises the wrong thing, or that the client can't read.
func TestRejectionsTellWhy(t *testing.T) {
	for name, c := range map[string]struct {
		limits connguard.Limits
		text   string
		status int
	}{
		"in order":       {roomy, get + "\r\n", http.StatusOK},
		"at the limit":   {roomy, get + "A: " + strings.Repeat("a", 900) + "\r\n\r\n", http.StatusOK},
		"over the limit": {roomy, get + "A: " + strings.Repeat("a", 100_000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"slow":           {roomy, get, http.StatusRequestTimeout},
		"silent":         {roomy, "", 0},
		"without room":   {connguard.Limits{Connections: 10, HeadBytes: 100}, get + "\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(receive(t, dial(t, serve(t, c.limits, head, ok)), c.text), c.status)
		})
	}
}

// Guards against the limits of heads in force while a request is handled: a long answer would end.
func TestLimitsOfHeadsDoNotEndRequests(t *testing.T) {
	is := is.New(t)
	address := serve(t, roomy, head, func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * head.Idle)
		is.NoErr(r.Context().Err())
		_, err := io.Copy(io.Discard, r.Body)
		is.NoErr(err)
	})
	conn := dial(t, address)
	body := strings.Repeat("b", 10*head.Bytes)
	for range 2 {
		is.Equal(receive(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n"+body), http.StatusOK)
	}
}

// Guards against connections that are lost to their callers once they were used.
func TestKeptConnectionsServeManyRequests(t *testing.T) {
	is := is.New(t)
	conn := dial(t, serve(t, connguard.Limits{Connections: 1, HeadBytes: 10_000}, head, ok))
	for range 100 {
		is.Equal(receive(t, conn, get+"A: "+strings.Repeat("a", 300)+"\r\n\r\n"), http.StatusOK)
	}
}

// Guards against a new caller that is kept out by idle connections.
func TestIdleConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	patient := head
	patient.Idle = time.Hour
	address := serve(t, connguard.Limits{Connections: 1, HeadBytes: 10_000}, patient, ok)
	idle := dial(t, address)
	is.Equal(receive(t, idle, get+"\r\n"), http.StatusOK)
	// The client has the response a moment before the connection counts as idle; until then a new one is
	// closed unread.
	status := 0
	for deadline := time.Now().Add(10 * time.Second); status == 0 && time.Now().Before(deadline); {
		status = receive(t, dial(t, address), get+"\r\n")
	}
	is.Equal(status, http.StatusOK)
	_, err := idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
