package ledger

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Snapshot returns all that Restore needs.
func (l *Ledger) Snapshot() *lilacv1.LedgerSnapshot { return l.Capture()() }

// Capture notes the state as it is now and returns a function that makes the
// snapshot of it. That one is the slow part; any goroutine may call it, once,
// while the ledger goes on.
func (l *Ledger) Capture() func() *lilacv1.LedgerSnapshot {
	shards := l.tombstones.capture()
	s := &lilacv1.LedgerSnapshot{
		NowUnixMs: l.nowMs,
		Recovery:  l.recovery,
		Current:   l.instances.all(),
		Gone:      append([]string(nil), l.instances.order...),

		ForgetBeforeUnixMs: l.forgetting.beforeMs,
		ForgetShards:       uint32(l.forgetting.left),
	}
	records := make([]*record, 0, l.order.count)
	for e := l.order.oldest; e != nil; e = e.after {
		records = append(records, e.record)
	}
	return func() *lilacv1.LedgerSnapshot {
		s.Entries = make([]*lilacv1.LedgerEntry, len(records))
		for i, r := range records {
			s.Entries[i] = r.message()
		}
		s.Tombstones = listed(shards)
		return s
	}
}

// Restore replaces the whole state; the limits stay.
func (l *Ledger) Restore(s *lilacv1.LedgerSnapshot) {
	*l = *New(l.limits)
	l.nowMs, l.recovery = s.GetNowUnixMs(), s.GetRecovery()
	l.forgetting = forgetting{beforeMs: s.GetForgetBeforeUnixMs(), left: min(int(s.GetForgetShards()), shardCount)}
	for _, e := range s.GetEntries() {
		l.add(e)
	}
	for _, t := range s.GetTombstones() {
		if len(t.GetHash()) == hashBytes {
			l.tombstones.addHash(keyHash(t.GetHash()), t.GetUntilUnixMs()-t.GetClaimedUnixMs())
		}
	}
	for _, i := range s.GetCurrent() {
		l.instances.current[i.GetInstance()] = i.GetIncarnation()
	}
	for _, gone := range s.GetGone() {
		l.instances.fence(gone)
	}
}
