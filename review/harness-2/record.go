package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, each line with the time since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, began: time.Now()} }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
