package ledger

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// entriesPerPart is the number of entries in one part of a snapshot.
const entriesPerPart = 1000

// Snapshot returns the whole state, for Restore.
func (l *Ledger) Snapshot() *lilacv1.LedgerSnapshot {
	s := &lilacv1.LedgerSnapshot{}
	for part := range l.Capture() {
		proto.Merge(s, part)
	}
	return s
}

// Capture records the current state and returns the parts of its snapshot, to be
// merged in order. Encoding the parts is the slow step; any goroutine may iterate
// over them, once, while the ledger continues.
//
// As messages, the entries take more memory than as records and encoded together.
// Creating them in parts keeps a snapshot from needing several times the memory of
// the ledger.
func (l *Ledger) Capture() iter.Seq[*lilacv1.LedgerSnapshot] {
	shards := l.tombstones.capture()
	rest := &lilacv1.LedgerSnapshot{
		NowUnixMs: l.nowMs,
		Recovery:  l.recovery,
		Current:   l.incarnations.currentIncarnations(),
		Gone:      append([]string(nil), l.incarnations.fenceOrder...),

		ForgetBeforeUnixMs: l.forgetting.beforeMs,
		ForgetShards:       uint32(l.forgetting.shardsLeft),
	}
	records := make([]*record, 0, l.order.count)
	for e := l.order.oldest; e != nil; e = e.next {
		records = append(records, e.record)
	}
	return func(yield func(*lilacv1.LedgerSnapshot) bool) {
		if !yield(rest) {
			return
		}
		for some := range slices.Chunk(records, entriesPerPart) {
			if !yield(entriesPart(some)) {
				return
			}
		}
		for i := range shards {
			if !yield(&lilacv1.LedgerSnapshot{Tombstones: tombstoneMessages(shards[i : i+1])}) {
				return
			}
		}
	}
}

func entriesPart(records []*record) *lilacv1.LedgerSnapshot {
	part := &lilacv1.LedgerSnapshot{Entries: make([]*lilacv1.LedgerEntry, len(records))}
	for i, r := range records {
		part.Entries[i] = r.toMessage()
	}
	return part
}

// Restore replaces the whole state; the limits are kept.
func (l *Ledger) Restore(s *lilacv1.LedgerSnapshot) {
	*l = *New(l.limits)
	l.nowMs, l.recovery = s.GetNowUnixMs(), s.GetRecovery()
	l.forgetting = forgetProgress{beforeMs: s.GetForgetBeforeUnixMs(), shardsLeft: min(int(s.GetForgetShards()), shardCount)}
	for _, e := range s.GetEntries() {
		l.addEntry(e)
	}
	for _, t := range s.GetTombstones() {
		if len(t.GetHash()) == hashBytes {
			l.tombstones.addHash(keyHash(t.GetHash()), t.GetUntilUnixMs()-t.GetClaimedUnixMs())
		}
	}
	for _, i := range s.GetCurrent() {
		l.incarnations.current[i.GetInstance()] = i.GetIncarnation()
	}
	for _, gone := range s.GetGone() {
		l.incarnations.fence(gone)
	}
}
