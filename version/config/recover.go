package config

import (
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// RecoveryGap is how far a recovery moves the revision's number. It is more
// than a lost majority can have accepted without the survivor or any entry
// knowing.
const RecoveryGap = 1_000_000

// Recoveries tells how often the configuration went through a recovery.
func (m *Machine) Recoveries() uint32 { return m.tables.recoveries }

// Adopt takes over a newer configuration that an entry holds. Of the own audit
// trail it keeps the revisions up to keep; tail are those after it, as far as
// the entry still has them.
func (m *Machine) Adopt(s *lilacv1.Snapshot, keep uint64, tail []*lilacv1.Revision) {
	kept := slices.DeleteFunc(m.audit.all(), func(r *lilacv1.Revision) bool { return r.GetNumber() > keep })
	m.audit = newTrail(m.audit.retention)
	for _, revision := range slices.Concat(kept, tail) {
		m.audit.add(revision)
	}
	m.tables = newTables()
	m.tables.load(s)
}

// Recover notes a recovery from a lost majority as a revision of its own, after
// a gap of numbers, and returns it. above is the highest number known to be taken.
//
// It guards against a number that is given to another content than the lost
// majority gave it: an entry that holds that one would never take the new one,
// and be stuck ahead of the log. It holds because no number in the gap is given.
func (m *Machine) Recover(above uint64, who, statement, command string, nowUnixMs int64) *lilacv1.Revision {
	m.tables.recoveries++
	m.tables.revision = max(m.tables.revision, above) + RecoveryGap
	revision := &lilacv1.Revision{Number: m.tables.revision, CommandId: command, Who: who, Statement: statement, ProposedUnixMs: nowUnixMs}
	m.audit.add(revision)
	return revision
}
