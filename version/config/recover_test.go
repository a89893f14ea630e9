package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

func classProposal(n int) *lilacv1.Proposal {
	change := &lilacv1.Change{Op: &lilacv1.Change_SetClass{SetClass: &lilacv1.Class{Name: fmt.Sprint("class-", n), FirstTokenMs: 420}}}
	return &lilacv1.Proposal{CommandId: fmt.Sprint(n), Who: "awa", Statement: fmt.Sprint("SET CLASS class-", n), Changes: []*lilacv1.Change{change}}
}

func machineWith(from, to int) *Machine {
	m := NewMachine(0)
	for n := from; n <= to; n++ {
		m.Apply(classProposal(n))
	}
	return m
}

// The lost majority assigned number 4 to a change that only a partitioned entry instance
// holds. That instance must switch to the recovered group's configuration, and number
// 4 must never be assigned to another change.
func TestEntryAheadOfRecoveredLogCatchesUp(t *testing.T) {
	is := is.New(t)
	entry := NewFollower()
	is.NoErr(entry.Load(machineWith(1, 4).Config()))

	m := machineWith(1, 3)
	m.Recover(0, "awa", "RECOVER", "recovery-h", 1)
	result := m.Apply(classProposal(9))
	is.Equal(result.GetPropose().GetRevision(), uint64(3+RecoveryGap+1))
	_, held := m.Since(entry.Revision(), 10)
	is.True(!held) // A snapshot is required; revisions do not suffice.
	is.NoErr(entry.Load(m.Config()))
	is.Equal(entry.Current().Recoveries, uint32(1))

	// The old group's configuration is rejected, however high its number.
	old := machineWith(1, 4).Config()
	old.Revision = 10 * RecoveryGap
	is.True(fault.Is(entry.Load(old), lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
}

func TestAuditTrailContinuesAcrossRecoveryGap(t *testing.T) {
	is := is.New(t)
	m := machineWith(1, 3)
	m.Recover(0, "awa", "RECOVER group g", "recovery-h", 1)
	m.Apply(classProposal(9))
	restored := NewMachine(0)
	restored.Restore(m.Snapshot())
	var statements []string
	for _, revision := range restored.Audit(0, 10) {
		statements = append(statements, revision.GetStatement())
	}
	is.Equal(statements, []string{"SET CLASS class-9", "RECOVER group g", "SET CLASS class-3", "SET CLASS class-2", "SET CLASS class-1"})
	is.Equal(restored.Audit(3+RecoveryGap, 2)[1].GetNumber(), uint64(3))
	is.Equal(restored.Audit(5, 1)[0].GetNumber(), uint64(3))
	revisions, held := restored.Since(1, 10)
	is.True(held)
	is.Equal(len(revisions), 2)
	is.Equal(restored.Recoveries(), uint32(1))
	// A command accepted before the loss and resent is not applied again.
	is.True(restored.Apply(classProposal(2)).GetPropose().GetRepeatedCommand())
}

// The survivor's own revision 3 was never accepted. The accepted revision 3 is another
// change, which an entry instance holds.
func TestAdoptReplacesUnacceptedRevisions(t *testing.T) {
	is := is.New(t)
	accepted := machineWith(1, 2)
	accepted.Apply(classProposal(7))
	m := machineWith(1, 3)
	tail, _ := accepted.Since(2, 10)
	m.Adopt(accepted.Config(), 2, tail)
	is.Equal(m.Revision(), uint64(3))
	is.Equal(m.Audit(0, 1)[0].GetStatement(), "SET CLASS class-7")
	is.Equal(len(m.Audit(0, 10)), 3)
	is.Equal(len(m.Config().GetClasses()), 3)
}
