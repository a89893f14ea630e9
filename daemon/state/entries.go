package state

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// entryTTL is how long an entry stays listed after its last request: three times the
// interval of those requests, so that a lost one does not remove the entry.
const entryTTL = 6 * time.Second

// entryTable holds the entries that recently requested the members from this process.
// It serves discovery only: the entries themselves determine which of them are alive.
type entryTable struct {
	now func() time.Time

	mu sync.Mutex
	// seen maps names to entries. Guarded by mu.
	seen map[string]seenEntry
}

type seenEntry struct {
	entry *lilacv1.StateMember
	at    time.Time
}

func newEntryTable(now func() time.Time) *entryTable {
	return &entryTable{now: now, seen: make(map[string]seenEntry)}
}

func (t *entryTable) record(entry *lilacv1.StateMember) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[entry.GetName()] = seenEntry{entry, t.now()}
}

// list returns the entries sorted by name, and removes the expired ones.
func (t *entryTable) list() []*lilacv1.StateMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []*lilacv1.StateMember
	for name, seen := range t.seen {
		if t.now().Sub(seen.at) > entryTTL {
			delete(t.seen, name)
			continue
		}
		entries = append(entries, seen.entry)
	}
	slices.SortFunc(entries, func(a, b *lilacv1.StateMember) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return entries
}
