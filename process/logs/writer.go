// Package logs writes the log of a process as JSON lines. Writing never blocks the
// process, and the number of lines is limited.
package logs

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the number of lines that may wait for a slow reader: more than one
	// second of lines at the limits of all kinds.
	queueLength = 1024
	// flushTimeout limits the wait for the last lines when the process exits.
	flushTimeout = 200 * time.Millisecond
	// maxLineBytes bounds a line, bytes. Lines quote what clients send.
	maxLineBytes = 4 << 10
	// maxValueBytes is what is left of a text in a line that is too long, bytes.
	maxValueBytes = 256
)

// Writer forwards lines from a separate goroutine.
//
// If nobody reads standard output, a full pipe would block each request at its first
// line and the instance would hang. Writer therefore drops and counts a line when its
// queue is full, and writes the count before the next line. It is safe for concurrent
// use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to out. Close stops its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	queued := shorten(line)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits up to flushTimeout until the queued lines are written.
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

// write ignores errors because there is no other place to report them.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped, nobody read them in time","@timestamp":%q,"lines":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(line)
}

// shorten returns a copy of the line, with its texts cut if it is too long.
func shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	var fields map[string]any
	if json.Unmarshal(line, &fields) == nil {
		for name, value := range fields {
			if text, ok := value.(string); ok && len(text) > maxValueBytes {
				fields[name] = fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxValueBytes], ""), len(text))
			}
		}
		if short, err := json.Marshal(fields); err == nil && len(short) < maxLineBytes {
			return append(short, '\n')
		}
	}
	return fmt.Appendf(nil, `{"@level":"warn","@message":"log line left out, it is too long","@timestamp":%q,"bytes":%d}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), len(line))
}
