package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// requestIDHeader carries the request id in requests and responses.
const requestIDHeader = "X-Request-Id"

// Routes registers the engine's handlers.
func (e *Engine) Routes(server *khttp.Server) {
	server.HandleFunc("/v1/chat/completions", withRequestID(e.serveChat))
	server.HandleFunc("/v1/models", withRequestID(e.serveModels))
	server.HandleFunc("/v1/resume", withRequestID(e.serveResume))
	server.HandleFunc("/v1/cancel", withRequestID(e.serveCancel))
	server.HandleFunc("/v1/kv/export", withRequestID(e.serveExport))
	server.HandleFunc("/v1/kv/import", withRequestID(e.serveImport))
	server.HandleFunc("/load", withRequestID(e.serveLoad))
	server.HandleFunc("/cache/events", withRequestID(e.serveEvents))
	server.HandleFunc("/orders", withRequestID(e.serveOrders))
	server.HandleFunc("/fault", withRequestID(e.serveFault))
	server.HandleFunc("/stats", withRequestID(e.serveStats))
}

// withRequestID echoes the request id in every response, including errors.
func withRequestID(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(requestIDHeader); id != "" {
			w.Header().Set(requestIDHeader, id)
		}
		serve(w, r)
	}
}

type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	ContinueFinal       bool      `json:"continue_final_message"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (c *chatRequest) maxTokens() int { return max(c.MaxTokens, c.MaxCompletionTokens) }

// sequence returns a new sequence that generates the answer.
func (c *chatRequest) sequence(id string, priority int) *sequence {
	answer := Answer
	prompt := c.Messages
	if c.ContinueFinal {
		answer = Continue
		prompt = c.Messages[:len(c.Messages)-1]
	}
	s := &sequence{id: id, model: c.Model, priority: priority, continued: c.ContinueFinal, words: promptWords(c.Messages)}
	s.tokens = answer(c.Model, c.Messages, c.maxTokens())
	s.truncated = len(s.tokens) < len(answer(c.Model, c.Messages, 0))
	for _, message := range prompt {
		if ref, ok := wordAfter(string(message.Content), RefPrefix); ok {
			s.ref = ref
		}
	}
	return s
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var chat chatRequest
	if err := json.NewDecoder(r.Body).Decode(&chat); err != nil || len(chat.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "body is not a chat completion request")
		return
	}
	if !e.loaded(chat.Model) {
		writeError(w, http.StatusNotFound, "model "+chat.Model+" is not loaded")
		return
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		id = fmt.Sprintf("own-%d", time.Now().UnixNano())
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.submit(chat.sequence(id, priority)) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "queue is full")
		return
	}
	s := e.attach(id)
	if s == nil {
		writeError(w, http.StatusGone, "canceled")
		return
	}
	defer e.detach(s)
	if chat.Stream {
		e.writeStream(w, r, s, 0, chat.StreamOptions.IncludeUsage)
		return
	}
	e.writeCompletion(w, r, s)
}

func (e *Engine) loaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.orders.loaded.Models, model)
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type entry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	data := []entry{}
	e.mu.Lock()
	for _, model := range e.orders.loaded.Models {
		data = append(data, entry{ID: model, Object: "model", OwnedBy: "standin"})
	}
	e.mu.Unlock()
	writeJSON(w, map[string]any{"object": "list", "data": data})
}

type requestRef struct {
	RequestID   string `json:"request_id"`
	AfterTokens int    `json:"after_tokens"`
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var ref requestRef
	if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s := e.attach(ref.RequestID)
	if s == nil {
		writeError(w, http.StatusNotFound, "no such request here")
		return
	}
	defer e.detach(s)
	e.writeStream(w, r, s, ref.AfterTokens, false)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var ref requestRef
	if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.cancel(ref.RequestID) {
		writeError(w, http.StatusNotFound, "no such request here")
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var ref requestRef
	if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	data, ok := e.exportSequence(ref.RequestID)
	if !ok {
		writeError(w, http.StatusNotFound, "no such request here")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

// maxImportBytes bounds the size of an imported sequence.
const maxImportBytes = 16 << 20

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImportBytes))
	if err != nil || !e.importSequence(data) {
		writeError(w, http.StatusBadRequest, "sequence can't be imported")
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.report(time.Now()))
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.since(after, time.Now().Add(-e.config.ReportLag))
	e.mu.Unlock()
	writeJSON(w, map[string]any{"events": events})
}

func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost {
		var order Order
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		if !e.orders.apply(order) {
			writeError(w, http.StatusConflict, "fencing number is outdated")
			return
		}
	}
	writeJSON(w, e.orders.loaded)
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fault); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if fault.Crash {
		e.config.Crash()
		return
	}
	e.mu.Lock()
	e.fault = fault
	e.mu.Unlock()
	writeJSON(w, fault)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.stats)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": message, "type": strings.ToLower(http.StatusText(status))}})
}
