package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/secret"
)

// An invalid request must be refused at once with the kind of its error and not_run,
// and must reach no backend server.
func TestFaultyRequestsAreRefusedBeforeAnyServer(t *testing.T) {
	backend := newFakeBackend(t, func(http.ResponseWriter, *http.Request, int) {})
	s := testSettings()
	s.Limits.BodyBytes, s.Limits.HeaderBytes = 2000, 4000
	f := start(t, s, backend.engine("r1"), backend.service("g1"))
	const chat = "/v1/chat/completions"
	cases := []struct {
		name, path, body string
		header           []string
		status           int
		kind             string
	}{
		{"no token", chat, chatBody, []string{"Authorization", ""}, 401, "unauthenticated"},
		{"forged token", chat, chatBody, []string{"Authorization", "Bearer coop.00"}, 401, "unauthenticated"},
		{"unknown team", chat, chatBody, []string{"Authorization", "Bearer " + secret.CallerToken(testKey, "none")}, 404, "unknown_team"},
		{"unknown class", chat, chatBody, []string{"X-Lilac-Class", "none"}, 404, "unknown_class"},
		{"unknown model", chat, strings.Replace(chatBody, "redaction", "none", 1), nil, 404, "unknown_model"},
		{"service as model", chat, strings.Replace(chatBody, "redaction", "guichet", 1), nil, 404, "unknown_model"},
		{"unknown service", "/services/none/x", "", nil, 404, "not_found"},
		{"model as service", "/services/redaction/x", "", nil, 404, "not_found"},
		{"unknown path", "/v1/other", "", nil, 404, "not_found"},
		{"no JSON", chat, `{"model":`, nil, 400, "bad_request"},
		{"wrong type", chat, `{"model":7}`, nil, 400, "bad_request"},
		{"no messages", chat, `{"model":"redaction"}`, nil, 400, "bad_request"},
		{"two answers", chat, strings.Replace(chatBody, "{", `{"n":2,`, 1), nil, 400, "bad_request"},
		{"wrong deadline", chat, chatBody, []string{"X-Lilac-Deadline-Ms", "soon"}, 400, "bad_request"},
		{"large body", chat, strings.Repeat(" ", 3000), nil, 413, "too_large"},
		{"long header", chat, chatBody, []string{"X-Long", strings.Repeat("x", 5000)}, 413, "too_large"},
		{"long key", chat, chatBody, []string{"Idempotency-Key", strings.Repeat("x", 300)}, 413, "too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := f.post(c.path, c.body, c.header...)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(parseError(body), errorEvent{Type: c.kind, NotRun: true})
			is.True(resp.Header.Get("X-Request-Id") != "")
			is.Equal(resp.Header.Get("X-Lilac-Instance"), "entry-1")
		})
	}
	is.New(t).Equal(len(backend.calls("")), 0)
}

// A caller with a poor connection or bad intent sends its request byte by byte. The
// entry must answer with a typed error and close the connection after the read
// timeout, both while reading the header and while reading the body.
func TestSlowCallersAreDisconnected(t *testing.T) {
	backend := newFakeBackend(t, func(http.ResponseWriter, *http.Request, int) {})
	f := start(t, testSettings(), backend.engine("r1"))
	auth := "Authorization: Bearer " + secret.CallerToken(testKey, "coop") + "\r\n"
	for name, part := range map[string]string{
		"body":   "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 100\r\n\r\n{",
		"header": "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, part)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
			answer, err := io.ReadAll(conn)
			is.NoErr(err) // the entry closes the connection
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 408 "))
			_, body, _ := strings.Cut(string(answer), "\r\n\r\n")
			is.Equal(parseError(body), errorEvent{Type: "slow_caller", NotRun: true})
		})
	}
	is.New(t).Equal(len(backend.calls("")), 0)
}

// An entry starts while no state process answers. Until it receives a configuration,
// it must refuse callers with a typed error and fail /readyz.
func TestEntryWithoutConfigurationIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := start(t, testSettings())
	resp, body := f.post("/v1/chat/completions", chatBody)
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get("Retry-After"), "2")
	is.Equal(parseError(body), errorEvent{Type: "unavailable", NotRun: true})
	is.Equal(f.Ready(), errNoConfiguration)
	f.Configure(view())
	is.NoErr(f.Ready())
}
