package ledger

import (
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Snapshot returns all that Restore needs. It shares no message that the
// ledger changes later.
func (l *Ledger) Snapshot() *lilacv1.LedgerSnapshot {
	s := &lilacv1.LedgerSnapshot{
		NowUnixMs:  l.nowMs,
		Tombstones: l.tombstones.all(),
		Current:    l.instances.all(),
		Gone:       append([]string(nil), l.instances.order...),
	}
	for place := l.order.Front(); place != nil; place = place.Next() {
		e := place.Value.(*entry).LedgerEntry
		copied := proto.CloneOf(&lilacv1.LedgerEntry{
			Team: e.GetTeam(), Key: e.GetKey(), Digest: e.GetDigest(), Instance: e.GetInstance(),
			Incarnation: e.GetIncarnation(), Attempt: e.GetAttempt(), State: e.GetState(), ClaimedUnixMs: e.GetClaimedUnixMs(),
		})
		copied.Answer = e.GetAnswer()
		s.Entries = append(s.Entries, copied)
	}
	return s
}

// Restore replaces the whole state; the limits stay.
func (l *Ledger) Restore(s *lilacv1.LedgerSnapshot) {
	*l = *New(l.limits)
	l.nowMs = s.GetNowUnixMs()
	for _, e := range s.GetEntries() {
		l.add(e)
	}
	for _, t := range s.GetTombstones() {
		if len(t.GetHash()) == hashBytes {
			l.tombstones.addHash(keyHash(t.GetHash()), t.GetUntilUnixMs())
		}
	}
	for _, i := range s.GetCurrent() {
		l.instances.current[i.GetInstance()] = i.GetIncarnation()
	}
	for _, gone := range s.GetGone() {
		l.instances.fence(gone)
	}
}
