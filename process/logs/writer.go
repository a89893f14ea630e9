// Package logs writes a process's log: JSON lines on standard output that never
// hold up what the process does, and whose number is bounded.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is how many lines may wait for a reader that is slow: a second's
	// worth at the budget of all kinds together.
	queueLength = 1024
	// flushTimeout bounds the wait for the last lines when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Writer passes lines on from a goroutine of its own.
//
// It guards against a standard output that nobody reads: a full pipe would stop
// each request at its first line. It shows as an instance that hangs for no
// reason of its own. It holds because a line that finds no room is dropped and
// counted; the count is told with the next line that goes out.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to out; Close ends its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room so far and were not told of yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits a moment for the lines that were taken.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write ignores errors: there is no other place to tell them.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped, nobody read them in time","@timestamp":%q,"lines":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(line)
}
