// Package lease implements the deterministic state machine of leases with fencing
// tokens, and the holder's own check of its lease.
//
// The log contains no time. The holder, fencing token and duration of a lease are
// replicated; whether it has expired is decided by the leader's monotonic clock,
// counted from the last renewal that the leader applied.
package lease

import (
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// maxDurationMs is the longest lease in milliseconds.
const maxDurationMs = 60_000

// Table holds all leases. It is not safe for concurrent use.
type Table struct {
	leases map[string]*lilacv1.LeaseEntry
	// fencingFloor is the fencing token set by the last recovery; 0 without one.
	fencingFloor uint64
}

// NewTable returns a Table without leases.
func NewTable() *Table { return &Table{leases: make(map[string]*lilacv1.LeaseEntry)} }

// Apply acquires, renews or releases a lease.
//
// Two holders must not both issue orders. A second holder is granted the lease only
// if the renewal that it names as expired is still the last one, and each new term
// gets a fencing token greater than all before, so that an engine can tell them
// apart.
func (t *Table) Apply(r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	if r.GetName() == "" || r.GetHolder() == "" || r.GetIncarnation() == "" || r.GetDurationMs() > maxDurationMs {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "a lease names what it is for, its holder and incarnation, and lasts at most %d ms", maxDurationMs)
	}
	current := t.leases[r.GetName()]
	if current == nil && t.fencingFloor > 0 {
		// The lost majority may have granted the lease; it must expire first.
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

// Snapshot returns the whole state, for Restore.
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
