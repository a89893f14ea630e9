package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/secret"
)

const (
	benchStreams = 32
	benchGap     = 2 * time.Millisecond
)

// benchEngine starts an engine that streams the number of tokens named in the prompt.
func benchEngine(tb testing.TB) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, rest, _ := strings.Cut(string(body), "tokens:")
		count, _ := strconv.Atoi(strings.Trim(strings.SplitN(rest, " ", 2)[0], `"}]`))
		id := requestID(r)
		w.Header().Set("X-Request-Id", id)
		startStream(w)
		for i := range count {
			if i > 0 {
				time.Sleep(benchGap)
			}
			finish := ""
			if i == count-1 {
				finish = "stop"
			}
			sendChunk(w, id, " mot", finish)
		}
		sendDone(w)
	}))
	tb.Cleanup(server.Close)
	return server
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchClient sends requests over one raw connection.
type benchClient struct {
	conn    net.Conn
	reader  *bufio.Reader
	request string
}

func newBenchClient(tb testing.TB, address string, count int) *benchClient {
	conn, err := net.Dial("tcp", address)
	is.New(tb).NoErr(err)
	tb.Cleanup(func() { conn.Close() })
	body := strings.Replace(chatBody, "compte", fmt.Sprintf("tokens:%d %s", count, words(200)), 1)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: bench\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		secret.CallerToken(testKey, "coop"), len(body), body)
	return &benchClient{conn: conn, reader: bufio.NewReader(conn), request: request}
}

func (c *benchClient) run(tb testing.TB) {
	_, err := io.WriteString(c.conn, c.request)
	is.New(tb).NoErr(err)
	resp, err := http.ReadResponse(c.reader, nil)
	is.New(tb).NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.New(tb).NoErr(err)
	is.New(tb).True(strings.HasSuffix(string(text), doneLine))
}

const doneLine = "data: [DONE]\n\n"

func runStreams(b *testing.B, address string, count int) time.Duration {
	var clients []*benchClient
	for range benchStreams {
		clients = append(clients, newBenchClient(b, address, count))
	}
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	before := cpuTime()
	var group sync.WaitGroup
	for _, client := range clients {
		group.Go(func() {
			for range work {
				client.run(b)
			}
		})
	}
	group.Wait()
	return cpuTime() - before
}

// Discards the framework's log lines, which would be mixed into the benchmark results.
func init() { kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard)) }

// BenchmarkEntry measures the CPU time that an entry adds to a request of a given
// number of tokens: the time through the entry minus the time of the same load sent
// directly to the engine.
func BenchmarkEntry(b *testing.B) {
	for _, count := range []int{1, 50, 100, 200} {
		b.Run(fmt.Sprintf("stream/tokens=%d", count), func(b *testing.B) {
			engine := benchEngine(b)
			address := strings.TrimPrefix(engine.URL, "http://")
			s := testSettings()
			server := engineAt("r1", engine.URL)
			server.Slots = 2 * benchStreams
			f := start(b, s, server)
			direct := runStreams(b, address, count)
			through := runStreams(b, strings.TrimPrefix(f.url, "http://"), count)
			added := float64((through - direct).Nanoseconds()) / 1000 / float64(b.N)
			b.ReportMetric(added, "cpu-µs/request")
			b.ReportMetric(added/float64(count), "cpu-µs/token")
		})
	}
}
