package misbehaving

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// sendTimeout ends a client that is neither read nor closed.
	sendTimeout = 10 * time.Second
	// endlessBytes is what a client sends that has no end, unless its connection is closed.
	endlessBytes = 8 << 20
	// overLimitBytes is the size of a head far over the limit.
	overLimitBytes = 1_000_000
)

// crowd is a number of clients that do the same.
type crowd struct {
	address     string
	connections int
	// write sends what the client with the number sends.
	write func(w *bufio.Writer, number int) error
	// unread is set if the clients read no more than the first byte of the answers.
	unread bool
}

// send opens a connection and sends. It discards the answers, unless they stay unread, and returns the
// connection, or nil if there is none.
func (c crowd) send(number int) net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, sendTimeout)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if !c.unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	w := bufio.NewWriterSize(conn, 64<<10)
	if c.write(w, number) == nil {
		_ = w.Flush()
	}
	if c.unread {
		_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
		_, _ = conn.Read(make([]byte, 1))
	}
	return conn
}

// repeat writes units until bytes are written. unit gets the number of the unit.
func repeat(w *bufio.Writer, bytes int, unit func(n int) string) error {
	for n := 0; bytes > 0; n++ {
		text := unit(n)
		bytes -= len(text)
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	return nil
}

// always returns the same unit.
func always(text string) func(int) string { return func(int) string { return text } }

// shortLine returns a distinct header line of a few bytes.
func shortLine(n int) string { return fmt.Sprintf("%s:\r\n", lineName(n)) }

// lineName returns a short name that is distinct for each n and none that is used otherwise.
func lineName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{'x'}
	for ; n > 0; n /= len(letters) {
		name = append(name, letters[n%len(letters)])
	}
	return string(name)
}

// begin is the begin of a request for a route, up to and with the headers that it needs.
func begin(route, id string) string {
	return standin.RawHead(route, id, key, route == "plan" || route == "review")
}

// beginWithBody is begin for a request with a body, of the length or framing in the header.
func beginWithBody(route, id, framing string) string {
	return strings.Replace(begin(route, id), "Content-Length: 0", framing, 1) + "\r\n"
}

// attempt is the id of the n-th request of a client.
func attempt(number, n int) string { return fmt.Sprintf("%x-%x", number, n) }

// head returns a request with as many short lines, each ended by the given text.
func head(route, id string, lines int, lineEnd string) string {
	var text strings.Builder
	text.WriteString(begin(route, id))
	for n := range lines {
		text.WriteString(lineName(n) + ":" + lineEnd)
	}
	return text.String()
}
