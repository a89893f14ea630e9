package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/matryer/is"
)

type testEngine struct {
	*is.I
	url    string
	engine *Engine
	crash  chan struct{}
}

func newTestEngine(t *testing.T, change func(*EngineConfig)) *testEngine {
	b := &testEngine{I: is.New(t), crash: make(chan struct{}, 1)}
	config := EngineConfig{
		Models: []string{"m"}, Slots: 4, MaxWaiting: 8, FirstToken: time.Millisecond, PerToken: time.Millisecond,
		CacheBlocks: 64, KVWords: 1000, ResumeWindow: time.Minute,
		Crash: func() {
			select {
			case b.crash <- struct{}{}:
			default:
			}
		},
	}
	if change != nil {
		change(&config)
	}
	b.engine = NewEngine(config)
	b.url = listen(t, b.engine.Routes)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go b.engine.Run(ctx)
	return b
}

func listen(t *testing.T, routes func(*khttp.Server)) string {
	server := khttp.NewServer(khttp.Timeout(0))
	routes(server)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return listener.URL
}

func (b *testEngine) post(path, id string, body any) *http.Response {
	data, ok := body.([]byte)
	if !ok {
		var err error
		data, err = json.Marshal(body)
		b.NoErr(err)
	}
	request, err := http.NewRequest(http.MethodPost, b.url+path, bytes.NewReader(data))
	b.NoErr(err)
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	b.NoErr(err)
	return response
}

// tokens reads a stream and reports whether it ended with [DONE].
func tokens(r io.Reader) (all []string, done bool) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return all, true
		}
		var chunk completion
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			all = append(all, chunk.Choices[0].Delta.Content)
		}
	}
	return all, false
}

func chatBody(text string, stream bool) map[string]any {
	return map[string]any{"model": "m", "stream": stream, "messages": []Message{{Role: "user", Content: Content(text)}}}
}

func expectedTokens(text string) []string {
	return Answer("m", []Message{{Role: "user", Content: Content(text)}}, 0)
}

func TestEngineStreamsExpectedAnswer(t *testing.T) {
	long := "median=60 tell all"
	want := expectedTokens(long)
	prefix := Message{Role: "assistant", Content: Content(strings.Join(want[:7], ""))}
	cases := []struct {
		name string
		body map[string]any
		want []string
	}{
		{"whole answer", chatBody(long, true), want},
		{"another answer", chatBody("median=5 other", true), expectedTokens("median=5 other")},
		{"bounded", map[string]any{"model": "m", "stream": true, "max_tokens": 3, "messages": []Message{{Role: "user", Content: Content(long)}}}, want[:3]},
		{"continued", map[string]any{"model": "m", "stream": true, "continue_final_message": true, "add_generation_prompt": false,
			"messages": []Message{{Role: "user", Content: Content(long)}, prefix}}, want[7:]},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestEngine(t, nil)
			response := b.post("/v1/chat/completions", fmt.Sprint(i), c.body)
			defer response.Body.Close()
			got, done := tokens(response.Body)
			b.True(done)
			b.Equal(got, c.want)
		})
	}
}

func TestEngineAnswerWithoutStream(t *testing.T) {
	b := newTestEngine(t, nil)
	response := b.post("/v1/chat/completions", "1", chatBody("median=9 say", false))
	defer response.Body.Close()
	var got completion
	b.NoErr(json.NewDecoder(response.Body).Decode(&got))
	b.Equal(got.Choices[0].Message.Content, strings.Join(expectedTokens("median=9 say"), ""))
	b.Equal(*got.Choices[0].FinishReason, "stop")
}

// Guards against lost or repeated tokens on resumption: the connection breaks in the middle
// of an answer while the engine keeps generating, and the reader resumes under the same id.
func TestEngineResumesBrokenStream(t *testing.T) {
	b := newTestEngine(t, nil)
	b.post("/fault", "", Fault{BreakAfter: 4}).Body.Close()
	response := b.post("/v1/chat/completions", "r1-1", chatBody("median=40 go on", true))
	first, done := tokens(response.Body)
	response.Body.Close()
	b.True(!done)
	b.True(len(first) <= 4)
	b.post("/fault", "", Fault{}).Body.Close()
	response = b.post("/v1/resume", "", requestRef{RequestID: "r1-1", AfterTokens: len(first)})
	defer response.Body.Close()
	rest, done := tokens(response.Body)
	b.True(done)
	b.Equal(append(first, rest...), expectedTokens("median=40 go on"))
}

// Guards against tokens that are generated twice when an unfinished answer is transferred
// from a draining engine to another one.
func TestEngineTransfersUnfinishedAnswer(t *testing.T) {
	from := newTestEngine(t, func(c *EngineConfig) { c.PerToken = 5 * time.Millisecond })
	to := newTestEngine(t, nil)
	response := from.post("/v1/chat/completions", "r2-1", chatBody("median=80 move", true))
	first := make([]byte, 1)
	_, err := response.Body.Read(first)
	from.NoErr(err)
	exportReply := from.post("/v1/kv/export", "", requestRef{RequestID: "r2-1"})
	kv, err := io.ReadAll(exportReply.Body)
	from.NoErr(err)
	exportReply.Body.Close()
	from.Equal(exportReply.StatusCode, http.StatusOK)
	_, done := tokens(response.Body)
	response.Body.Close()
	from.True(!done) // the stream of the old engine must not look complete

	to.post("/v1/kv/import", "", kv).Body.Close()
	response = to.post("/v1/resume", "", requestRef{RequestID: "r2-1"})
	defer response.Body.Close()
	got, done := tokens(response.Body)
	to.True(done)
	to.Equal(got, expectedTokens("median=80 move"))
	total := from.engine.stats.TokensGenerated + to.engine.stats.TokensGenerated
	to.Equal(total, len(got))
}

func TestEngineCancelFreesSlot(t *testing.T) {
	b := newTestEngine(t, func(c *EngineConfig) { c.Slots, c.PerToken = 1, 20*time.Millisecond })
	long := b.post("/v1/chat/completions", "long-1", chatBody("median=500 long", true))
	defer long.Body.Close()
	b.post("/v1/cancel", "", requestRef{RequestID: "long-1"}).Body.Close()
	short := b.post("/v1/chat/completions", "short-1", chatBody("median=1 short", true))
	defer short.Body.Close()
	_, done := tokens(short.Body)
	b.True(done)
	_, done = tokens(long.Body)
	b.True(!done)
}

func TestEngineAdmitsByPriority(t *testing.T) {
	i := is.New(t)
	engine := NewEngine(EngineConfig{Slots: 1, MaxWaiting: 8, CacheBlocks: 8, ResumeWindow: time.Minute})
	for n, priority := range []int{3, 1, 0, 1} {
		i.True(engine.submit(&sequence{id: fmt.Sprint(n), priority: priority, tokens: []string{"a"}}))
	}
	var order []string
	for range 4 {
		order = append(order, engine.takeMostUrgent().id)
	}
	i.Equal(order, []string{"2", "1", "3", "0"})
}

func TestEngineFaults(t *testing.T) {
	t.Run("refuse", func(t *testing.T) {
		b := newTestEngine(t, nil)
		b.post("/fault", "", Fault{Refuse: true}).Body.Close()
		response := b.post("/v1/chat/completions", "1", chatBody("no", true))
		response.Body.Close()
		b.Equal(response.StatusCode, http.StatusTooManyRequests)
		b.Equal(response.Header.Get("Retry-After"), "1")
	})
	t.Run("crash word", func(t *testing.T) {
		b := newTestEngine(t, nil)
		b.post("/fault", "", Fault{CrashWord: "poison"}).Body.Close()
		body, err := json.Marshal(chatBody("take poison now", true))
		b.NoErr(err)
		go func() {
			response, err := http.Post(b.url+"/v1/chat/completions", "application/json", bytes.NewReader(body))
			if err == nil {
				response.Body.Close()
			}
		}()
		<-b.crash
	})
	t.Run("unknown field", func(t *testing.T) {
		b := newTestEngine(t, nil)
		response := b.post("/fault", "", map[string]any{"explode": true})
		response.Body.Close()
		b.Equal(response.StatusCode, http.StatusBadRequest)
	})
}

func TestEngineOrdersByFencingNumber(t *testing.T) {
	for _, c := range []struct {
		name   string
		ignore bool
		status int
		models []string
	}{
		{"refuses an outdated number", false, http.StatusConflict, []string{"m", "b"}},
		{"ignores the number", true, http.StatusOK, []string{"m"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestEngine(t, func(config *EngineConfig) { config.IgnoreFencing = c.ignore })
			b.post("/orders", "", Order{Kind: "load", Model: "b", Fencing: 5}).Body.Close()
			response := b.post("/orders", "", Order{Kind: "unload", Model: "b", Fencing: 4})
			response.Body.Close()
			b.Equal(response.StatusCode, c.status)
			b.Equal(b.engine.orders.loaded.Models, c.models)
		})
	}
}

func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	i := is.New(t)
	start := time.Unix(100, 0)
	c := newCache(2, 2)
	i.Equal(c.insert([]uint64{1, 2}, start), 0)
	i.Equal(c.insert([]uint64{1, 2, 3}, start.Add(time.Second)), 2*blockWords) // event 2 is lost
	i.Equal(c.insert([]uint64{9}, start.Add(2*time.Second)), 0)
	i.Equal(len(c.since(0, start.Add(-time.Second))), 0)
	events := c.since(0, start.Add(time.Minute))
	i.Equal(len(events), 2)
	i.Equal([]uint64{events[0].Sequence, events[1].Sequence}, []uint64{1, 3})
}

func TestLoadReportIsDelayed(t *testing.T) {
	i := is.New(t)
	engine := NewEngine(EngineConfig{Slots: 1, MaxWaiting: 8, ReportLag: time.Second, ResumeWindow: time.Minute})
	start := time.Unix(100, 0)
	i.Equal(engine.report(start).Waiting, 0)
	i.True(engine.submit(&sequence{id: "1", tokens: []string{"a"}}))
	i.Equal(engine.report(start.Add(500*time.Millisecond)).Waiting, 0)
	i.Equal(engine.report(start.Add(1600*time.Millisecond)).Waiting, 1)
}
