package state

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// DefaultKeyMargin is how far ahead callers' clocks may be: as far as the ledger
// takes keys that carry a time.
const DefaultKeyMargin = time.Hour

const (
	// voterTimeout bounds the question whether a voter taken for lost still runs.
	voterTimeout = 2 * time.Second
	// entryTimeout bounds the transfer of an entry's configuration.
	entryTimeout = 30 * time.Second
)

// RecoverOptions say how a data folder becomes the first voter of a new group.
type RecoverOptions struct {
	// Folder is the surviving data folder; no process may run on it.
	Folder wal.Folder
	// AuditRetention and Limits are those of the group.
	AuditRetention int
	Limits         ledger.Limits
	// KeyMargin is how far the clocks that make timed keys may be ahead.
	KeyMargin time.Duration
	// Entries are the link addresses of entries, which are asked for revisions
	// that only the lost voters had synced. One that does not answer stops the recovery.
	Entries []string
	// Dial returns the caller for an address.
	Dial func(address string) link.Caller
	// Who stands in the audit trail.
	Who string
	// Confirm makes the change; without it nothing is written.
	Confirm bool
	// Random draws fresh bits for identity and group; Now is the wall clock.
	Random func() uint64
	Now    func() time.Time
}

// Recovery tells what a recovery found and did, or would do.
type Recovery struct {
	// Identity and Group are those of the folder as it was found.
	Identity, Group string
	// LastIndex and LastTerm are those of the last entry; compare them between survivors.
	LastIndex, LastTerm uint64
	// Revision is the newest one of the folder, EntryRevision that of the entries.
	Revision, EntryRevision uint64
	// Adopted is true if the entries' configuration takes the place of the folder's.
	Adopted bool
	// Diverged is true if the folder's newest revisions were never accepted.
	Diverged bool
	Keys     int
	// OpenClaims become unknown.
	OpenClaims int
	// Lost are the names of the voters that are given up.
	Lost []string
	// NewGroup and NewRevision come into force.
	NewGroup    string
	NewRevision uint64
	// TimedKeysFrom is the earliest time that a key may carry to be taken,
	// UntimedKeysFrom when keys without a time are taken again.
	TimedKeysFrom, UntimedKeysFrom time.Time
	// Done is true once the folder has been changed.
	Done bool
}

// Recover turns the folder of a voter that survived the loss of a majority into
// the first voter of a new group, or tells what that would do.
func Recover(ctx context.Context, o RecoverOptions) (*Recovery, error) {
	held, err := fetchNewestConfig(ctx, o)
	if err != nil {
		return nil, err
	}
	if !o.Confirm {
		state, err := wal.Read(o.Folder)
		if err != nil {
			return nil, err
		}
		plan, err := newRecoveryPlan(ctx, o, state, held)
		if err != nil {
			return nil, err
		}
		return plan.report, nil
	}
	store, state, err := wal.Open(o.Folder, wal.Options{})
	if err != nil {
		return nil, err
	}
	defer store.Close()
	plan, err := newRecoveryPlan(ctx, o, state, held)
	if err != nil {
		return nil, err
	}
	data, err := plan.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	plan.meta.Size = uint64(len(data))
	if err := store.Recover(plan.hard, plan.meta, data); err != nil {
		return nil, err
	}
	plan.report.Done = true
	return plan.report, nil
}

// recoveryPlan is the new content of the folder.
type recoveryPlan struct {
	machine *Machine
	hard    *lilacv1.RaftHardState
	meta    *lilacv1.RaftSnapshotMeta
	report  *Recovery
}

func newRecoveryPlan(ctx context.Context, o RecoverOptions, state *wal.State, held *entryConfig) (*recoveryPlan, error) {
	members, err := folderMembers(o.Folder, state)
	if err != nil {
		return nil, err
	}
	p := &recoveryPlan{machine: NewMachine(o.AuditRetention, o.Limits), report: &Recovery{Identity: state.Hard.GetId(), Group: state.Hard.GetGroup()}}
	p.setLineage(o, state, members)
	if len(p.report.Lost) == 0 {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "group "+p.report.Group+" has no other voter, so nothing is lost; start the process on this folder")
	}
	if err := p.checkLostVoters(ctx, o.Dial); err != nil {
		return nil, err
	}
	found, err := p.machine.replay(state, held.snapshot)
	if err != nil {
		return nil, err
	}
	if err := p.adoptEntryConfig(ctx, held, found); err != nil {
		return nil, err
	}
	p.finish(o, max(found.revision, held.snapshot.GetRevision()))
	return p, nil
}

// setLineage gives the new group its number, terms after all old ones and members.
func (p *recoveryPlan) setLineage(o RecoverOptions, state *wal.State, members *lilacv1.RaftMembers) {
	old, r := state.Hard, p.report
	r.LastIndex, r.LastTerm = state.Snapshot.GetIndex(), state.Snapshot.GetTerm()
	if n := len(state.Entries); n > 0 {
		r.LastIndex, r.LastTerm = state.Entries[n-1].GetIndex(), state.Entries[n-1].GetTerm()
	}
	id := fmt.Sprintf("%016x", o.Random())
	r.NewGroup = fmt.Sprintf("%016x", o.Random())
	p.hard = &lilacv1.RaftHardState{Id: id, Group: r.NewGroup, Term: max(old.GetTerm(), r.LastTerm) + 1, Former: append(slices.Clone(old.GetFormer()), old.GetGroup())}
	p.meta = &lilacv1.RaftSnapshotMeta{Index: r.LastIndex + 1, Term: p.hard.GetTerm(), Members: &lilacv1.RaftMembers{}}
	for _, member := range members.GetMembers() {
		kept := proto.CloneOf(member)
		switch {
		case member.GetId() == old.GetId():
			kept.Id, kept.Voter, kept.Replaces = id, true, ""
		case member.GetVoter():
			// Its name stays taken: an empty process under it becomes a voter by itself.
			kept.Voter, kept.Replaces = false, member.GetId()
			r.Lost = append(r.Lost, member.GetName())
		case member.GetReplaces() == "":
			continue
		}
		p.meta.Members.Members = append(p.meta.Members.Members, kept)
	}
}

// checkLostVoters refuses while a process that is to be given up still runs with a log.
//
// It guards against an operator who takes a data centre that is cut off for
// lost, or recovers a second survivor: two groups would serve one fleet. It
// holds as far as this process reaches the others; see the note for the rest.
func (p *recoveryPlan) checkLostVoters(ctx context.Context, dial func(string) link.Caller) error {
	for _, member := range p.meta.GetMembers().GetMembers() {
		if member.GetVoter() {
			continue
		}
		asked, cancel := context.WithTimeout(ctx, voterTimeout)
		status := &lilacv1.StateStatus{}
		err := dial(member.GetAddress()).Call(asked, "state.status", &lilacv1.StateStatusRequest{}, status)
		cancel()
		if err == nil && status.GetGroup() != "" {
			return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "state process %s at %s runs and belongs to group %s; if a majority can be brought back there is nothing to recover, else stop it and move its data folder away",
				member.GetName(), member.GetAddress(), status.GetGroup())
		}
	}
	return nil
}

func (p *recoveryPlan) adoptEntryConfig(ctx context.Context, held *entryConfig, found *replayResult) error {
	r := p.report
	r.Revision, r.EntryRevision = found.revision, held.snapshot.GetRevision()
	switch {
	case held.snapshot.GetRecoveries() > p.machine.Recoveries():
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "the entries already follow a group that was recovered from this folder's; move the folder away and start with an empty one")
	case held.snapshot.GetRecoveries() < p.machine.Recoveries():
		return nil
	}
	r.Diverged = found.diverged
	r.Adopted = found.diverged || r.EntryRevision > r.Revision
	if !r.Adopted {
		return nil
	}
	keep := found.revision
	if found.diverged {
		keep = found.committed
	}
	p.machine.config.Adopt(held.snapshot, keep, held.revisionsAfter(ctx, keep))
	return nil
}

// finish brings ledger, leases and audit trail past all that was lost.
func (p *recoveryPlan) finish(o RecoverOptions, taken uint64) {
	r, now := p.report, o.Now()
	counts := p.machine.Counts()
	r.Keys, r.OpenClaims = counts.Claims, counts.OpenClaims
	statement := fmt.Sprintf("RECOVER group %s as %s from index %d of term %d; lost voters %v", r.Group, r.NewGroup, r.LastIndex, r.LastTerm, r.Lost)
	r.NewRevision = p.machine.config.Recover(taken, o.Who, statement, "recovery-"+r.NewGroup, now.UnixMilli()).GetNumber()
	p.machine.leases.Recover()
	timed, untimed := p.machine.ledger.Recover(now.UnixMilli(), o.KeyMargin)
	r.TimedKeysFrom, r.UntimedKeysFrom = time.UnixMilli(timed).UTC(), time.UnixMilli(untimed).UTC()
}
