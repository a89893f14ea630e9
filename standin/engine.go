package standin

import (
	"context"
	"sync"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	// Models are loaded at start.
	Models []string
	// Slots is the number of sequences that run concurrently.
	Slots int
	// MaxWaiting is the queue length at which requests are answered with 429.
	MaxWaiting int
	// FirstToken is the time from admission to the first token of a fully cached prompt.
	FirstToken time.Duration
	// PerToken is the time between tokens with a single running sequence.
	PerToken time.Duration
	// BatchSlowdown is the fraction by which each further sequence lengthens PerToken.
	BatchSlowdown float64
	// PrefillPerWord is added to FirstToken for each uncached word of the prompt.
	PrefillPerWord time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// KVWords is the capacity of the KV cache in words, for the load report.
	KVWords int
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration
	// EventLossInterval N drops every N-th cache event; 0 drops none.
	EventLossInterval uint64
	// IgnoreFencing makes the engine accept orders with outdated fencing numbers.
	IgnoreFencing bool
	// ResumeWindow is how long a sequence without a reader is kept.
	ResumeWindow time.Duration
	// Crash ends the process immediately.
	Crash func()
}

// Fault is the body of POST /fault. Absent fields mean no fault.
type Fault struct {
	// Slowdown multiplies all durations; 0 means 1.
	Slowdown float64 `json:"straggle,omitempty"`
	// Crash ends the process now.
	Crash bool `json:"crash,omitempty"`
	// CrashWord crashes the process when a prompt with this word starts to run.
	CrashWord string `json:"crash_word,omitempty"`
	// BreakAfter closes the connection of each answer after this number of tokens; 0 means
	// never.
	BreakAfter int `json:"break_after,omitempty"`
	// Refuse makes all new requests get 429.
	Refuse bool `json:"refuse,omitempty"`
}

// Stats holds an engine's counters.
type Stats struct {
	// Runs is the number of runs by the name after RefPrefix, without continuations.
	Runs map[string]int `json:"runs"`
	// Continued is the number of continuations and imports.
	Continued int `json:"continued"`
	// TokensGenerated is the number of all generated tokens.
	TokensGenerated int `json:"tokens_made"`
	// TokensCanceled is the number of tokens generated for sequences canceled later.
	TokensCanceled int `json:"tokens_canceled"`
	// TokensAvoided is the number of tokens not generated because of cancellation.
	TokensAvoided int `json:"tokens_saved"`
	// PromptWordsCached is the number of prompt words found in the prefix cache.
	PromptWordsCached int `json:"words_cached"`
	// PromptWordsTotal is the number of all prompt words.
	PromptWordsTotal int `json:"words_read"`
}

// Load is the load report of an engine or service.
type Load struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	Slots          int     `json:"slots"`
	KVUsed         float64 `json:"kv_used"`
	MeasuredUnixMS int64   `json:"measured_unix_ms"`
}

// Engine is a stand-in model engine.
type Engine struct {
	config EngineConfig
	wake   chan struct{}

	// mu guards the fields below and all sequences.
	mu       sync.Mutex
	fault    Fault
	waiting  []*sequence
	running  []*sequence
	byID     map[string]*sequence
	cache    *cache
	orders   loadState
	stats    Stats
	reports  []Load
	reported time.Time
}

// NewEngine returns an engine, which generates tokens only while Run runs.
func NewEngine(config EngineConfig) *Engine {
	return &Engine{
		config: config,
		wake:   make(chan struct{}, 1),
		byID:   make(map[string]*sequence),
		cache:  newCache(config.CacheBlocks, config.EventLossInterval),
		orders: newLoadState(config.Models, config.IgnoreFencing),
		stats:  Stats{Runs: make(map[string]int)},
	}
}

// reportInterval is the time between two load reports.
const reportInterval = 50 * time.Millisecond

// Run processes sequences until the context ends.
func (e *Engine) Run(ctx context.Context) {
	measure := time.NewTicker(reportInterval)
	defer measure.Stop()
	for ctx.Err() == nil {
		stepTime, busy := e.startStep(time.Now())
		if busy {
			sleep(ctx, stepTime)
			e.finishStep(time.Now())
			continue
		}
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-measure.C:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// startStep admits waiting sequences and returns the duration of the next step of the
// batch. busy is false if no sequence runs.
func (e *Engine) startStep(now time.Time) (stepTime time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned(now)
	e.admitWaiting(now)
	e.measure(now)
	if len(e.running) == 0 {
		return 0, false
	}
	cost := 1 + e.config.BatchSlowdown*float64(len(e.running)-1)
	return e.scaled(number.Duration(float64(e.config.PerToken) * cost)), true
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.fault.Slowdown > 0 {
		return number.Duration(float64(d) * e.fault.Slowdown)
	}
	return d
}

func (e *Engine) admitWaiting(now time.Time) {
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := e.takeMostUrgent()
		e.running = append(e.running, s)
		if s.imported {
			s.ready = now
			continue
		}
		cached := e.cache.insert(blockHashes(s.words), now)
		e.stats.PromptWordsCached += cached
		e.stats.PromptWordsTotal += len(s.words)
		uncached := time.Duration(len(s.words) - cached)
		s.ready = now.Add(e.scaled(e.config.FirstToken + uncached*e.config.PrefillPerWord))
		e.countRun(s)
	}
}

func (e *Engine) countRun(s *sequence) {
	if s.continued {
		e.stats.Continued++
		return
	}
	if s.ref != "" {
		e.stats.Runs[s.ref]++
	}
}

// takeMostUrgent removes and returns the waiting sequence with the lowest priority value;
// among equals, the one that arrived first.
func (e *Engine) takeMostUrgent() *sequence {
	best := 0
	for i, s := range e.waiting {
		if s.priority < e.waiting[best].priority {
			best = i
		}
	}
	s := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	return s
}

// finishStep generates one token for each sequence whose prompt is processed.
func (e *Engine) finishStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.ready.After(now) {
			unfinished = append(unfinished, s)
			continue
		}
		if e.fault.CrashWord != "" && s.hasWord(e.fault.CrashWord) {
			e.config.Crash()
			return
		}
		if s.generated < len(s.tokens) {
			s.generated++
			e.stats.TokensGenerated++
		}
		s.notify()
		if s.generated < len(s.tokens) {
			unfinished = append(unfinished, s)
			continue
		}
		s.done = true
		e.forgetAfterWindow(s)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
}

// measure records a load report and drops those not needed for ReportLag. The caller
// holds e.mu.
func (e *Engine) measure(now time.Time) {
	if now.Sub(e.reported) < reportInterval {
		return
	}
	e.reported = now
	words := 0
	for _, s := range e.running {
		words += len(s.words) + s.generated
	}
	e.reports = append(e.reports, Load{
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		Slots:          e.config.Slots,
		KVUsed:         min(1, float64(words)/float64(max(1, e.config.KVWords))),
		MeasuredUnixMS: now.UnixMilli(),
	})
	for len(e.reports) > 1 && e.reports[1].MeasuredUnixMS <= now.Add(-e.config.ReportLag).UnixMilli() {
		e.reports = e.reports[1:]
	}
}

// report returns the newest load report that is at least ReportLag old, or the oldest one
// if none is.
func (e *Engine) report(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.measure(now)
	return e.reports[0]
}
