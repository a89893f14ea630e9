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
	// idleTimeout closes callers' connections that carry no request.
	idleTimeout = 2 * time.Minute
	// headerMargin is above the limit of the settings, so that a header a little
	// too long gets a typed error and not the library's plain one.
	headerMargin = 256 << 10
)

// callerServer serves callers. The handler stands before the library's router,
// which would redirect paths that services must see as they are.
func (e *Entry) callerServer(listener net.Listener) *khttp.Server {
	server := khttp.NewServer(
		khttp.Listener(e.callers.WrapListener(listener)),
		khttp.Endpoint(httpserver.Endpoint(listener.Addr().String())),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return e.callers }),
	)
	// Guards against callers that send their header byte by byte: the timeout
	// covers the whole header, so each holds a connection for that long at most.
	server.ReadHeaderTimeout = e.settings.Limits.ReadTimeout.Duration
	server.ConnContext = caller.ConnContext
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = e.settings.Limits.HeaderBytes + headerMargin
	server.ErrorLog = e.debugLogger()
	return server
}

// debugLogger keeps the HTTP library's lines on callers' broken connections at debug.
func (e *Entry) debugLogger() *log.Logger {
	return e.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// adminServer serves /metrics, /healthz, /readyz and pprof.
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
