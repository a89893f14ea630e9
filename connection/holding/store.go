package holding

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lilacbridge/lilacbridge/process/logs"
)

// ErrNoRoom is returned if the account has no room within the wait.
var ErrNoRoom = errors.New("what this instance holds for others has reached limits.held_bytes")

// Options configure a Store.
type Options struct {
	// Bytes is the most that the store grants.
	Bytes int64
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Log receives a line for the begin and the end of each shortage; nil disables it.
	Log *logs.Log
}

// Store is the account of one instance, safe for concurrent use. A nil Store grants
// everything and counts nothing.
//
// Lock order: Hold.mu before Store.mu; functions set by OnGiveUp are called with Hold.mu held
// and without Store.mu.
type Store struct {
	options Options

	// mu guards the fields below.
	mu    sync.Mutex
	core  *Core
	next  ID
	holds map[ID]*Hold
	short bool
}

// NewStore returns a Store.
func NewStore(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{options: options, core: NewCore(options.Bytes), holds: make(map[ID]*Hold)}
}

// Stats returns the counts and the present state of the account.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Stats()
}

// Fits reports whether so many bytes would fit into an empty account.
func (s *Store) Fits(bytes int64) bool { return s == nil || bytes <= s.core.largest() }

// Hold is what the store holds for one request. Take, Wait, Force and Free may be called by
// one goroutine each at a time. A nil Hold grants everything.
type Hold struct {
	store *Store
	id    ID
	owner Owner
	// decided receives the verdict of a wait.
	decided chan Verdict

	// mu guards the fields below.
	mu     sync.Mutex
	closed bool
	giveUp func()
}

// Open returns a new Hold, nil for a nil Store.
func (s *Store) Open(owner Owner) *Hold {
	if s == nil {
		return nil
	}
	h := &Hold{store: s, owner: owner, decided: make(chan Verdict, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	h.id = s.next
	s.holds[h.id] = h
	s.core.Open(h.id, owner)
	return h
}

// Owner returns on whose behalf the bytes are held.
func (h *Hold) Owner() Owner {
	if h == nil {
		return Owner{}
	}
	return h.owner
}

// OnGiveUp sets the function that ends the answer if its room is needed. It must not block.
func (h *Hold) OnGiveUp(end func()) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.giveUp = end
}

// Take holds bytes if there is room and nobody waits for it.
func (h *Hold) Take(reason Reason, bytes int64) bool {
	if h == nil {
		return true
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.store.core.Take(h.id, reason, bytes)
}

// Force holds bytes whether or not there is room.
func (h *Hold) Force(reason Reason, bytes int64) {
	if h == nil {
		return
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.core.Force(h.id, reason, bytes)
}

// Wait holds bytes, once there is room. It returns ErrNoRoom if there is none within wait, or
// the error of ctx.
func (h *Hold) Wait(ctx context.Context, reason Reason, bytes int64, wait time.Duration) error {
	if h == nil {
		return nil
	}
	switch h.store.ask(h.id, reason, bytes, wait) {
	case Granted:
		return nil
	case Refused:
		return ErrNoRoom
	}
	ticker := time.NewTicker(wait/giveUpDivisor + time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case verdict := <-h.decided:
			if verdict == Granted {
				return nil
			}
			return ErrNoRoom
		case <-ticker.C:
			h.store.carryOut(func(now time.Time) []Decision { return h.store.core.Tick(now) })
		case <-ctx.Done():
			h.cancelWait()
			return ctx.Err()
		}
	}
}

// cancelWait ends a wait without a verdict. Bytes granted meanwhile stay held until Close.
func (h *Hold) cancelWait() {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.core.CancelWait(h.id)
	select {
	case <-h.decided:
	default:
	}
}

func (s *Store) ask(id ID, reason Reason, bytes int64, wait time.Duration) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	verdict := s.core.Ask(now, id, reason, bytes, now.Add(wait))
	if verdict != Granted {
		s.logShortage(true)
	}
	return verdict
}

// logShortage logs the begin or the end of a shortage. The caller holds mu.
func (s *Store) logShortage(short bool) {
	if s.short == short {
		return
	}
	s.short = short
	stats := s.core.Stats()
	message := "room for requests and answers is short"
	if !short {
		message = "room for requests and answers is there again"
	}
	s.options.Log.Line(logs.StateChange, message, "limit", s.options.Bytes, "head", stats.Held[Head], "body", stats.Held[Body], "answer", stats.Held[Answer], "unread", stats.Held[Unread],
		"blocked", stats.Blocked, "waited", stats.Waited, "refused", stats.Refused, "given_up", stats.GivenUp)
}

// carryOut changes the core under the lock and carries out its decisions.
func (s *Store) carryOut(change func(now time.Time) []Decision) {
	var ended []*Hold
	s.mu.Lock()
	for _, decision := range change(s.options.Now()) {
		hold := s.holds[decision.ID]
		if decision.GiveUp {
			ended = append(ended, hold)
			continue
		}
		hold.decided <- decision.Verdict
	}
	if s.short && s.core.Waiting() == 0 {
		s.logShortage(false)
	}
	s.mu.Unlock()
	for _, hold := range ended {
		hold.end()
	}
}

func (h *Hold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed && h.giveUp != nil {
		h.giveUp()
	}
}

// Free returns bytes.
func (h *Hold) Free(reason Reason, bytes int64) {
	if h == nil || bytes == 0 {
		return
	}
	h.store.carryOut(func(now time.Time) []Decision { return h.store.core.Free(now, h.id, reason, bytes) })
}

// SetBlocked states since when the caller has not read; zero means that it reads.
func (h *Hold) SetBlocked(since time.Time) {
	if h == nil {
		return
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.core.SetBlocked(h.id, since)
}

// Held returns the bytes held, by Reason.
func (h *Hold) Held() [reasons]int64 {
	if h == nil {
		return [reasons]int64{}
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.store.core.Held(h.id)
}

// Close returns all bytes. The function set by OnGiveUp is not called after it.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	closed := h.closed
	h.closed = true
	h.mu.Unlock()
	if closed {
		return
	}
	h.store.carryOut(func(now time.Time) []Decision { return h.store.core.Close(now, h.id) })
	h.store.mu.Lock()
	delete(h.store.holds, h.id)
	h.store.mu.Unlock()
}
