package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

const planText = `
duration: 5s
teams:
  - {name: large, share: 8}
  - {name: small}
flows:
  - {class: alerts, kind: chat, target: m, rate: 40, stream_share: 0.5, shared_words: 4, own_words: 3, bursts: [{from: 2s, to: 3s, factor: 3}]}
  - {class: registration, kind: service, target: desk, path: /registrations, rate: 20, keyed_share: 1, resend_share: 0.5}
`

func parsePlan(t *testing.T, text string) *Plan {
	plan := &Plan{}
	is.New(t).NoErr(settings.Parse("load.yaml", []byte(text), plan))
	return plan
}

func dump(requests []*Request) string {
	var out strings.Builder
	for _, r := range requests {
		fmt.Fprintln(&out, r.Ref, r.At, r.Team, r.Stream, r.Key, r.Sends, r.CancelAfter, r.Text)
	}
	return out.String()
}

func TestArrivalsAreReproducible(t *testing.T) {
	i := is.New(t)
	first := Arrivals(parsePlan(t, planText), 7)
	again := Arrivals(parsePlan(t, planText), 7)
	i.Equal(dump(first), dump(again))
	otherTokens := parsePlan(t, planText)
	otherTokens.Seed = 2
	i.True(dump(first) != dump(Arrivals(otherTokens, 7)))
}

func TestArrivalRatesMatchPlan(t *testing.T) {
	i := is.New(t)
	inBurst, outside, large := 0, 0, 0
	for _, r := range Arrivals(parsePlan(t, planText), 7) {
		if r.Team == "large" {
			large++
		}
		if r.Flow.Class != "alerts" {
			continue
		}
		if r.At >= 2*time.Second && r.At < 3*time.Second {
			inBurst++
		} else {
			outside++
		}
	}
	i.True(inBurst > 90 && inBurst < 150)  // 120 on average
	i.True(outside > 125 && outside < 195) // 160 on average
	i.True(large > 280 && large < 380)     // 8 of 9 of 380
}

func TestInvalidPlanIsRejected(t *testing.T) {
	for _, c := range []struct{ name, text, expectedAnswer string }{
		{"unknown field", "duration: 5s\nrat: 4\n", "load.yaml:2: field rat not found"},
		{"no unit", "duration: 5\n", "load.yaml:1: \"5\" is not a duration"},
		{"no teams", "duration: 5s\n", "load.yaml:1: teams: missing"},
		{"wrong kind", "duration: 5s\nteams: [{name: a}]\nflows: [{class: c, target: t, rate: 1, kind: mail}]\n", "kind is \"mail\""},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			err := settings.Parse("load.yaml", []byte(c.text), &Plan{})
			i.True(err != nil)
			i.True(strings.Contains(err.Error(), c.expectedAnswer))
		})
	}
}

func chatRequest(stream bool) *Request {
	return &Request{Ref: "r1", Flow: &Flow{Kind: KindChat, Class: "alerts", Target: "m"}, Stream: stream, Text: "median=12 ref:r1", Sends: []Send{{}}}
}

func events(tokens []string, tail string) string {
	var out strings.Builder
	for _, token := range tokens {
		data, _ := json.Marshal(token)
		fmt.Fprintf(&out, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", data)
	}
	return out.String() + tail
}

const doneEvent = "data: [DONE]\n\n"

func serveAnswer(t *testing.T, r *Request, status int, contentType, body string) *Outcome {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	caller := NewCaller([]string{server.URL}, func(string) string { return "t" })
	return caller.Do(context.Background(), r, r.Sends[0])
}

// Guards against accepting an incorrect stream: the answer to another request, a truncated
// one, one with a duplicated or lost token, or one without the end marker.
func TestStreamVerification(t *testing.T) {
	r := chatRequest(true)
	ownTokens := strings.SplitAfter(expectedAnswer(r), " ")
	swapped := chatRequest(true)
	swapped.Text = "median=12 ref:r2"
	otherTokens := strings.SplitAfter(expectedAnswer(swapped), " ")
	const broken = "data: {\"error\":{\"type\":\"broken_stream\",\"not_run\":false}}\n\n"
	for _, c := range []struct {
		name, body, kind, problem string
	}{
		{"own", events(ownTokens, doneEvent), "", ""},
		{"swapped", events(otherTokens, doneEvent), "", "does not belong to this request"},
		{"cut", events(ownTokens[:3], doneEvent), "", "looks complete but is truncated"},
		{"empty", doneEvent, "", "looks complete but is truncated"},
		{"token duplicated", events(slices.Concat(ownTokens[:2], ownTokens[1:]), doneEvent), "", "does not belong to this request"},
		{"token lost", events(slices.Delete(slices.Clone(ownTokens), 1, 2), doneEvent), "", "does not belong to this request"},
		{"continues after end", events(append(slices.Clone(ownTokens), " x"), doneEvent), "", "continues after its end"},
		{"no end marker", events(ownTokens, ""), KindInterrupted, "ends without [DONE]"},
		{"typed error", events(ownTokens[:3], broken), "broken_stream", ""},
		{"typed error after part of another answer", events(otherTokens[:3], broken), "broken_stream", "does not belong to this request"},
		{"error and end marker", events(ownTokens[:3], broken+doneEvent), "broken_stream", "with an error and with [DONE]"},
		{"untyped error", "data: {\"error\":{\"message\":\"oh\"}}\n\n", "", "error has no type"},
		{"not JSON", "data: oh\n\n", "", "event is not a chunk"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			o := serveAnswer(t, r, http.StatusOK, "text/event-stream", c.body)
			i.Equal(o.Kind, c.kind)
			i.True(strings.Contains(o.Problem, c.problem))
			i.Equal(o.Problem == "", c.problem == "")
			i.Equal(o.Complete(), c.name == "own")
		})
	}
}

func TestAnswerVerification(t *testing.T) {
	chat, service := chatRequest(false), &Request{Ref: "r1", Flow: &Flow{Kind: KindService, Target: "desk", Path: "/a"}, Text: "ref:r1", Sends: []Send{{}}}
	completion := func(text string) string {
		data, _ := json.Marshal(text)
		return fmt.Sprintf(`{"choices":[{"message":{"content":%s}}]}`, data)
	}
	for _, c := range []struct {
		name    string
		request *Request
		status  int
		body    string
		kind    string
		problem string
	}{
		{"chat", chat, 200, completion(expectedAnswer(chat)), "", ""},
		{"chat truncated", chat, 200, completion(expectedAnswer(chat)[:9]), "", "looks complete but is truncated"},
		{"service", service, 200, expectedAnswer(service), "", ""},
		{"service swapped", service, 200, "{}", "", "does not belong to this request"},
		{"refused", chat, 429, `{"error":{"type":"overloaded","not_run":true,"retry_after_ms":40}}`, "overloaded", ""},
		{"refused without type", chat, 503, `gone`, "status_503", "has no type"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			o := serveAnswer(t, c.request, c.status, "application/json", c.body)
			i.Equal(o.Kind, c.kind)
			i.True(strings.Contains(o.Problem, c.problem))
			i.Equal(o.Problem == "", c.problem == "")
		})
	}
}

func newOutcome(key, kind, notRun string) *Outcome {
	r := chatRequest(false)
	r.Key = key
	return &Outcome{Request: r, Kind: kind, NotRun: notRun, FirstToken: time.Millisecond}
}

// Guards against overlooking a request that ran twice, or that ran although its caller was
// told otherwise: the answers look correct, only the counts of the servers show it.
func TestEvaluateComparesAnswersWithRuns(t *testing.T) {
	for _, c := range []struct {
		name                    string
		outcomes                []*Outcome
		runs                    int
		doubleRuns, falseNotRun int
	}{
		{"ran once", []*Outcome{newOutcome("k", "", "")}, 1, 0, 0},
		{"ran twice", []*Outcome{newOutcome("k", "", "")}, 2, 1, 0},
		{"twice without key", []*Outcome{newOutcome("", "", "")}, 2, 0, 0},
		{"refused and not run", []*Outcome{newOutcome("k", "overloaded", "true")}, 0, 0, 0},
		{"refused and ran", []*Outcome{newOutcome("k", "overloaded", "true")}, 1, 0, 1},
		{"unknown and ran", []*Outcome{newOutcome("k", "outcome_unknown", "unknown")}, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			report := Evaluate(parsePlan(t, planText), Targets{}, c.outcomes, Counts{Runs: map[string]int{"r1": c.runs}})
			i.Equal(len(report.DoubleRuns), c.doubleRuns)
			i.Equal(len(report.FalseNotRun), c.falseNotRun)
			i.Equal(report.Violations() > 0, c.doubleRuns+c.falseNotRun > 0)
		})
	}
}

func TestAttainmentRequiresBothTargets(t *testing.T) {
	i := is.New(t)
	target := Target{FirstToken: 100 * time.Millisecond, BetweenTokens: 10 * time.Millisecond}
	gaps := slices.Repeat([]time.Duration{5 * time.Millisecond}, 95)
	slow := slices.Repeat([]time.Duration{20 * time.Millisecond}, 5)
	i.True((&Outcome{Streamed: true, FirstToken: 100 * time.Millisecond, Gaps: slices.Concat(gaps, slow)}).MeetsTargets(target))
	i.True(!(&Outcome{Streamed: true, FirstToken: 100 * time.Millisecond, Gaps: slices.Concat(gaps[1:], slow, slow[:1])}).MeetsTargets(target))
	i.True(!(&Outcome{FirstToken: 101 * time.Millisecond}).MeetsTargets(target))
	i.True(!(&Outcome{Kind: "overloaded"}).MeetsTargets(target))
	i.True((&Outcome{FirstToken: 190 * time.Millisecond, Tokens: 10}).MeetsTargets(target)) // not streamed: 100 + 9 x 10
	i.True(!(&Outcome{FirstToken: 191 * time.Millisecond, Tokens: 10}).MeetsTargets(target))
}

func TestCallerFailsOverIfNothingRan(t *testing.T) {
	i := is.New(t)
	draining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"type":"draining","not_run":true}}`)
	}))
	defer draining.Close()
	r := chatRequest(false)
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": expectedAnswer(r)}}}})
	}))
	defer good.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	caller := NewCaller([]string{dead.URL, draining.URL, good.URL}, func(string) string { return "t" })
	o := caller.Do(context.Background(), r, Send{})
	i.True(o.Complete())
	i.Equal(o.Failovers, 2)
}

// Guards against wrong totals after servers are killed during a run: their counters restart
// at zero or are missing, so that differences must be taken for each server.
func TestCountsAreComparedByServer(t *testing.T) {
	i := is.New(t)
	before := Snapshot{
		"stays":     {TokensGenerated: 100, Runs: map[string]int{"a": 1}},
		"restarted": {TokensGenerated: 500, Runs: map[string]int{"b": 3}},
		"killed":    {TokensGenerated: 900},
	}
	after := Snapshot{
		"stays":     {TokensGenerated: 130, Runs: map[string]int{"a": 1, "c": 1}},
		"restarted": {TokensGenerated: 20, Runs: map[string]int{"b": 1}},
		"killed":    nil,
	}
	counts := after.Since(before)
	i.Equal(counts.TokensGenerated, 50)
	i.Equal(counts.Runs, map[string]int{"b": 1, "c": 1})
	i.Equal(counts.Unreachable, []string{"killed"})
}
