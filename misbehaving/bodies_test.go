package misbehaving

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/platform/standin"
	"github.com/lilacbridge/lilacbridge/process/secret"
)

// Guards against bodies that take the memory of a process: large, without end, or costly to decode.
func TestBodiesTakeNoMoreThanTheirLimit(t *testing.T) {
	const put = "PUT " + standin.ControlPath + " HTTP/1.1\r\nHost: h\r\n"
	chat := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + secret.CallerToken([]byte(callerKey), "north") + "\r\nX-Lilac-Class: look\r\n"
	for name, c := range map[string]struct {
		address func(s *system) string
		before  string
		unit    func(n int) string
		// bytes is what the clients send; 0 is more than any limit.
		bytes int
	}{
		"documents of a stated length": {func(s *system) string { return s.control }, put + "Content-Length: 8388608\r\n\r\n", always("a"), 0},
		"documents in chunks":          {func(s *system) string { return s.control }, put + "Transfer-Encoding: chunked\r\n\r\n", always("400\r\n" + strings.Repeat("a", 1024) + "\r\n"), 0},
		"documents of many parts":      {func(s *system) string { return s.control }, put + "Content-Length: 8000000\r\n\r\n" + `{"routes":[`, always("{},"), 0},
		"bodies of routes":             {func(s *system) string { return s.callers }, beginWithBody("look", "1", "Content-Length: 4194304"), always("a"), 0},
		"bodies of routes in chunks":   {func(s *system) string { return s.callers }, beginWithBody("look", "1", "Transfer-Encoding: chunked"), always("400\r\n" + strings.Repeat("a", 1024) + "\r\n"), 0},
		"chats":                        {func(s *system) string { return s.chat }, chat + "Content-Length: 1048576\r\n\r\n", always("a"), 0},
		"chats without their end":      {func(s *system) string { return s.chat }, chat + "Content-Length: 1048576\r\n\r\n", always("a"), 1_000_000},
		"chats of many messages":       {func(s *system) string { return s.chat }, chat + "Content-Length: 1048576\r\n\r\n" + `{"model":"m","messages":[`, always("{},"), 0},
		"operators":                    {func(s *system) string { return s.operators }, "POST /v1/statements HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + operatorToken + "\r\nContent-Length: 16777216\r\n\r\n", always("a"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			s.withstand(t, crowd{address: c.address(s), connections: 100, write: func(w *bufio.Writer, _ int) error {
				if _, err := w.WriteString(c.before); err != nil {
					return err
				}
				return repeat(w, cmp.Or(c.bytes, endlessBytes-len(c.before)-1024), c.unit)
			}})
		})
	}
}

// Guards against a complete document of very many parts, which takes many times its bytes to decode.
func TestADocumentOfManyPartsTakesNoMoreThanItsLimit(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, usual)
	for _, text := range []string{
		`{"version":2,"routes":[` + strings.Repeat("{},", 2_000_000) + `{}]}`,
		`{"version":2,"tenants":[{"apiKeys":[` + strings.Repeat(`"",`, 2_000_000) + `""]}]}`,
		`{"version":2,"x":` + strings.Repeat("[", 8_000_000) + `}`,
	} {
		req, err := http.NewRequest(http.MethodPut, "http://"+s.control+standin.ControlPath, strings.NewReader(text))
		is.NoErr(err)
		resp, err := client.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.True(resp.StatusCode >= 400 && resp.StatusCode < 500)
	}
	is.NoErr(s.ordinary())
	s.check(t)
}

// Guards against readers of the document that don't read on: each would hold its text.
func TestUnreadDocumentsTakeNoMemory(t *testing.T) {
	s := newSystem(t, usual)
	s.putDocument(t, 2, 10_000)
	s.withstand(t, crowd{address: s.control, connections: 60, unread: true, write: func(w *bufio.Writer, _ int) error {
		_, err := w.WriteString(strings.Repeat("GET "+standin.ControlPath+" HTTP/1.1\r\nHost: h\r\n\r\n", 10))
		return err
	}})
}

// Guards against answers of the administration that are asked for and not read: metrics, profiles and
// stacks are made in memory.
func TestUnreadAnswersOfTheAdministrationTakeNoMemory(t *testing.T) {
	for name, address := range map[string]func(s *system) string{
		"entry": func(s *system) string { return s.entryAdmin },
		"state": func(s *system) string { return s.stateAdmin },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			var crowds []crowd
			for _, path := range []string{"/metrics", "/debug/pprof/goroutine?debug=2", "/debug/pprof/heap", "/debug/pprof/trace?seconds=1", "/debug/pprof/profile?seconds=1"} {
				crowds = append(crowds, crowd{address: address(s), connections: 15, write: func(w *bufio.Writer, _ int) error {
					_, err := w.WriteString(strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n", 20))
					return err
				}, unread: true})
			}
			s.withstand(t, crowds...)
		})
	}
}

// Guards against a message before the handshake of the processes that states a length of some MB:
// it costs its sender a few bytes.
func TestLinksTakeNoMemoryBeforeTheirHandshake(t *testing.T) {
	for name, address := range links {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, usual)
			s.withstand(t, crowd{address: address(s), connections: 60, write: func(w *bufio.Writer, _ int) error {
				// The length of a message of 4 MiB as a varint, and most of its bytes.
				if _, err := w.WriteString("\x80\x80\x80\x02"); err != nil {
					return err
				}
				return repeat(w, 4<<20-1, always("a"))
			}})
		})
	}
}

// Guards against clients of all kinds at the same time.
func TestAllKindsAtOnce(t *testing.T) {
	s := newSystem(t, usual)
	crowds := []crowd{
		{address: s.callers, connections: 20, write: writeHeadOverLimit}, {address: s.readiness, connections: 10, write: writeHeadOverLimit}, {address: s.entryAdmin, connections: 10, write: writeHeadOverLimit},
		{address: s.control, connections: 10, write: writeHeadOverLimit}, {address: s.stateAdmin, connections: 10, write: writeHeadOverLimit},
		{address: s.callers, connections: 100, write: func(w *bufio.Writer, number int) error {
			_, err := w.WriteString(head("plan", fmt.Sprint("c", number), 2500, "\r\n") + "\r\n")
			return err
		}},
		{address: s.callers, connections: 100, write: func(w *bufio.Writer, number int) error {
			_, err := w.WriteString(head("plan", fmt.Sprint("u", number), 2500, "\r\n"))
			return err
		}},
		{address: s.callers, connections: 100, write: writeNothing},
	}
	for _, c := range withoutEnd {
		crowds = append(crowds, crowd{address: s.callers, connections: 5, write: func(w *bufio.Writer, _ int) error {
			if _, err := w.WriteString(c.before); err != nil {
				return err
			}
			return repeat(w, endlessBytes/8, c.unit)
		}})
	}
	s.withstand(t, crowds...)
}
