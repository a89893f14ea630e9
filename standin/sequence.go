package standin

import (
	"encoding/json"
	"slices"
	"time"
)

// sequence is an answer that is being generated. Engine.mu guards it.
type sequence struct {
	id       string
	model    string
	ref      string
	words    []string
	priority int
	// tokens are all tokens of the answer, of which the first generated ones are available.
	tokens    []string
	generated int
	truncated bool
	continued bool
	imported  bool
	ready     time.Time
	done      bool
	canceled  bool
	readers   int
	lastRead  time.Time
	// changed is closed and replaced whenever generated, done or canceled changes.
	changed chan struct{}
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) hasWord(word string) bool { return slices.Contains(s.words, word) }

// submit enqueues a sequence. It returns false if requests are refused, the queue is full
// or the id is in use.
func (e *Engine) submit(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, used := e.byID[s.id]; used || e.fault.Refuse || len(e.waiting) >= e.config.MaxWaiting {
		return false
	}
	s.changed = make(chan struct{})
	s.lastRead = time.Now()
	e.byID[s.id] = s
	e.enqueue(s)
	return true
}

func (e *Engine) enqueue(s *sequence) {
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// attach registers a reader of a sequence, which must call detach. It returns nil if there
// is no such sequence.
func (e *Engine) attach(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok {
		return nil
	}
	s.readers++
	return s
}

func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.lastRead = time.Now()
}

// progress returns the tokens generated so far, whether the answer is complete, whether it
// was canceled, and a channel that is closed at the next change.
func (e *Engine) progress(s *sequence) (generated []string, done, canceled bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.tokens[:s.generated], s.done, s.canceled, s.changed
}

// cancel removes a sequence and frees its slot immediately.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok {
		return false
	}
	if !s.done {
		e.stats.TokensCanceled += s.generated
		e.stats.TokensAvoided += len(s.tokens) - s.generated
	}
	e.remove(s)
	return true
}

func (e *Engine) remove(s *sequence) {
	isSequence := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, isSequence)
	e.running = slices.DeleteFunc(e.running, isSequence)
	delete(e.byID, s.id)
	s.canceled = !s.done
	s.notify()
}

// cancelAbandoned cancels the sequences that have had no reader for ResumeWindow.
func (e *Engine) cancelAbandoned(now time.Time) {
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.readers == 0 && now.Sub(s.lastRead) > e.config.ResumeWindow {
			e.stats.TokensCanceled += s.generated
			e.remove(s)
		}
	}
}

func (e *Engine) forgetAfterWindow(s *sequence) {
	time.AfterFunc(e.config.ResumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.byID[s.id] == s {
			delete(e.byID, s.id)
		}
	})
}

// exportedSequence is the form in which a sequence is transferred to another engine. It is
// opaque to the router.
type exportedSequence struct {
	ID        string   `json:"id"`
	Model     string   `json:"model"`
	Words     []string `json:"words"`
	Priority  int      `json:"priority"`
	Tokens    []string `json:"tokens"`
	Generated int      `json:"made"`
	Truncated bool     `json:"cut"`
}

// exportSequence removes an unfinished sequence and returns its encoded state.
func (e *Engine) exportSequence(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	if !ok || s.done {
		return nil, false
	}
	data, err := json.Marshal(exportedSequence{ID: s.id, Model: s.model, Words: s.words, Priority: s.priority, Tokens: s.tokens, Generated: s.generated, Truncated: s.truncated})
	e.remove(s)
	return data, err == nil
}

// importSequence enqueues an exported sequence, which continues without prefill. It returns
// false if the data is malformed or the sequence is refused.
func (e *Engine) importSequence(data []byte) bool {
	var in exportedSequence
	if json.Unmarshal(data, &in) != nil || in.ID == "" || in.Generated > len(in.Tokens) {
		return false
	}
	s := &sequence{id: in.ID, model: in.Model, words: in.Words, priority: in.Priority, tokens: in.Tokens, generated: in.Generated, truncated: in.Truncated, continued: true, imported: true}
	if !e.submit(s) {
		return false
	}
	e.mu.Lock()
	e.stats.Continued++
	e.mu.Unlock()
	return true
}
