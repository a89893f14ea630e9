package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/metrics"
)

// newGuard returns the account of the connections of a server, whose name is its label in metrics.
func (e *Entry) newGuard(server string, limits connguard.Limits) *connguard.Guard {
	guard := connguard.New(limits, e.log)
	e.guards[server] = guard
	return guard
}

func (e *Entry) machine() connguard.Machine {
	limits := &e.settings.Limits.ProcessLimits
	return connguard.Machine{Memory: limits.MemoryBytes(), Descriptors: limits.Descriptors()}
}

// internalGuard returns the account of a server for operators or the platform.
func (e *Entry) internalGuard(server string) *connguard.Guard {
	return e.newGuard(server, connguard.InternalLimits(e.machine()))
}

// callerServer returns the HTTP server for callers.
func (e *Entry) callerServer(listener net.Listener) *khttp.Server {
	return httpserver.New(listener, e.callerGuard, e.callers.ConnectionPolicy(), e.callers)
}

// adminServer returns the HTTP server for /metrics, /healthz, /readyz and pprof.
func (e *Entry) adminServer(listener net.Listener) *khttp.Server {
	server := httpserver.NewRouted(listener, e.internalGuard("admin"))
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
