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
)

// ServiceConfig holds the settings of a stand-in service.
type ServiceConfig struct {
	// Slots is the number of calls at once that it reports as its size.
	Slots int
	// Latency of each call.
	Latency time.Duration
	// Crash ends the process, at once.
	Crash func()
}

// Service is a stand-in plain service.
type Service struct {
	config ServiceConfig
	mu     sync.Mutex
	fault  Fault
	stats  ServiceStats
	// running is the number of calls in progress.
	running int
}

// ServiceStats counts what a service did.
type ServiceStats struct {
	// Runs by Idempotency-Key.
	Runs map[string]int `json:"runs"`
	// Refs by the word after RefWord in the body.
	Refs map[string]int `json:"refs"`
	// Calls counts all calls.
	Calls int `json:"calls"`
}

// ServiceAnswer is what a service answers to a call.
type ServiceResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Digest is SHA-256 of method, path and body, in hexadecimal.
	Digest string `json:"digest"`
}

// AnswerOf returns the answer to a call, in JSON.
func ServiceBody(method, path string, body []byte) []byte {
	digest := sha256.Sum256([]byte(method + "\x00" + path + "\x00" + string(body)))
	answer, _ := json.Marshal(ServiceResponse{Method: method, Path: path, Digest: hex.EncodeToString(digest[:])})
	return answer
}

// NewService makes a service.
func NewService(config ServiceConfig) *Service {
	return &Service{config: config, stats: ServiceStats{Runs: make(map[string]int), Refs: make(map[string]int)}}
}

// Routes adds the service's calls to an HTTP server.
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
		writeError(w, http.StatusTooManyRequests, "told to refuse")
		return
	}
	s.count(r.Header.Get("Idempotency-Key"), string(body))
	defer s.end()
	// The call ran, and its caller is left without an answer.
	if fault.BreakAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	latency := s.config.Latency
	if fault.Slowdown > 0 {
		latency = time.Duration(float64(latency) * fault.Slowdown)
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

// serveLoad reports the load as an engine does; a service has no queue of its own.
func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, Load{Running: s.running, Slots: s.config.Slots, MeasuredUnixMS: time.Now().UnixMilli()})
}
