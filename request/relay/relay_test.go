package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/caller"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// A process is frozen with a pending decision and resumed after the deadline, before the timer
// of the request's context fires. The decision must not be executed, and the request provably
// did not run.
func TestDecisionOlderThanTheDeadlineIsDropped(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	req := newRequest(&caller.Meta{Deadline: time.Now().Add(-time.Second)})
	req.actions <- policy.Start{Attempt: 1}
	_, err := r.wait(context.Background(), req)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT))
	is.Equal(fault.NotRunOf(err), lilacv1.NotRun_NOT_RUN_TRUE)
}

func TestSpliceReplacesOnlyTopLevelValues(t *testing.T) {
	cases := map[string]string{
		`{"id":"a","created":5,"x":{"id":"keep","created":6}}`: `{"id":"new","created":9,"x":{"id":"keep","created":6}}`,
		`{"x":"\"id\":\"a\"","id" : "b\"c"}`:                   `{"x":"\"id\":\"a\"","id" : "new"}`,
		`{"choices":[{"id":"keep"}],"id":null}`:                `{"choices":[{"id":"keep"}],"id":null}`,
		`{"value":"id","created":12}`:                          `{"value":"id","created":9}`,
		`{"id`:                                                 `{"id`,
		`{"id":`:                                               `{"id":`,
	}
	for from, want := range cases {
		is.New(t).Equal(string(splice(nil, []byte(from), "new", 9)), want)
	}
}

func TestEngineBodyContinuesAPartialAnswer(t *testing.T) {
	is := is.New(t)
	q := &caller.Chat{ChatFields: caller.ChatFields{
		Stream: true, MaxTokens: 10, ContinueFinal: true,
		Messages: []caller.Message{{Role: "user", Content: "a"}, {Role: "assistant", Content: "b "}},
	}}
	q.Body = []byte(`{"model":"m","max_tokens":10,"temperature":0.5,"stream":true,"messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b "}]}`)
	body, err := engineBody(q, "c d", 2)
	is.NoErr(err)
	is.Equal(string(body), `{"add_generation_prompt":false,"continue_final_message":true,"max_tokens":8,"messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b c d"}],"model":"m","stream":true,"temperature":0.5}`)
	same, err := engineBody(q, "", 0)
	is.NoErr(err)
	is.Equal(string(same), string(q.Body))
}

// The lines of requests lost with a crashing server must show which parts their prompts share.
func TestLoggedPartsLeaveOutTheRequestsOwn(t *testing.T) {
	is := is.New(t)
	var parts []gateway.PromptPart
	for id := range uint64(12) {
		parts = append(parts, gateway.PromptPart{ID: 0xa0 + id, Tokens: 10})
	}
	is.Equal(partList(sharedParts(parts[:3])), "a0,a1")
	is.Equal(partList(sharedParts(parts[:1])), "")
	is.Equal(partList(sharedParts(parts)), "a0,a1,a2,a3,a4,a5,a6,a7")
}
