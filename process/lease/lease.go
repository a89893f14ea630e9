// Package lease is the deterministic state machine of leases with fencing
// numbers, and the holder's own check of its lease.
//
// The log holds no time: who holds a lease, under which fencing number and for
// how long, is replicated; whether it has run out is judged by the leader's
// monotonic clock from the last renewal that it applied (Timer).
package lease

import (
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// maxDurationMs is the longest lease.
const maxDurationMs = 60_000

// Table holds all leases. Calls must not overlap.
type Table struct {
	leases map[string]*lilacv1.LeaseEntry
	// floor is where a recovery put the fencing numbers; 0 without one.
	fencingFloor uint64
}

// NewTable returns a Table without leases.
func NewTable() *Table { return &Table{leases: make(map[string]*lilacv1.LeaseEntry)} }

// Apply takes, renews or gives back a lease.
//
// It guards against two holders that both give orders: the second is granted
// only if the very renewal that has run out is still the last one, and each new
// holding gets a fencing number greater than all before, so that an engine can tell.
func (t *Table) Apply(r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	if r.GetName() == "" || r.GetHolder() == "" || r.GetIncarnation() == "" || r.GetDurationMs() > maxDurationMs {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "a lease names what it is for, its holder and incarnation, and lasts at most %d ms", maxDurationMs)
	}
	current := t.leases[r.GetName()]
	if current == nil && t.fencingFloor > 0 {
		// The lost majority may have granted it: it must run out there first.
		current = t.recoveryEntry(r.GetName(), 0)
		t.leases[r.GetName()] = current
	}
	if current == nil {
		current = &lilacv1.LeaseEntry{Name: r.GetName()}
	}
	isHolder := current.GetHolder() == r.GetHolder() && current.GetIncarnation() == r.GetIncarnation()
	free := current.GetHolder() == "" || r.GetExpiredRenewal() != 0 && current.GetRenewal() == r.GetExpiredRenewal()
	if r.GetDurationMs() == 0 {
		return t.release(current, isHolder), nil
	}
	if !isHolder && !free {
		return reply(current, false), nil
	}
	next := &lilacv1.LeaseEntry{
		Name: r.GetName(), Holder: r.GetHolder(), Incarnation: r.GetIncarnation(),
		Fencing: current.GetFencing(), DurationMs: r.GetDurationMs(), Renewal: current.GetRenewal() + 1,
	}
	if !isHolder {
		next.Fencing++
	}
	t.leases[r.GetName()] = next
	return reply(next, true), nil
}

func (t *Table) release(current *lilacv1.LeaseEntry, isHolder bool) *lilacv1.LeaseReply {
	if isHolder {
		current = &lilacv1.LeaseEntry{Name: current.GetName(), Fencing: current.GetFencing(), Renewal: current.GetRenewal() + 1}
		t.leases[current.GetName()] = current
	}
	return reply(current, false)
}

func reply(e *lilacv1.LeaseEntry, granted bool) *lilacv1.LeaseReply {
	return &lilacv1.LeaseReply{
		Granted: granted, Holder: e.GetHolder(), Incarnation: e.GetIncarnation(),
		Fencing: e.GetFencing(), DurationMs: e.GetDurationMs(), Renewal: e.GetRenewal(),
	}
}

// Get returns the named lease, nil if it was never held.
func (t *Table) Get(name string) *lilacv1.LeaseEntry { return t.leases[name] }

// All returns the leases in order of name.
func (t *Table) All() []*lilacv1.LeaseEntry {
	list := make([]*lilacv1.LeaseEntry, 0, len(t.leases))
	for _, name := range slices.Sorted(maps.Keys(t.leases)) {
		list = append(list, t.leases[name])
	}
	return list
}

// Snapshot returns all that Restore needs.
func (t *Table) Snapshot() *lilacv1.LeaseSnapshot {
	return &lilacv1.LeaseSnapshot{Leases: t.All(), FencingFloor: t.fencingFloor}
}

// Restore replaces the whole state.
func (t *Table) Restore(s *lilacv1.LeaseSnapshot) {
	t.fencingFloor = s.GetFencingFloor()
	t.leases = make(map[string]*lilacv1.LeaseEntry)
	for _, e := range s.GetLeases() {
		t.leases[e.GetName()] = e
	}
}
