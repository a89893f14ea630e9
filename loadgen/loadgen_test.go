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

func planOf(t *testing.T, text string) *Plan {
	plan := &Plan{}
	is.New(t).NoErr(settings.Parse("load.yaml", []byte(text), plan))
	return plan
}

func flat(requests []*Request) string {
	var out strings.Builder
	for _, r := range requests {
		fmt.Fprintln(&out, r.Ref, r.At, r.Team, r.Stream, r.Key, r.Sends, r.CancelAfter, r.Text)
	}
	return out.String()
}

func TestSameSeedSameArrivals(t *testing.T) {
	i := is.New(t)
	first := Arrivals(planOf(t, planText), 7)
	again := Arrivals(planOf(t, planText), 7)
	i.Equal(flat(first), flat(again))
	other := planOf(t, planText)
	other.Seed = 2
	i.True(flat(first) != flat(Arrivals(other, 7)))
}

func TestArrivalsKeepTheRatesOfThePlan(t *testing.T) {
	i := is.New(t)
	inBurst, outside, large := 0, 0, 0
	for _, r := range Arrivals(planOf(t, planText), 7) {
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

func TestPlanIsReadStrictly(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown field", "duration: 5s\nrat: 4\n", "load.yaml:2: field rat not found"},
		{"no unit", "duration: 5\n", "load.yaml:1: \"5\" is not a duration"},
		{"no teams", "duration: 5s\n", "load.yaml:1: teams: missing"},
		{"wrong kind", "duration: 5s\nteams: [{name: a}]\nflows: [{class: c, target: t, rate: 1, kind: mail}]\n", "kind is \"mail\""},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			err := settings.Parse("load.yaml", []byte(c.text), &Plan{})
			i.True(err != nil)
			i.True(strings.Contains(err.Error(), c.want))
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

func answerWith(t *testing.T, r *Request, status int, contentType, body string) *Outcome {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	caller := NewCaller([]string{server.URL}, func(string) string { return "t" })
	return caller.Do(context.Background(), r, r.Sends[0])
}

// A caller gets a stream that looks like an answer. The checker must tell the
// request's own whole answer from every other: swapped with another caller's,
// cut short, a token doubled or lost, ended without its mark.
func TestCheckerOfStreams(t *testing.T) {
	r := chatRequest(true)
	own := strings.SplitAfter(want(r), " ")
	swapped := chatRequest(true)
	swapped.Text = "median=12 ref:r2"
	other := strings.SplitAfter(want(swapped), " ")
	const broken = "data: {\"error\":{\"type\":\"broken_stream\",\"not_run\":false}}\n\n"
	for _, c := range []struct {
		name, body, kind, problem string
	}{
		{"own", events(own, doneEvent), "", ""},
		{"swapped", events(other, doneEvent), "", "not this request's own"},
		{"cut", events(own[:3], doneEvent), "", "looks whole and is cut"},
		{"empty", doneEvent, "", "looks whole and is cut"},
		{"token doubled", events(slices.Concat(own[:2], own[1:]), doneEvent), "", "not this request's own"},
		{"token lost", events(slices.Delete(slices.Clone(own), 1, 2), doneEvent), "", "not this request's own"},
		{"goes on", events(append(slices.Clone(own), " x"), doneEvent), "", "goes on after its end"},
		{"no mark", events(own, ""), KindCut, "ends without [DONE]"},
		{"typed error", events(own[:3], broken), "broken_stream", ""},
		{"typed error after another's part", events(other[:3], broken), "broken_stream", "not this request's own"},
		{"error and mark", events(own[:3], broken+doneEvent), "broken_stream", "with an error and with [DONE]"},
		{"untyped error", "data: {\"error\":{\"message\":\"oh\"}}\n\n", "", "error is not typed"},
		{"no JSON", "data: oh\n\n", "", "event is no chunk"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			o := answerWith(t, r, http.StatusOK, "text/event-stream", c.body)
			i.Equal(o.Kind, c.kind)
			i.True(strings.Contains(o.Problem, c.problem))
			i.Equal(o.Problem == "", c.problem == "")
			i.Equal(o.Whole(), c.name == "own")
		})
	}
}

func TestCheckerOfWholeAnswers(t *testing.T) {
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
		{"chat", chat, 200, completion(want(chat)), "", ""},
		{"chat cut", chat, 200, completion(want(chat)[:9]), "", "looks whole and is cut"},
		{"service", service, 200, want(service), "", ""},
		{"service swapped", service, 200, "{}", "", "not this request's own"},
		{"refused", chat, 429, `{"error":{"type":"overloaded","not_run":true,"retry_after_ms":40}}`, "overloaded", ""},
		{"refused without type", chat, 503, `gone`, "status_503", "not typed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			o := answerWith(t, c.request, c.status, "application/json", c.body)
			i.Equal(o.Kind, c.kind)
			i.True(strings.Contains(o.Problem, c.problem))
			i.Equal(o.Problem == "", c.problem == "")
		})
	}
}

func outcomeOf(key, kind, notRun string) *Outcome {
	r := chatRequest(false)
	r.Key = key
	return &Outcome{Request: r, Kind: kind, NotRun: notRun, FirstToken: time.Millisecond}
}

// A registration ran twice, or ran although its caller was told that it did
// not: the answers look right, only the servers' own counts show it.
func TestJudgeHoldsAnswersAgainstRuns(t *testing.T) {
	for _, c := range []struct {
		name               string
		outcomes           []*Outcome
		runs               int
		double, falsePromo int
	}{
		{"ran once", []*Outcome{outcomeOf("k", "", "")}, 1, 0, 0},
		{"ran twice", []*Outcome{outcomeOf("k", "", "")}, 2, 1, 0},
		{"twice without key", []*Outcome{outcomeOf("", "", "")}, 2, 0, 0},
		{"refused and not run", []*Outcome{outcomeOf("k", "overloaded", "true")}, 0, 0, 0},
		{"refused and ran", []*Outcome{outcomeOf("k", "overloaded", "true")}, 1, 0, 1},
		{"unknown and ran", []*Outcome{outcomeOf("k", "outcome_unknown", "unknown")}, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			report := Judge(planOf(t, planText), Targets{}, c.outcomes, Counts{Runs: map[string]int{"r1": c.runs}})
			i.Equal(len(report.DoubleRuns), c.double)
			i.Equal(len(report.FalseNotRun), c.falsePromo)
			i.Equal(report.Broken() > 0, c.double+c.falsePromo > 0)
		})
	}
}

func TestAttainmentNeedsBothTargets(t *testing.T) {
	i := is.New(t)
	target := Target{FirstToken: 100 * time.Millisecond, BetweenTokens: 10 * time.Millisecond}
	gaps := slices.Repeat([]time.Duration{5 * time.Millisecond}, 95)
	slow := slices.Repeat([]time.Duration{20 * time.Millisecond}, 5)
	i.True((&Outcome{Streamed: true, FirstToken: 100 * time.Millisecond, Gaps: slices.Concat(gaps, slow)}).Met(target))
	i.True(!(&Outcome{Streamed: true, FirstToken: 100 * time.Millisecond, Gaps: slices.Concat(gaps[1:], slow, slow[:1])}).Met(target))
	i.True(!(&Outcome{FirstToken: 101 * time.Millisecond}).Met(target))
	i.True(!(&Outcome{Kind: "overloaded"}).Met(target))
	i.True((&Outcome{FirstToken: 190 * time.Millisecond, Tokens: 10}).Met(target)) // not streamed: 100 + 9 x 10
	i.True(!(&Outcome{FirstToken: 191 * time.Millisecond, Tokens: 10}).Met(target))
}

func TestCallerTriesTheNextEntryOnlyWhereNothingRan(t *testing.T) {
	i := is.New(t)
	draining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"type":"draining","not_run":true}}`)
	}))
	defer draining.Close()
	r := chatRequest(false)
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"choices": []any{map[string]any{"message": map[string]string{"content": want(r)}}}})
	}))
	defer good.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	caller := NewCaller([]string{dead.URL, draining.URL, good.URL}, func(string) string { return "t" })
	o := caller.Do(context.Background(), r, Send{})
	i.True(o.Whole())
	i.Equal(o.Moved, 2)
}

// In a run with killed servers the sums after it are below those before; the
// table then showed more tokens made than the engines could make.
func TestCountsAreTakenServerByServer(t *testing.T) {
	i := is.New(t)
	before := Snapshot{
		"stays":     {TokensMade: 100, Runs: map[string]int{"a": 1}},
		"restarted": {TokensMade: 500, Runs: map[string]int{"b": 3}},
		"killed":    {TokensMade: 900},
	}
	after := Snapshot{
		"stays":     {TokensMade: 130, Runs: map[string]int{"a": 1, "c": 1}},
		"restarted": {TokensMade: 20, Runs: map[string]int{"b": 1}},
		"killed":    nil,
	}
	counts := after.Since(before)
	i.Equal(counts.TokensMade, 50)
	i.Equal(counts.Runs, map[string]int{"b": 1, "c": 1})
	i.Equal(counts.Silent, []string{"killed"})
}
