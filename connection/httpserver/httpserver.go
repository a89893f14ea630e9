// Package httpserver creates kratos HTTP servers that depend on nothing of the host but
// their listener.
package httpserver

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/url"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
)

// Endpoint returns the kratos endpoint for the address (host:port) of a listener.
//
// Without an explicit endpoint, kratos lists the network interfaces, and the process fails
// to start on platforms that do not permit this.
func Endpoint(address string) *url.URL { return &url.URL{Scheme: "http", Host: address} }

// New returns a server that passes each request to handler unchanged. The handler replaces
// the kratos router, which would redirect paths that must stay as they are.
func New(listener net.Listener, guard *connguard.Guard, policy connguard.Policy, handler http.Handler) *khttp.Server {
	return newServer(listener, guard, policy, khttp.Filter(func(http.Handler) http.Handler { return handler }))
}

// NewRouted returns a server whose handlers are added to the kratos router.
func NewRouted(listener net.Listener, guard *connguard.Guard) *khttp.Server {
	return newServer(listener, guard, DefaultPolicy())
}

func newServer(listener net.Listener, guard *connguard.Guard, policy connguard.Policy, options ...khttp.ServerOption) *khttp.Server {
	options = append(options, khttp.Listener(guard.Listen(listener, policy)), khttp.Endpoint(Endpoint(listener.Addr().String())), khttp.Timeout(0))
	server := khttp.NewServer(options...)
	server.ConnContext = ConnContext
	// Only changes of state are logged, not every broken connection of a caller.
	server.ErrorLog = log.New(io.Discard, "", 0)
	connguard.Protect(server.Server)
	return server
}
