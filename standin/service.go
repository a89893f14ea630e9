package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// ServiceConfig configures a stand-in service.
type ServiceConfig struct {
	// Slots is the number of concurrent calls reported as the capacity.
	Slots int
	// Latency is the duration of each call.
	Latency time.Duration
	// Crash ends the process immediately.
	Crash func()
}

// Service is a stand-in for a plain service, which is not a model engine.
type Service struct {
	config ServiceConfig

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	stats ServiceStats
	// running is the number of calls in progress.
	running int
}

// ServiceStats holds a service's counters.
type ServiceStats struct {
	// Runs is the number of runs by Idempotency-Key.
	Runs map[string]int `json:"runs"`
	// Refs is the number of runs by the name after RefPrefix in the body.
	Refs map[string]int `json:"refs"`
	// Calls is the number of all calls.
	Calls int `json:"calls"`
}

// ServiceResponse is the response to a call.
type ServiceResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Digest is the SHA-256 of method, path and body, in hexadecimal.
	Digest string `json:"digest"`
}

// ServiceBody returns the JSON response to a call.
func ServiceBody(method, path string, body []byte) []byte {
	digest := sha256.Sum256([]byte(method + "\x00" + path + "\x00" + string(body)))
	answer, _ := json.Marshal(ServiceResponse{Method: method, Path: path, Digest: hex.EncodeToString(digest[:])})
	return answer
}

// NewService returns a service without faults.
func NewService(config ServiceConfig) *Service {
	return &Service{config: config, stats: ServiceStats{Runs: make(map[string]int), Refs: make(map[string]int)}}
}

// Routes registers the service's handlers. Every path that is not an administrative one
// is a call.
func (s *Service) Routes(server *khttp.Server) {
	server.HandleFunc("/stats", withRequestID(s.serveStats))
	server.HandleFunc("/load", withRequestID(s.serveLoad))
	server.HandleFunc("/fault", withRequestID(s.serveFault))
	server.HandlePrefix("/", withRequestID(s.serveCall))
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.stats)
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if fault.Crash {
		s.config.Crash()
		return
	}
	s.mu.Lock()
	s.fault = fault
	s.mu.Unlock()
	writeJSON(w, fault)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.currentFault()
	if fault.Refuse {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "refused by fault injection")
		return
	}
	s.count(r.Header.Get("Idempotency-Key"), string(body))
	defer s.end()
	// Close the connection without a response although the call ran.
	if fault.BreakAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	latency := s.config.Latency
	if fault.Slowdown > 0 {
		latency = number.Duration(float64(latency) * fault.Slowdown)
	}
	sleep(r.Context(), latency)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(ServiceBody(r.Method, r.URL.Path, body))
}

func (s *Service) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Service) count(key, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	s.running++
	if key != "" {
		s.stats.Runs[key]++
	}
	if ref, ok := wordAfter(body, RefPrefix); ok {
		s.stats.Refs[ref]++
	}
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// serveLoad reports the load in the format of an engine. A service has no queue.
func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, Load{Running: s.running, Slots: s.config.Slots, MeasuredUnixMS: time.Now().UnixMilli()})
}
