package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// fakeBackend is a scripted backend server that records the calls it receives.
type fakeBackend struct {
	*httptest.Server
	mu       sync.Mutex
	received []receivedCall
}

type receivedCall struct {
	path string
	id   string
	key  string
	body string
}

// script answers the n-th call, counted from 1 without cancels.
type script func(w http.ResponseWriter, r *http.Request, n int)

// newFakeBackend starts a server that answers calls by the script, except for load
// reports, cache events and cancels, which it answers itself.
func newFakeBackend(t *testing.T, answer script) *fakeBackend {
	f := &fakeBackend{}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" || r.URL.Path == "/cache/events" {
			fmt.Fprint(w, "{}")
			return
		}
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.received = append(f.received, receivedCall{r.URL.Path, r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), string(body)})
		n := 0
		for _, one := range f.received {
			if one.path != "/v1/cancel" {
				n++
			}
		}
		f.mu.Unlock()
		if r.URL.Path == "/v1/cancel" {
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		answer(w, r, n)
	}))
	t.Cleanup(func() { f.CloseClientConnections(); f.Close() })
	return f
}

// calls returns the calls to the path; "" means all calls but cancels.
func (f *fakeBackend) calls(path string) []receivedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []receivedCall
	for _, one := range f.received {
		if one.path == path || path == "" && one.path != "/v1/cancel" {
			found = append(found, one)
		}
	}
	return found
}

func (f *fakeBackend) engine(name string) *lilacv1.Server { return engineAt(name, f.URL) }

func (f *fakeBackend) service(name string) *lilacv1.Server {
	server := engineAt(name, f.URL)
	server.Kind, server.Serves = lilacv1.ServerKind_SERVER_KIND_SERVICE, []string{"guichet"}
	return server
}

func startStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

func sendChunk(w http.ResponseWriter, id, content, finish string) {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	text, _ := json.Marshal(content)
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","created":7,"model":"redaction","choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`+"\n\n", id, text, reason)
	_ = http.NewResponseController(w).Flush()
}

func sendTokens(w http.ResponseWriter, id string, tokens []string, finish string) {
	for i, token := range tokens {
		reason := ""
		if i == len(tokens)-1 {
			reason = finish
		}
		sendChunk(w, id, token, reason)
	}
}

func sendDone(w http.ResponseWriter) { fmt.Fprint(w, "data: [DONE]\n\n") }

func abort() { panic(http.ErrAbortHandler) }

// tokens are the complete answer of scripted engines.
var tokens = []string{"un", " deux", " trois", " quatre", " \"cinq\"", " six"}

const chatBody = `{"model":"redaction","stream":true,"messages":[{"role":"user","content":"compte"}]}`

// parseStream joins the content of a stream's events and collects their ids. done
// reports whether the stream ended with "[DONE]"; failure is its error event, if any.
func parseStream(stream string) (text string, ids map[string]bool, done bool, failure *errorEvent) {
	ids = make(map[string]bool)
	for _, line := range strings.Split(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			ID      string      `json:"id"`
			Error   *errorEvent `json:"error"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			return "not JSON: " + data, ids, done, failure
		}
		if event.Error != nil {
			failure = event.Error
			continue
		}
		ids[event.ID] = true
		for _, choice := range event.Choices {
			text += choice.Delta.Content
		}
	}
	return text, ids, done, failure
}

type errorEvent struct {
	Type   string `json:"type"`
	NotRun any    `json:"not_run"`
}

func parseError(body string) errorEvent {
	var typed struct {
		Error errorEvent `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &typed)
	return typed.Error
}
