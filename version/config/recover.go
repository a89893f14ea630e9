package config

import (
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// RecoveryGap is how far a recovery advances the revision number. It exceeds the number
// of revisions that a lost majority can have accepted without the survivor or any
// entry instance knowing.
const RecoveryGap = 1_000_000

// Recoveries returns how often the configuration was recovered after a lost majority.
func (m *Machine) Recoveries() uint32 { return m.tables.recoveries }

// Adopt replaces the configuration by a newer one that an entry instance holds. The
// audit trail keeps the revisions up to number keep, followed by tail: the later
// revisions, as far as the entry instance still holds them.
func (m *Machine) Adopt(s *lilacv1.Snapshot, keep uint64, tail []*lilacv1.Revision) {
	kept := slices.DeleteFunc(m.audit.all(), func(r *lilacv1.Revision) bool { return r.GetNumber() > keep })
	m.audit = newHistory(m.audit.retention)
	for _, revision := range slices.Concat(kept, tail) {
		m.audit.add(revision)
	}
	m.tables = newTables()
	m.tables.load(s)
}

// Recover records a recovery from a lost majority as a revision after a gap in the
// numbers, and returns it. above is the highest revision number known to be in use.
//
// The gap ensures that no number is reused for a revision that differs from the one
// the lost majority gave it. An entry instance that holds that revision would never
// accept the new one and would stay ahead of the log. Numbers in the gap are never
// assigned.
func (m *Machine) Recover(above uint64, who, statement, command string, nowUnixMs int64) *lilacv1.Revision {
	m.tables.recoveries++
	m.loseVersions()
	m.tables.revision = max(m.tables.revision, above) + RecoveryGap
	revision := &lilacv1.Revision{Number: m.tables.revision, CommandId: command, Who: who, Statement: statement, ProposedUnixMs: nowUnixMs}
	m.audit.add(revision)
	return revision
}

// loseVersions adds the versions that only the lost majority may have known. Otherwise an instance
// could take those that are left for all there were.
func (m *Machine) loseVersions() {
	lost := &lilacv1.ServiceVersion{Lost: true, State: lilacv1.VersionState_VERSION_STATE_LEAVING}
	m.tables.versions[versionKeyOf(lost)] = lost
}
