package usage

import (
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// maxUnacknowledged bounds the windows that wait for a platform that is down.
	maxUnacknowledged = 4096
	// maxCheckpoints bounds the instances whose last counts are kept.
	maxCheckpoints = 4096
)

// Table is the replicated state: which windows are closed, with which counts, and which of
// them the platform has acknowledged. It is not safe for concurrent use.
//
// A window is closed once, and only its closed counts are sent. So two reports of one
// window can't differ, whoever sends them.
type Table struct{ state *lilacv1.UsageSnapshot }

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{state: &lilacv1.UsageSnapshot{}} }

// Apply applies a command. A command that has been applied before changes nothing.
func (t *Table) Apply(c *lilacv1.UsageCommand) {
	// Snapshots share the state's messages, so a change starts with a copy.
	t.state = t.Snapshot()
	switch op := c.GetOp().(type) {
	case *lilacv1.UsageCommand_Checkpoint:
		t.checkpoint(op.Checkpoint)
	case *lilacv1.UsageCommand_Close:
		t.close(op.Close)
	case *lilacv1.UsageCommand_Acknowledged:
		t.state.Unacknowledged = slices.DeleteFunc(slices.Clone(t.state.GetUnacknowledged()),
			func(w *lilacv1.WindowUsage) bool { return w.GetWindow() <= op.Acknowledged })
	}
}

func (t *Table) close(window *lilacv1.WindowUsage) {
	if window.GetWindow() <= t.state.GetClosedWindow() {
		return
	}
	t.state.ClosedWindow, t.state.Recovered = window.GetWindow(), false
	pending := append(slices.Clone(t.state.GetUnacknowledged()), window)
	if excess := len(pending) - maxUnacknowledged; excess > 0 {
		t.state.Dropped += uint64(excess)
		pending = pending[excess:]
	}
	t.state.Unacknowledged = pending
	t.dropClosedCheckpoints()
}

// checkpoint replaces the earlier one of the same incarnation, whose counts it includes.
func (t *Table) checkpoint(c *lilacv1.UsageCheckpoint) {
	kept := slices.DeleteFunc(slices.Clone(t.state.GetCheckpoints()), func(old *lilacv1.UsageCheckpoint) bool {
		return old.GetIncarnation() == c.GetIncarnation()
	})
	kept = append(kept, c)
	t.state.Checkpoints = kept[max(0, len(kept)-maxCheckpoints):]
	t.dropClosedCheckpoints()
}

func (t *Table) dropClosedCheckpoints() {
	t.state.Checkpoints = slices.DeleteFunc(slices.Clone(t.state.GetCheckpoints()), func(c *lilacv1.UsageCheckpoint) bool {
		return !slices.ContainsFunc(c.GetWindows(), func(w *lilacv1.WindowUsage) bool { return w.GetWindow() > t.state.GetClosedWindow() })
	})
}

// State is what the leader needs to know of a Table. Its messages must not be modified.
type State struct {
	// Closed is the last closed window; 0 if none was closed.
	Closed int64
	// Unacknowledged are the closed windows that the platform has not acknowledged, oldest
	// first.
	Unacknowledged []*lilacv1.WindowUsage
	// Checkpoints are the counts of instances that no longer report.
	Checkpoints []*lilacv1.UsageCheckpoint
	// Dropped is the number of windows that were dropped without an acknowledgement.
	Dropped uint64
	// Recovered is true if a lost majority may have closed windows that are missing here.
	Recovered bool
}

// State returns the current state.
func (t *Table) State() State {
	return State{
		Closed: t.state.GetClosedWindow(), Unacknowledged: t.state.GetUnacknowledged(),
		Checkpoints: t.state.GetCheckpoints(), Dropped: t.state.GetDropped(), Recovered: t.state.GetRecovered(),
	}
}

// Snapshot returns the whole state, for Restore.
func (t *Table) Snapshot() *lilacv1.UsageSnapshot {
	return &lilacv1.UsageSnapshot{
		ClosedWindow: t.state.GetClosedWindow(), Unacknowledged: t.state.GetUnacknowledged(),
		Checkpoints: t.state.GetCheckpoints(), Dropped: t.state.GetDropped(), Recovered: t.state.GetRecovered(),
	}
}

// Restore replaces the whole state.
func (t *Table) Restore(s *lilacv1.UsageSnapshot) {
	if s == nil {
		s = &lilacv1.UsageSnapshot{}
	}
	t.state = s
}

// Recover makes the table safe after the loss of a majority, which may have closed windows
// that are missing here and sent their counts: the next window to be closed is one that
// ends after the recovery.
func (t *Table) Recover() {
	t.state = t.Snapshot()
	t.state.Recovered = true
}
