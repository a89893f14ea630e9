// Package httpserver makes HTTP servers of kratos that need nothing of the machine
// but their listener.
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
	// headerTimeout covers the whole header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is well above what callers leave a connection idle for, so that
	// none is closed while a request is on its way.
	idleTimeout = 2 * time.Minute
)

// Endpoint is the address as kratos wants it.
//
// It guards against platforms that don't let a process list its network
// interfaces: kratos looks for an endpoint there unless it is given one, and the
// process ends at its start. It holds because the listener's own address is given.
func Endpoint(address string) *url.URL { return &url.URL{Scheme: "http", Host: address} }

// New returns a server in which the handler gets each request as it came: the
// library's router would redirect paths that must stay as they are.
func New(listener net.Listener, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(
		khttp.Listener(listener),
		khttp.Endpoint(Endpoint(listener.Addr().String())),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	)
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	// Broken connections of callers are no change of state.
	server.ErrorLog = log.New(io.Discard, "", 0)
	return server
}
