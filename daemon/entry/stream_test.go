package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/secret"
)

// requestID returns the id under which the engine holds the answer.
func requestID(r *http.Request) string { return r.Header.Get("X-Request-Id") }

// A stream breaks between an entry and its engine after part of the answer. The caller
// must get the rest, byte for byte and under one id, whether the engine still holds the
// answer, has lost it or has died.
func TestBrokenStreamIsContinued(t *testing.T) {
	for _, after := range []int{0, 1, 3, 5, 6} {
		for _, end := range []string{"holds", "lost", "died"} {
			t.Run(end+strconv.Itoa(after), func(t *testing.T) { testContinuedStream(t, after, end) })
		}
	}
}

func testContinuedStream(t *testing.T, after int, end string) {
	is := is.New(t)
	var calls atomic.Int32
	var backends [2]*fakeBackend
	answer := func(own int) script {
		return func(w http.ResponseWriter, r *http.Request, _ int) {
			if calls.Add(1) == 1 {
				startStream(w)
				sendTokens(w, requestID(r), tokens[:after], "")
				if end == "died" {
					backends[own].Listener.Close()
				}
				abort()
			}
			if r.URL.Path == "/v1/resume" && end == "lost" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			startStream(w)
			sendTokens(w, requestID(r), tokens[after:], "stop")
			if after == len(tokens) {
				sendChunk(w, requestID(r), "", "stop")
			}
			sendDone(w)
		}
	}
	backends[0], backends[1] = newFakeBackend(t, answer(0)), newFakeBackend(t, answer(1))
	f := start(t, testSettings(), backends[0].engine("r1"), backends[1].engine("r2"))
	_, stream := f.post("/v1/chat/completions", chatBody)
	text, ids, done, failure := parseStream(stream)
	is.Equal(text, strings.Join(tokens, ""))
	is.True(done)
	is.Equal(failure, nil)
	is.Equal(len(ids), 1)
	if end == "holds" || after == 0 {
		return
	}
	last := append(backends[0].calls("/v1/chat/completions"), backends[1].calls("/v1/chat/completions")...)
	carried := 0
	for _, call := range last {
		var body struct {
			Messages []struct{ Role, Content string }
			Continue bool `json:"continue_final_message"`
		}
		is.NoErr(json.Unmarshal([]byte(call.body), &body))
		if body.Continue {
			carried++
			is.Equal(body.Messages[1].Content, strings.Join(tokens[:after], ""))
		}
	}
	is.Equal(carried, 1)
}

// An engine's stream is defective: it contains an error event, "[DONE]" without a finish
// reason or invalid JSON, or it breaks off. With no other engine to continue, the caller
// must get a typed error and no "[DONE]".
func TestBadStreamsNeverLookComplete(t *testing.T) {
	cases := map[string]script{
		"error event": func(w http.ResponseWriter, r *http.Request, _ int) {
			sendChunk(w, requestID(r), "un", "")
			_, _ = w.Write([]byte("data: {\"error\":{\"message\":\"out of memory\"}}\n\n"))
		},
		"done without reason": func(w http.ResponseWriter, r *http.Request, _ int) {
			sendChunk(w, requestID(r), "un", "")
			sendDone(w)
		},
		"no JSON": func(w http.ResponseWriter, r *http.Request, _ int) {
			sendChunk(w, requestID(r), "un", "")
			_, _ = w.Write([]byte("data: {\"choices\n\n"))
		},
		"cut": func(w http.ResponseWriter, r *http.Request, _ int) {
			sendChunk(w, requestID(r), "un", "")
			abort()
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
				if n > 1 {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				startStream(w)
				answer(w, r, n)
			})
			f := start(t, testSettings(), backend.engine("r1"))
			_, stream := f.post("/v1/chat/completions", chatBody, "X-Lilac-Deadline-Ms", "1500")
			text, _, done, failure := parseStream(stream)
			is.Equal(text, "un")
			is.True(!done)
			is.True(failure != nil)
			is.Equal(failure.NotRun, false)
		})
	}
}

// A restarted engine writes the answer of an older request to a reused connection. The
// caller must not receive any of it.
func TestAnotherRequestsAnswerIsDiscarded(t *testing.T) {
	for name, mark := range map[string]func(http.ResponseWriter){
		"header": func(w http.ResponseWriter) { w.Header().Set("X-Request-Id", "other-1") },
		"chunk":  func(w http.ResponseWriter) { w.Header().Del("X-Request-Id") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
				id := requestID(r)
				if n == 1 {
					mark(w)
					id = "other-1"
				}
				startStream(w)
				if n == 1 {
					sendTokens(w, id, []string{"secret"}, "stop")
				} else {
					sendTokens(w, id, tokens, "stop")
				}
				sendDone(w)
			})
			f := start(t, testSettings(), backend.engine("r1"))
			_, stream := f.post("/v1/chat/completions", chatBody)
			text, _, done, _ := parseStream(stream)
			is.Equal(text, strings.Join(tokens, ""))
			is.True(done)
		})
	}
}

// A caller disconnects in the middle of an answer. The entry must cancel the request at
// the engine at once, so that its slot is free for other requests.
func TestDisconnectedCallerCancelsAtTheEngine(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		startStream(w)
		sendChunk(w, requestID(r), "un", "")
		<-r.Context().Done()
		close(gone)
	})
	f := start(t, testSettings(), backend.engine("r1"))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions", strings.NewReader(chatBody))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret.CallerToken(testKey, "coop"))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	cancel()
	resp.Body.Close()
	<-gone
	waitFor(t, func() bool { return len(backend.calls("/v1/cancel")) == 1 })
	is.True(strings.Contains(backend.calls("/v1/cancel")[0].body, backend.calls("")[0].id))
	waitFor(t, func() bool { return f.relay.InFlight() == 0 })
}

// waitFor polls until the condition holds; the timeout of the test run ends a hang.
func waitFor(t *testing.T, condition func() bool) {
	for !condition() {
		if t.Context().Err() != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}
