package standin

import (
	"context"
	"sync"
	"time"
)

// EngineConfig holds the settings of a stand-in engine.
type EngineConfig struct {
	// Models that it has loaded at start.
	Models []string
	// Slots is how many sequences it runs at once.
	Slots int
	// MaxWaiting is the length of its queue beyond which it answers 429.
	MaxWaiting int
	// FirstToken is the time from slot to first token of a prompt that is all cached.
	FirstToken time.Duration
	// PerToken is the gap between tokens of a batch of one.
	PerToken time.Duration
	// BatchCost is the share by which each further sequence lengthens the gap.
	BatchSlowdown float64
	// PrefillPerWord is the time added to the first token by each word not cached.
	PrefillPerWord time.Duration
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int
	// KVWords is the size of the KV cache, for the load report.
	KVWords int
	// ReportLag is how late the load report and the cache events are.
	ReportLag time.Duration
	// EventGap makes every so many-th cache event vanish; 0 means none.
	EventLossInterval uint64
	// IgnoreFencing makes the engine take orders with old fencing numbers.
	IgnoreFencing bool
	// ResumeWindow is how long a sequence without a reader is kept.
	ResumeWindow time.Duration
	// Crash ends the process, at once.
	Crash func()
}

// Fault is what POST /fault sets; absent fields mean no fault.
type Fault struct {
	// Straggle multiplies all times; 0 means 1.
	Slowdown float64 `json:"straggle,omitempty"`
	// Crash ends the process now.
	Crash bool `json:"crash,omitempty"`
	// CrashWord crashes the process when a prompt with this word begins to run.
	CrashWord string `json:"crash_word,omitempty"`
	// BreakAfter cuts the connection of each stream after so many tokens; 0 means never.
	BreakAfter int `json:"break_after,omitempty"`
	// Refuse answers all new requests with 429.
	Refuse bool `json:"refuse,omitempty"`
}

// Stats counts what an engine did.
type Stats struct {
	// Runs by the word after RefWord; continuations do not count.
	Runs map[string]int `json:"runs"`
	// Continued counts continuations and imports.
	Continued int `json:"continued"`
	// TokensMade counts all tokens made.
	TokensGenerated int `json:"tokens_made"`
	// TokensCanceled counts those made for sequences that were then canceled.
	TokensCanceled int `json:"tokens_canceled"`
	// TokensSaved counts those not made since the sequence was canceled.
	TokensAvoided int `json:"tokens_saved"`
	// WordsCached counts prompt words found in the prefix cache.
	PromptWordsCached int `json:"words_cached"`
	// WordsRead counts all prompt words.
	PromptWordsTotal int `json:"words_read"`
}

// Load is an engine's report on itself.
type Load struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	Slots          int     `json:"slots"`
	KVUsed         float64 `json:"kv_used"`
	MeasuredUnixMS int64   `json:"measured_unix_ms"`
}

// Engine is a stand-in model engine. One lock guards all of it.
type Engine struct {
	config EngineConfig
	wake   chan struct{}

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

// NewEngine makes an engine; Run makes it work.
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

// reportInterval is how often the engine measures itself.
const reportInterval = 50 * time.Millisecond

// Run works off the sequences until the context ends.
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

// begin admits what waits and returns how long the next step of the batch lasts.
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
	return e.scaled(time.Duration(float64(e.config.PerToken) * cost)), true
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.fault.Slowdown > 0 {
		return time.Duration(float64(d) * e.fault.Slowdown)
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

// takeMostUrgent removes the earliest of the most urgent priority.
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

// finish ends a step: every sequence that has read its prompt makes one token.
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

// measure keeps reports long enough that a late one can be given.
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

// report returns the newest load report that is at least ReportLag old.
func (e *Engine) report(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.measure(now)
	return e.reports[0]
}
