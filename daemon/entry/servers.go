package entry

import (
	"fmt"
	"log"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"

	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/metrics"
)

const (
	// idleTimeout is how long a caller's connection may stay open without a request.
	idleTimeout = 2 * time.Minute
	// headerMargin is added to the configured header limit for net/http, in bytes, so
	// that a header slightly over the limit gets a typed error instead of the plain
	// one of the library.
	headerMargin = 256 << 10
)

// callerServer returns the HTTP server for callers. The handler is installed as a
// filter ahead of the framework's router, because the router would redirect paths
// that services must receive unchanged.
func (e *Entry) callerServer(listener net.Listener) *khttp.Server {
	server := khttp.NewServer(
		khttp.Listener(e.callers.WrapListener(listener)),
		khttp.Endpoint(httpserver.Endpoint(listener.Addr().String())),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return e.callers }),
	)
	// The timeout covers the whole header, which bounds how long a caller that sends
	// its header byte by byte can hold a connection.
	server.ReadHeaderTimeout = e.settings.Limits.ReadTimeout.Duration
	server.ConnContext = caller.ConnContext
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = e.settings.Limits.HeaderBytes + headerMargin
	server.ErrorLog = e.debugLogger()
	return server
}

// debugLogger logs the HTTP library's messages about callers' broken connections at
// debug level.
func (e *Entry) debugLogger() *log.Logger {
	return e.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// adminServer returns the HTTP server for /metrics, /healthz, /readyz and pprof.
func (e *Entry) adminServer(listener net.Listener) *khttp.Server {
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Endpoint(httpserver.Endpoint(listener.Addr().String())))
	server.ReadHeaderTimeout = e.settings.Limits.ReadTimeout.Duration
	server.Handle("/metrics", metrics.Handler(e.registry))
	server.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	server.HandleFunc("/readyz", e.serveReady)
	server.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	server.HandleFunc("/debug/pprof/profile", pprof.Profile)
	server.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	server.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server.HandlePrefix("/debug/pprof/", http.HandlerFunc(pprof.Index))
	return server
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
