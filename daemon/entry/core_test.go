package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// scriptedCore is a policy core whose decisions are made by a test function.
type scriptedCore func(event policy.Event) []policy.Action

func (s scriptedCore) Step(_ time.Time, event policy.Event) []policy.Action { return s(event) }
func (s scriptedCore) Digest(time.Time) *lilacv1.Digest                     { return &lilacv1.Digest{} }
func (s scriptedCore) Loads(time.Time) loadboard.Report                     { return loadboard.Report{} }
func (s scriptedCore) LendRetries(time.Time, string, int) int               { return 0 }
func (s scriptedCore) Stats() policy.Stats                                  { return policy.Stats{} }

// An engine is drained in the middle of an answer. The KV cache must move to another
// engine, which continues: the caller gets one complete answer, and the first engine
// keeps its part until the cache has been exported.
func TestAnswerMovesWithItsCache(t *testing.T) {
	is := is.New(t)
	const after = 2
	var old, next *fakeBackend
	old = newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.URL.Path == "/v1/kv/export" {
			_, _ = w.Write([]byte("cache"))
			return
		}
		startStream(w)
		sendTokens(w, requestID(r), tokens[:after], "")
		<-r.Context().Done()
	})
	next = newFakeBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.URL.Path == "/v1/kv/import" {
			return
		}
		startStream(w)
		sendTokens(w, requestID(r), tokens[after:], "stop")
		sendDone(w)
	})
	got := 0
	core := scriptedCore(func(event policy.Event) []policy.Action {
		switch e := event.(type) {
		case policy.Arrival:
			return []policy.Action{policy.Start{ID: e.ID, Server: "r1", Attempt: 1}}
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
	is.Equal(next.calls("/v1/kv/import")[0].body, "cache")
	var resume struct {
		RequestID   string `json:"request_id"`
		AfterTokens int    `json:"after_tokens"`
	}
	is.NoErr(json.Unmarshal([]byte(next.calls("/v1/resume")[0].body), &resume))
	is.Equal(resume.RequestID, old.calls("/v1/chat/completions")[0].id)
	is.Equal(resume.AfterTokens, after)
	waitFor(t, func() bool { return len(old.calls("/v1/cancel")) == 1 })
}

// The policy refuses a request as not run although it has been sent. The entry must
// report not_run as unknown and count the broken invariant.
func TestPolicyClaimOfNotRunNeedsProof(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend(t, func(http.ResponseWriter, *http.Request, int) { abort() })
	core := scriptedCore(func(event policy.Event) []policy.Action {
		switch e := event.(type) {
		case policy.Arrival:
			return []policy.Action{policy.Start{ID: e.ID, Server: "g1", Attempt: 1}}
		case policy.Failed:
			return []policy.Action{policy.Refuse{ID: e.ID, Kind: lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, Message: "full", NotRun: lilacv1.NotRun_NOT_RUN_TRUE}}
		}
		return nil
	})
	f := startWith(t, testSettings(), core, backend.service("g1"))
	_, body := f.post(bookingURL, booking)
	is.Equal(parseError(body), errorEvent{Type: "overloaded", NotRun: "unknown"})
	families, err := f.registry.Gather()
	is.NoErr(err)
	found := false
	for _, family := range families {
		found = found || family.GetName() == "lilacbridge_invariants_broken_total"
	}
	is.True(found)
}

// An entry is suspended while a request waits and resumed after the request's deadline.
// It must not carry out the start that the core decided on before.
func TestExpiredRequestIsNotSentAfterAFreeze(t *testing.T) {
	is := is.New(t)
	backend := newFakeBackend(t, serveBooking)
	core := scriptedCore(func(event policy.Event) []policy.Action {
		if e, ok := event.(policy.Arrival); ok {
			// Simulates the suspension: the decision arrives after the deadline, before
			// the timer has fired.
			time.Sleep(time.Until(e.Deadline))
			return []policy.Action{policy.Start{ID: e.ID, Server: "g1", Attempt: 1}}
		}
		return nil
	})
	f := startWith(t, testSettings(), core, backend.service("g1"))
	resp, body := f.post(bookingURL, booking, "X-Lilac-Deadline-Ms", "50")
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(parseError(body), errorEvent{Type: "timeout", NotRun: true})
	is.Equal(len(backend.calls("")), 0)
}

// A request has crashed two engines. Its conviction must be proposed to the replicated
// log, so that all instances learn of it, and exactly once even if the first attempt
// fails.
func TestConvictionIsProposed(t *testing.T) {
	is := is.New(t)
	f := startWith(t, testSettings(), scriptedCore(func(policy.Event) []policy.Action { return nil }))
	f.ledger.setDown(true)
	f.queueConviction(policy.Convict{Digest: "d1", Team: "coop", Servers: []string{"r1", "r2"}})
	f.ledger.setDown(false)
	waitFor(t, func() bool { return len(f.ledger.proposed()) == 1 })
	conviction := f.ledger.proposed()[0].GetChanges()[0].GetConvict()
	is.Equal(conviction.GetDigest(), "d1")
	is.Equal(conviction.GetServers(), []string{"r1", "r2"})
	is.True(conviction.GetExpiresUnixMs() > time.Now().UnixMilli())
}
