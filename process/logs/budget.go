package logs

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Kind groups lines that share a budget.
type Kind int

const (
	// Success is what went as it should.
	Success Kind = iota
	// Failure is a request that failed or was refused.
	Failure
	// StateChange is a change of what the process takes for true.
	StateChange
	kinds
)

// linesPerSecond is how many lines of a kind go out in a second. An entry that serves
// 36 requests a second, the size designed for, writes 80 lines of successes; the
// budget leaves failures room when all requests fail at once.
var linesPerSecond = [kinds]int{Success: 200, Failure: 300, StateChange: 100}

var kindNames = [kinds]string{Success: "success", Failure: "failure", StateChange: "belief"}

// Log writes lines within a budget for each kind.
type Log struct {
	logger hclog.Logger
	now    func() time.Time

	mu      sync.Mutex
	second  int64
	written [kinds]int
	dropped [kinds]uint64
}

// New returns a Log over the logger.
func New(logger hclog.Logger) *Log { return &Log{logger: logger, now: time.Now} }

// Line writes one line, or counts it where the kind's budget for this second is
// spent. What was left out is told in the next second.
func (l *Log) Line(kind Kind, message string, pairs ...any) {
	if l == nil {
		return
	}
	left, ok := l.take(kind)
	for k, count := range left {
		if count > 0 {
			l.logger.Warn("log lines left out, the budget of their kind was spent", "kind", kindNames[k], "lines", count)
		}
	}
	if ok {
		l.logger.Info(message, pairs...)
	}
}

// take spends one line of the kind; left is what the last second left out.
func (l *Log) take(kind Kind) (left [kinds]uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second, l.written = second, [kinds]int{}
		left, l.dropped = l.dropped, [kinds]uint64{}
	}
	if l.written[kind] >= linesPerSecond[kind] {
		l.dropped[kind]++
		return left, false
	}
	l.written[kind]++
	return left, true
}
