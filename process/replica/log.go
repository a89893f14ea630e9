package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// memoryLog holds the entries after the snapshot and tracks which are synced.
type memoryLog struct {
	// base and baseTerm are the index and term preceding the first entry.
	base, baseTerm uint64
	entries        []*lilacv1.RaftEntry
	// submitted is the last index passed to the caller to be synced.
	submitted uint64
	// synced is the last index known to be synced.
	synced uint64
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; false if the log does not hold it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].GetTerm(), true
}

func (l *memoryLog) at(index uint64) *lilacv1.RaftEntry { return l.entries[index-l.base-1] }

// from returns entries from index on, limited to the given number of bytes but at
// least one entry.
func (l *memoryLog) from(index uint64, bytes int) []*lilacv1.RaftEntry {
	var out []*lilacv1.RaftEntry
	for ; index <= l.last(); index++ {
		entry := l.at(index)
		bytes -= len(entry.GetData()) + entryOverhead
		if len(out) > 0 && bytes < 0 {
			break
		}
		out = append(out, entry)
	}
	return out
}

func (l *memoryLog) append(entries ...*lilacv1.RaftEntry) { l.entries = append(l.entries, entries...) }

// truncate removes all entries from index on.
func (l *memoryLog) truncate(index uint64) {
	// The full slice expression leaves slices returned earlier unchanged.
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
	l.submitted = min(l.submitted, index-1)
	l.synced = min(l.synced, index-1)
}

// compact drops the entries up to index, which a snapshot covers.
func (l *memoryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*lilacv1.RaftEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset replaces the whole log by a snapshot at index.
func (l *memoryLog) reset(index, term uint64) {
	*l = memoryLog{base: index, baseTerm: term, submitted: index, synced: index}
}

// isNewerThan reports whether l is more up to date than a log that ends at index and
// term, by the Raft rule: the later last term wins, then the greater index.
func (l *memoryLog) isNewerThan(index, term uint64) bool {
	if term != l.lastTerm() {
		return term < l.lastTerm()
	}
	return index < l.last()
}
