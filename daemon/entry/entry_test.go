package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/policy"
	"github.com/lilacbridge/lilacbridge/standin"
	"github.com/lilacbridge/lilacbridge/version/model"
)

var testKey = []byte("a key for tests only")

// memoryLedger is an in-memory implementation of State.
type memoryLedger struct {
	mu     sync.Mutex
	claims map[string]*lilacv1.OutcomeRequest
	digest map[string]string
	// down makes all calls fail for lack of a quorum.
	down bool
	// refused are the digests of convictions whose changes are invalid.
	refused map[string]bool
	// proposals are the accepted proposals, in order.
	proposals []*lilacv1.Proposal
}

func newLedger() *memoryLedger {
	return &memoryLedger{claims: make(map[string]*lilacv1.OutcomeRequest), digest: make(map[string]string), refused: make(map[string]bool)}
}

func (l *memoryLedger) Claim(_ context.Context, r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no quorum", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	id := r.GetTeam() + "\x00" + r.GetKey()
	first := l.claims[id]
	if first == nil || first.GetState() == lilacv1.ClaimState_CLAIM_STATE_NOT_RUN {
		l.claims[id] = &lilacv1.OutcomeRequest{Attempt: r.GetAttempt(), State: lilacv1.ClaimState_CLAIM_STATE_CLAIMED}
		l.digest[id] = string(r.GetDigest())
		return &lilacv1.ClaimReply{Granted: true}, nil
	}
	return &lilacv1.ClaimReply{State: first.GetState(), Answer: first.GetAnswer(), BodyDiffers: l.digest[id] != string(r.GetDigest())}, nil
}

func (l *memoryLedger) Outcome(_ context.Context, r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no quorum")
	}
	l.claims[r.GetTeam()+"\x00"+r.GetKey()] = r
	return &lilacv1.OutcomeReply{State: r.GetState()}, nil
}

func (l *memoryLedger) Propose(_ context.Context, p *lilacv1.Proposal) (*lilacv1.ProposeReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no quorum")
	}
	for _, change := range p.GetChanges() {
		if l.refused[change.GetLiftConviction()] || l.refused[change.GetTryConviction().GetDigest()] {
			return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, "invalid", fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
		}
	}
	l.proposals = append(l.proposals, p)
	return &lilacv1.ProposeReply{Revision: 2}, nil
}

func (l *memoryLedger) proposed() []*lilacv1.Proposal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proposals
}

func (l *memoryLedger) refuse(digest string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[digest] = true
}

func (l *memoryLedger) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *memoryLedger) state(key string) lilacv1.ClaimState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims["coop"+"\x00"+key].GetState()
}

// fixture is a running entry and the base URL of its caller interface.
type fixture struct {
	*Entry
	t      testing.TB
	url    string
	ledger *memoryLedger
}

func testSettings() *settings.Entry {
	s := &settings.Entry{}
	s.Name, s.DataCenter = "entry-1", "dakar-a"
	_ = s.Validate()
	s.Limits.ReadTimeout.Duration = 300 * time.Millisecond
	s.DrainLag.Duration = 50 * time.Millisecond
	return s
}

func start(t testing.TB, s *settings.Entry, servers ...*lilacv1.Server) *fixture {
	return startWith(t, s, nil, servers...)
}

func startWith(t testing.TB, s *settings.Entry, core policy.Core, servers ...*lilacv1.Server) *fixture {
	is := is.New(t)
	ledger := newLedger()
	e := New(Options{Settings: s, CallerKey: secret.Fixed(testKey), State: ledger, Logger: hclog.NewNullLogger(), Core: core})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := e.callerServer(listener)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.Run(ctx) })
	running.Go(func() { _ = server.Start(context.Background()) })
	t.Cleanup(func() {
		server.Close()
		cancel()
		running.Wait()
		e.Close()
	})
	if len(servers) > 0 {
		e.Configure(view(servers...))
	}
	return &fixture{Entry: e, t: t, url: "http://" + listener.Addr().String(), ledger: ledger}
}

func view(servers ...*lilacv1.Server) *model.View {
	return model.NewView(&lilacv1.Snapshot{
		Revision: 1, Servers: servers,
		Classes: []*lilacv1.Class{{Name: "default", Tier: 1, FirstTokenMs: 5000}, {Name: "urgent", FirstTokenMs: 420}},
		Teams:   []*lilacv1.Team{{Name: "coop"}},
	})
}

// engineServer starts a simulated engine.
func engineServer(t *testing.T, name string) *lilacv1.Server {
	engine := standin.NewEngine(standin.EngineConfig{Models: []string{"redaction"}, Slots: 8, MaxWaiting: 64, CacheBlocks: 64, KVWords: 4096, ResumeWindow: 10 * time.Second, FirstToken: time.Millisecond, PerToken: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	go engine.Run(ctx)
	server := khttp.NewServer(khttp.Timeout(0))
	engine.Routes(server)
	http := httptest.NewServer(server)
	t.Cleanup(func() { http.CloseClientConnections(); http.Close(); cancel() })
	return engineAt(name, http.URL)
}

func engineAt(name, url string) *lilacv1.Server {
	return &lilacv1.Server{Name: name, Address: strings.TrimPrefix(url, "http://"), DataCenter: "dakar-a", Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, Serves: []string{"redaction"}}
}

func (f *fixture) post(path, body string, headers ...string) (*http.Response, string) {
	return f.send(http.MethodPost, path, body, headers...)
}

func (f *fixture) send(method, path, body string, headers ...string) (*http.Response, string) {
	resp, text, _ := f.receive(method, path, body, headers...)
	return resp, text
}

// receive is like send and also returns the error at which reading the answer ended.
func (f *fixture) receive(method, path, body string, headers ...string) (*http.Response, string, error) {
	is := is.New(f.t)
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+secret.CallerToken(testKey, "coop"))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func (f *fixture) token() string { return secret.CallerToken(testKey, "coop") }

func words(n int) string { return strings.TrimSpace(strings.Repeat("appel ", n)) }

// wholeAnswer is the answer of a simulated engine to the prompt.
func wholeAnswer(content string) string {
	return strings.Join(standin.Answer("redaction", []standin.Message{{Role: "user", Content: standin.Content(content)}}, 0), "")
}

// An unmodified OpenAI client streams an answer through an entry. It must get each
// token, the usage and a regular end; non-streaming calls and the model list must work
// as well.
func TestUnmodifiedOpenAIClientStreams(t *testing.T) {
	is := is.New(t)
	f := start(t, testSettings(), engineServer(t, "r1"))
	client := openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(secret.CallerToken(testKey, "coop")), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:         "redaction",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("résume " + words(20))},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	gathered := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		is.True(gathered.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	want := wholeAnswer("résume " + words(20))
	is.Equal(gathered.Choices[0].Message.Content, want)
	is.Equal(gathered.Choices[0].FinishReason, "stop")
	is.Equal(gathered.Usage.PromptTokens, int64(21))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	answer, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(answer.Choices[0].Message.Content, want)
	is.Equal(answer.Usage.CompletionTokens, gathered.Usage.CompletionTokens)

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, "redaction")
}
