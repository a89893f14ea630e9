// Package httpserver creates kratos HTTP servers that depend on nothing of the host but
// their listener.
package httpserver

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout bounds the time to read a complete request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is much longer than callers keep an idle connection, so that the server
	// does not close one on which a request is in transit.
	idleTimeout = 2 * time.Minute
)

// Endpoint returns the kratos endpoint for the address (host:port) of a listener.
//
// Without an explicit endpoint, kratos lists the network interfaces, and the process fails
// to start on platforms that do not permit this.
func Endpoint(address string) *url.URL { return &url.URL{Scheme: "http", Host: address} }

// New returns a server that passes each request to handler unchanged. The handler replaces
// the kratos router, which would redirect paths that must stay as they are.
func New(listener net.Listener, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Endpoint(Endpoint(listener.Addr().String())),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.ConnContext = ConnContext
	// Only changes of state are logged, not every broken connection of a caller.
	server.ErrorLog = log.New(io.Discard, "", 0)
	return server
}
