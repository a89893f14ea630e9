package logs

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Kind groups log lines that share a rate limit.
type Kind int

const (
	// Success is the normal progress of a request.
	Success Kind = iota
	// Failure is a request that failed or was refused.
	Failure
	// StateChange is a change of state that is not part of a request, such as a new
	// configuration.
	StateChange
	kinds
)

// linesPerSecond is the maximum number of lines per second of each kind. An entry
// instance at its design load of 36 requests/s writes 80 success lines/s. The limit for
// failures is higher, for the case that all requests fail at once.
var linesPerSecond = [kinds]int{Success: 200, Failure: 300, StateChange: 100}

var kindNames = [kinds]string{Success: "success", Failure: "failure", StateChange: "belief"}

// Log writes lines up to a rate limit per kind. It is safe for concurrent use; a nil Log
// discards all lines.
type Log struct {
	logger hclog.Logger
	now    func() time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	second int64
	// written and dropped count lines of the Unix time second.
	written [kinds]int
	dropped [kinds]uint64
}

// New returns a Log that writes to logger.
func New(logger hclog.Logger) *Log { return &Log{logger: logger, now: time.Now} }

// Line writes one line, or counts it as dropped if the limit of its kind for this second
// is reached. The counts are logged at the first line of a later second.
func (l *Log) Line(kind Kind, message string, pairs ...any) {
	if l == nil {
		return
	}
	dropped, ok := l.take(kind)
	for k, count := range dropped {
		if count > 0 {
			l.logger.Warn("log lines left out, the budget of their kind was spent", "kind", kindNames[k], "lines", count)
		}
	}
	if ok {
		l.logger.Info(message, pairs...)
	}
}

// take counts one line of the kind and reports whether it may be written. At the first
// line of a second it also returns the counts of lines dropped before.
func (l *Log) take(kind Kind) (dropped [kinds]uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second, l.written = second, [kinds]int{}
		dropped, l.dropped = l.dropped, [kinds]uint64{}
	}
	if l.written[kind] >= linesPerSecond[kind] {
		l.dropped[kind]++
		return dropped, false
	}
	l.written[kind]++
	return dropped, true
}
