package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// An answer moves to another engine after the old one has dropped its KV cache. The
// caller must still get the complete answer, and the policy must be told that the prompt
// was recomputed.
func TestMoveWithoutCacheContinuesFromTheText(t *testing.T) {
	is := is.New(t)
	const after = 2
	old := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.URL.Path == "/v1/kv/export" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		startStream(w)
		sendTokens(w, requestID(r), tokens[:after], "")
		<-r.Context().Done()
	})
	next := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		startStream(w)
		sendTokens(w, requestID(r), tokens[after:], "stop")
		sendDone(w)
	})
	got := 0
	var recomputed atomic.Int32
	core := scriptedCore(func(event policy.Event) []policy.Action {
		switch e := event.(type) {
		case policy.Arrival:
			return []policy.Action{policy.Start{ID: e.ID, Server: "r1", Attempt: 1}}
		case policy.Recomputed:
			recomputed.Add(1)
		case policy.Tokens:
			if got += e.Count; got == after && e.Attempt == 1 {
				return []policy.Action{
					policy.Stop{ID: e.ID, Server: "r1", Attempt: 1},
					policy.Start{ID: e.ID, Server: "r2", Attempt: 2, ResumeFrom: "r1", Continue: true},
				}
			}
		}
		return nil
	})
	f := startWith(t, testSettings(), core, old.engine("r1"), next.engine("r2"))
	_, stream := f.post("/v1/chat/completions", chatBody)
	text, ids, done, _ := parseStream(stream)
	is.Equal(text, strings.Join(tokens, ""))
	is.True(done)
	is.Equal(len(ids), 1)
	is.Equal(recomputed.Load(), int32(1))
}

// A caller disconnects in the middle of an answer. The tokens that the engine did not
// have to generate must be counted.
func TestDisconnectedCallerSavesTokens(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		startStream(w)
		sendChunk(w, requestID(r), "un", "")
		<-r.Context().Done()
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
	waitFor(t, func() bool { return f.relay.InFlight() == 0 })
	stats, err := f.relay.Stats(t.Context())
	is.NoErr(err)
	is.Equal(stats.Canceled, uint64(1))
	is.True(stats.SavedTokens.Canceled > 0)
}
