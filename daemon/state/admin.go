package state

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lilacbridge/lilacbridge/connection/connguard"
	"github.com/lilacbridge/lilacbridge/connection/httpserver"
	"github.com/lilacbridge/lilacbridge/process/metrics"
)

// maxReadyStaleness is the highest staleness at which /readyz still succeeds.
const maxReadyStaleness = 5 * time.Second

// newAdmin returns the HTTP server for /metrics, /healthz, /readyz and pprof.
func newAdmin(listener net.Listener, guard *connguard.Guard, s *Service, registry *prometheus.Registry, stopping func() bool) *kratoshttp.Server {
	server := httpserver.NewRouted(listener, guard)
	server.Handle("/metrics", metrics.Handler(registry))
	server.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	server.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		status := s.log.Status()
		switch {
		case stopping():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case status.Staleness > maxReadyStaleness:
			http.Error(w, "no leader with a quorum, or not caught up with it; see lilacctl status", http.StatusServiceUnavailable)
		default:
			fmt.Fprintln(w, "ready")
		}
	})
	server.HandleFunc("/debug/pprof/", pprof.Index)
	server.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	server.HandleFunc("/debug/pprof/profile", pprof.Profile)
	server.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	server.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server.HandlePrefix("/debug/pprof/", http.HandlerFunc(pprof.Index))
	return server
}
