package misbehaving

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

// usual are the limits of most tests.
var usual = limits{memoryMB: 80, descriptors: 1000}

// Guards against heads far over the limit, of very many short lines, that take the memory of a
// process at any of its servers.
func TestHeadsOverTheLimit(t *testing.T) {
	for name, address := range httpServers {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			s.withstand(t, crowd{address: address(s), connections: 60, write: writeHeadOverLimit})
		})
	}
}

func writeHeadOverLimit(w *bufio.Writer, _ int) error {
	if _, err := w.WriteString("GET / HTTP/1.1\r\nHost: h\r\n"); err != nil {
		return err
	}
	return repeat(w, overLimitBytes, shortLine)
}

// withoutEnd are the places of a request at which a client may go on without end.
var withoutEnd = map[string]struct {
	before string
	unit   func(n int) string
}{
	"request line":                  {"GET /", always("a")},
	"header line":                   {"GET / HTTP/1.1\r\nHost: h\r\nA: ", always("a")},
	"short header lines":            {"GET / HTTP/1.1\r\nHost: h\r\n", shortLine},
	"folded lines":                  {"GET / HTTP/1.1\r\nHost: h\r\nA: a\r\n", always(" a\r\n")},
	"colons":                        {"GET / HTTP/1.1\r\nHost: h\r\n", always(":\r\n")},
	"empty lines":                   {"", always("\r\n")},
	"empty lines after a request":   {begin("look", "1") + "\r\n", always("\r\n")},
	"bare line feeds":               {begin("look", "1") + "\r\n", always("\n")},
	"header lines after the body":   {beginWithBody("look", "1", "Transfer-Encoding: chunked") + "1\r\na\r\n0\r\n", shortLine},
	"header line after the body":    {beginWithBody("look", "1", "Transfer-Encoding: chunked") + "1\r\na\r\n0\r\nA: ", always("a")},
	"extension of a chunk":          {beginWithBody("look", "1", "Transfer-Encoding: chunked") + "1;", always("a")},
	"body of more than its length":  {begin("look", "1") + "\r\n", always("a")},
	"empty lines with a bare start": {"\n", always("\r\n")},
}

// Guards against requests without end, at each place that a request has.
func TestRequestsWithoutEnd(t *testing.T) {
	for name, c := range withoutEnd {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			s.withstand(t, crowd{address: s.callers, connections: 100, write: func(w *bufio.Writer, _ int) error {
				if _, err := w.WriteString(c.before); err != nil {
					return err
				}
				return repeat(w, endlessBytes, c.unit)
			}})
		})
	}
}

// Guards against heads within the limit that cost many times their bytes, on a route on which
// requests wait for their turn.
func TestCostlyHeadsWithinTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		lines   int
		lineEnd string
		end     string
	}{
		"short lines":         {2500, "\r\n", "\r\n"},
		"bare line feeds":     {4500, "\n", "\n"},
		"without their end":   {2500, "\r\n", ""},
		"without a line feed": {2500, "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			s.withstand(t, crowd{address: s.callers, connections: 400, write: func(w *bufio.Writer, number int) error {
				_, err := w.WriteString(head("plan", attempt(number, 0), c.lines, c.lineEnd) + c.end)
				return err
			}})
		})
	}
}

// pipelined is the number of requests that a client sends without waiting for answers.
const pipelined = 300

// Guards against requests that are sent one after the other without waiting for answers, each of
// which costs many times its bytes or adds to a table.
func TestCostlyRequestsWithoutWaiting(t *testing.T) {
	for name, request := range map[string]func(number, n int) string{
		"short lines": func(number, n int) string {
			return head("plan", attempt(number, n), 2500, "\r\n") + "\r\n"
		},
		"new parts of prompts":            func(number, n int) string { return newParts(number, n, 9) },
		"new parts of prompts, no tokens": func(number, n int) string { return newParts(number, n, 0) },
		"unknown hosts and paths": func(number, n int) string {
			return fmt.Sprintf("GET /%d-%d/%s HTTP/1.1\r\nHost: h%d-%d.example\r\n%s\r\n", number, n, strings.Repeat("a", 15_000), number, n, standin.RawID(attempt(number, n)))
		},
		"unknown keys": func(number, n int) string {
			return strings.Replace(begin("look", attempt(number, n)), key, key+attempt(number, n)+strings.Repeat("a", 15_000), 1) + "\r\n"
		},
		"long ids": func(number, n int) string {
			return begin("review", attempt(number, n)+strings.Repeat("a", 15_000)) + "\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			s.withstand(t, crowd{address: s.callers, connections: 100, write: func(w *bufio.Writer, number int) error {
				for n := range pipelined {
					if _, err := w.WriteString(request(number, n)); err != nil {
						return err
					}
				}
				return nil
			}})
		})
	}
}

// newParts returns a request that names parts of a prompt that no other one names.
func newParts(number, n, tokens int) string {
	const count = 1300
	var parts []string
	for part := range count {
		parts = append(parts, fmt.Sprintf("%x:%d", (number*pipelined+n)*count+part, tokens))
	}
	return begin("plan", attempt(number, n)) + standin.RawParts(parts) + "\r\n"
}

// Guards against requests that stay in memory after their answers, while a crowd waits for servers.
func TestAnsweredRequestsAreNotKept(t *testing.T) {
	const clients, requests = 40, 250
	is := is.New(t)
	s := newSystem(t, usual)
	var done sync.WaitGroup
	var answered atomic.Int64
	for number := range clients {
		done.Go(func() {
			conn, err := net.Dial("tcp", s.callers)
			if err != nil {
				return
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			for n := range requests {
				_ = conn.SetDeadline(time.Now().Add(sendTimeout))
				if _, err := conn.Write([]byte(newParts(number, n, 9))); err != nil {
					return
				}
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				if err != nil || resp.Close {
					return
				}
				if resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	done.Wait()
	t.Logf("%d requests answered", answered.Load())
	s.check(t)
	is.NoErr(s.ordinary())
	s.check(t)
}

// Guards against a limit that a single request within the limits of the document meets.
func TestASingleCostlyRequestWithinTheLimitIsServed(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, usual)
	for _, route := range []string{"look", "plan"} {
		text := begin(route, "1")
		text += strings.Repeat("a:\n", (maxHeaderBytes-len(text)-2)/3) + "\r\n"
		is.True(strings.Count(text, "\n") > 5000)
		conn, err := net.Dial("tcp", s.callers)
		is.NoErr(err)
		defer conn.Close()
		is.NoErr(conn.SetDeadline(time.Now().Add(sendTimeout)))
		_, err = conn.Write([]byte(text))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	s.check(t)
}
