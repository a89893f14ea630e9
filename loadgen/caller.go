package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Caller sends requests to a fleet's entries like a caller behind a load balancer. It is
// safe for concurrent use.
type Caller struct {
	// Entries are base URLs.
	Entries []string
	// Token returns the bearer token of a team.
	Token  func(team string) string
	Client *http.Client

	mu sync.Mutex
	// unavailable holds until when an entry is skipped. Guarded by mu.
	unavailable map[int]time.Time
}

// unavailableFor is how long an entry is skipped after it refused a connection, or a request
// because it was draining.
const unavailableFor = time.Second

// NewCaller returns a Caller that opens a connection for each request.
func NewCaller(entries []string, token func(string) string) *Caller {
	transport := &http.Transport{
		// An entry that shuts down closes idle connections. A request written to one at
		// that moment gets no answer, which would count as an interrupted one.
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}
	return &Caller{Entries: entries, Token: token, Client: &http.Client{Transport: transport}, unavailable: make(map[int]time.Time)}
}

// Do sends the request. If an entry refuses the connection, or the request because it is
// draining, nothing ran there and the next entry is tried.
func (c *Caller) Do(ctx context.Context, r *Request, send Send) *Outcome {
	o := &Outcome{}
	for offset := range len(c.Entries) {
		entry := (send.Entry + offset) % len(c.Entries)
		if offset < len(c.Entries)-1 && c.isUnavailable(entry) {
			continue
		}
		o = c.attempt(ctx, r, c.Entries[entry])
		o.Failovers = offset
		draining := o.Kind == "draining" && o.NotRun == "true" && o.Tokens == 0
		if o.Kind != KindConnect && !draining {
			return o
		}
		c.markUnavailable(entry)
	}
	return o
}

func (c *Caller) isUnavailable(entry int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unavailable[entry])
}

func (c *Caller) markUnavailable(entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable[entry] = time.Now().Add(unavailableFor)
}

// streamContext is the context of a load run with a function that disconnects one call.
type streamContext struct {
	context.Context
	disconnect context.CancelFunc
}

func (c *Caller) attempt(ctx context.Context, r *Request, base string) *Outcome {
	call, disconnect := context.WithCancel(ctx)
	defer disconnect()
	o := &Outcome{Request: r}
	start := time.Now()
	defer func() { o.Total = time.Since(start) }()
	request, err := c.newRequest(call, r, base)
	if err != nil {
		o.Problem = err.Error()
		return o
	}
	response, err := c.Client.Do(request)
	if err != nil {
		o.Kind = transportErrorKind(ctx, err)
		return o
	}
	defer response.Body.Close()
	o.Status = response.StatusCode
	o.RequestID = response.Header.Get("X-Request-Id")
	o.Instance = response.Header.Get("X-Lilac-Instance")
	o.Server = response.Header.Get("X-Lilac-Server")
	if r.Stream && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		readStream(&streamContext{Context: ctx, disconnect: disconnect}, o, response.Body, start)
		return o
	}
	readBody(ctx, o, response.Body, start)
	return o
}

func (c *Caller) newRequest(ctx context.Context, r *Request, base string) (*http.Request, error) {
	url, body := base+"/services/"+r.Flow.Target+r.Flow.Path, []byte(r.Text)
	contentType := "text/plain"
	if r.Flow.Kind == KindChat {
		chat := map[string]any{"model": r.Flow.Target, "messages": r.Messages(), "stream": r.Stream}
		if r.Flow.MaxTokens > 0 {
			chat["max_tokens"] = r.Flow.MaxTokens
		}
		data, err := json.Marshal(chat)
		if err != nil {
			return nil, err
		}
		url, body, contentType = base+"/v1/chat/completions", data, "application/json"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't retry, which would hide a connection broken by
	// the entry.
	request.GetBody = nil
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Authorization", "Bearer "+c.Token(r.Team))
	request.Header.Set("X-Lilac-Class", r.Flow.Class)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	if deadline := r.Flow.Deadline.Duration; deadline > 0 {
		request.Header.Set("X-Lilac-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	return request, nil
}

// transportErrorKind distinguishes timeouts, failed connection attempts and broken
// connections.
func transportErrorKind(ctx context.Context, err error) string {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return KindTimeout
	case errors.As(err, &op) && op.Op == "dial", errors.Is(err, syscall.ECONNREFUSED):
		return KindConnect
	}
	return KindInterrupted
}

func readBody(ctx context.Context, o *Outcome, body io.Reader, start time.Time) {
	data, err := io.ReadAll(body)
	if err != nil {
		o.Kind = transportErrorKind(ctx, err)
		return
	}
	o.FirstToken = time.Since(start)
	if o.Status != http.StatusOK {
		if !o.parseError(data) {
			o.Kind = "status_" + strconv.Itoa(o.Status)
			o.Problem = "error has no type: " + string(data)
		}
		return
	}
	if o.Request.Flow.Kind == KindService {
		o.Problem = checkAnswer(o.Request, string(data))
		return
	}
	var answer chunk
	if json.Unmarshal(data, &answer) != nil || len(answer.Choices) != 1 {
		o.Problem = "answer is not a chat completion: " + string(data)
		return
	}
	text := answer.Choices[0].Message.Content
	o.Tokens = len(strings.Fields(text))
	o.Problem = checkAnswer(o.Request, text)
}
