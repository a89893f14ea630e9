package state

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// entryTTL is how long an entry that asks no more is still named: three of
// the pauses between two questions, so that one lost answer does no harm.
const entryTTL = 6 * time.Second

// entryTable holds the entries that asked this process lately. It is a hint: who
// is alive the entries find out among themselves.
type entryTable struct {
	now func() time.Time

	mu   sync.Mutex
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

// list returns the entries in order of name, and forgets those that are silent.
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
