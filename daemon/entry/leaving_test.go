package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// longAnswerWords is far more than an engine generates before it is terminated.
const longAnswerWords = 600

// word returns the n-th word of the long answer.
func word(n int) string { return fmt.Sprintf("w%d ", n) }

// longAnswer streams words until its reader disconnects, and calls onStarted after the
// second word.
func longAnswer(w http.ResponseWriter, r *http.Request, onStarted func()) {
	startStream(w)
	for n := range longAnswerWords {
		sendChunk(w, requestID(r), word(n), "")
		if n == 1 {
			onStarted()
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// The platform announces the termination of an engine in the middle of a long answer to
// a long prompt. The policy must move the answer with its KV cache to another engine in
// time, and the caller must get each word once.
func TestPolicyMovesAnAnswerOffALeavingEngine(t *testing.T) {
	is := is.New(t)
	const rest = 5
	var first, second *fakeBackend
	resumedAt := func() int {
		var asked struct {
			AfterTokens int `json:"after_tokens"`
		}
		for _, call := range append(first.calls("/v1/resume"), second.calls("/v1/resume")...) {
			_ = json.Unmarshal([]byte(call.body), &asked)
		}
		return asked.AfterTokens
	}
	var f *fixture
	scriptOf := func(name string) script {
		leaving := func() { f.relay.Post(policy.ServerState{Server: name, Leaving: true}) }
		return func(w http.ResponseWriter, r *http.Request, _ int) {
			switch r.URL.Path {
			case "/v1/kv/export":
				_, _ = w.Write([]byte("cache"))
			case "/v1/kv/import":
			case "/v1/resume":
				from := resumedAt()
				startStream(w)
				for n := range rest {
					sendChunk(w, requestID(r), word(from+n), "")
				}
				sendChunk(w, requestID(r), "", "stop")
				sendDone(w)
			default:
				longAnswer(w, r, leaving)
			}
		}
	}
	first, second = newFakeBackend(t, scriptOf("r1")), newFakeBackend(t, scriptOf("r2"))
	f = start(t, testSettings(), first.engine("r1"), second.engine("r2"))
	_, stream := f.post("/v1/chat/completions", strings.Replace(chatBody, "compte", strings.Repeat("compte ", 3000), 1))
	text, ids, done, _ := parseStream(stream)
	var want strings.Builder
	for n := range resumedAt() + rest {
		want.WriteString(word(n))
	}
	is.True(resumedAt() > 0)
	is.Equal(text, want.String())
	is.True(done)
	is.Equal(len(ids), 1)
	is.Equal(len(first.calls("/v1/kv/import"))+len(second.calls("/v1/kv/import")), 1)
	stats, err := f.relay.Stats(t.Context())
	is.NoErr(err)
	is.Equal(stats.MovedByKV, uint64(1))
}
