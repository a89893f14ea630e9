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

// DefaultKeyMargin is how far ahead callers' clocks may be. It equals the tolerance of
// the ledger for idempotency keys that contain a time.
const DefaultKeyMargin = time.Hour

const (
	// voterTimeout bounds the check whether a voter considered lost is still running.
	voterTimeout = 2 * time.Second
	// entryTimeout bounds the transfer of an entry's configuration.
	entryTimeout = 30 * time.Second
)

// RecoverOptions configure Recover.
type RecoverOptions struct {
	// Folder is the surviving data folder; no process may be using it.
	Folder wal.Folder
	// AuditRetention and Limits must be those of the group.
	AuditRetention int
	Limits         ledger.Limits
	// KeyMargin is how far the clocks of callers that generate timed keys may be ahead.
	KeyMargin time.Duration
	// Entries are the link addresses of entries, which may hold revisions that only the
	// lost voters had synced. The recovery fails if one of them does not answer.
	Entries []string
	// Dial returns the caller for an address.
	Dial func(address string) link.Caller
	// Who is recorded in the audit trail as the author of the recovery.
	Who string
	// Confirm applies the recovery; without it nothing is written.
	Confirm bool
	// Random returns random bits for the new identity and group; Now is the wall clock.
	Random func() uint64
	Now    func() time.Time
}

// Recovery reports what a recovery found and did, or would do without Confirm.
type Recovery struct {
	// Identity and Group are those of the folder before the recovery.
	Identity, Group string
	// LastIndex and LastTerm are those of the last log entry. With several survivors,
	// compare them to find the most recent log.
	LastIndex, LastTerm uint64
	// Revision is the newest revision in the folder, EntryRevision that of the entries.
	Revision, EntryRevision uint64
	// Adopted is true if the entries' configuration replaces the folder's.
	Adopted bool
	// Diverged is true if the folder's newest revisions were never accepted.
	Diverged bool
	Keys     int
	// OpenClaims is how many claims had no outcome; their outcome becomes unknown.
	OpenClaims int
	// Lost are the names of the voters removed as lost.
	Lost []string
	// NewGroup and NewRevision are the group and revision in force after the recovery.
	NewGroup    string
	NewRevision uint64
	// TimedKeysFrom is the earliest time that an accepted timed key may contain,
	// UntimedKeysFrom when keys without a time are accepted again.
	TimedKeysFrom, UntimedKeysFrom time.Time
	// Done is true once the folder has been changed.
	Done bool
}

// Recover turns the data folder of a voter that survived the loss of a majority into the
// first voter of a new group, or reports what that would do.
func Recover(ctx context.Context, o RecoverOptions) (*Recovery, error) {
	fromEntries, err := fetchNewestConfig(ctx, o)
	if err != nil {
		return nil, err
	}
	if !o.Confirm {
		state, err := wal.Read(o.Folder)
		if err != nil {
			return nil, err
		}
		plan, err := newRecoveryPlan(ctx, o, state, fromEntries)
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
	plan, err := newRecoveryPlan(ctx, o, state, fromEntries)
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

func newRecoveryPlan(ctx context.Context, o RecoverOptions, state *wal.State, fromEntries *entryConfig) (*recoveryPlan, error) {
	members, err := folderMembers(o.Folder, state)
	if err != nil {
		return nil, err
	}
	p := &recoveryPlan{machine: NewMachine(o.AuditRetention, o.Limits), report: &Recovery{Identity: state.Hard.GetId(), Group: state.Hard.GetGroup()}}
	p.setLineage(o, state, members)
	if len(p.report.Lost) == 0 {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "group "+p.report.Group+" has no other voter, so no recovery is needed; start the process on this folder")
	}
	if err := p.checkLostVoters(ctx, o.Dial); err != nil {
		return nil, err
	}
	replayed, err := p.machine.replay(state, fromEntries.snapshot)
	if err != nil {
		return nil, err
	}
	if err := p.adoptEntryConfig(ctx, fromEntries, replayed); err != nil {
		return nil, err
	}
	p.finish(o, max(replayed.revision, fromEntries.snapshot.GetRevision()))
	return p, nil
}

// setLineage sets the identity and members of the new group, and a term above all old
// ones. The old group is appended to the former groups.
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
			// The name stays in the group, so that a process with that name and an empty
			// folder becomes a voter automatically.
			kept.Voter, kept.Replaces = false, member.GetId()
			r.Lost = append(r.Lost, member.GetName())
		case member.GetReplaces() == "":
			continue
		}
		p.meta.Members.Members = append(p.meta.Members.Members, kept)
	}
}

// checkLostVoters returns an error if a process to be removed is running and belongs to a
// group.
//
// Otherwise, an operator who mistakes an unreachable data centre for a lost one, or who
// recovers a second survivor, would create two groups that serve one fleet. The check
// covers only processes that are reachable from here.
func (p *recoveryPlan) checkLostVoters(ctx context.Context, dial func(string) link.Caller) error {
	for _, member := range p.meta.GetMembers().GetMembers() {
		if member.GetVoter() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, voterTimeout)
		status := &lilacv1.StateStatus{}
		err := dial(member.GetAddress()).Call(callCtx, "state.status", &lilacv1.StateStatusRequest{}, status)
		cancel()
		if err == nil && status.GetGroup() != "" {
			return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "state process %s at %s is running and belongs to group %s; if a majority can be restored, no recovery is needed, otherwise stop it and move its data folder away",
				member.GetName(), member.GetAddress(), status.GetGroup())
		}
	}
	return nil
}

// adoptEntryConfig replaces the folder's configuration by the entries' if the entries hold
// a newer revision or the folder's newest revisions were never accepted.
func (p *recoveryPlan) adoptEntryConfig(ctx context.Context, fromEntries *entryConfig, replayed *replayResult) error {
	r := p.report
	r.Revision, r.EntryRevision = replayed.revision, fromEntries.snapshot.GetRevision()
	switch {
	case fromEntries.snapshot.GetRecoveries() > p.machine.Recoveries():
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "the entries already follow a group that was recovered from this folder's; move the folder away and start with an empty one")
	case fromEntries.snapshot.GetRecoveries() < p.machine.Recoveries():
		return nil
	}
	r.Diverged = replayed.diverged
	r.Adopted = replayed.diverged || r.EntryRevision > r.Revision
	if !r.Adopted {
		return nil
	}
	keep := replayed.revision
	if replayed.diverged {
		keep = replayed.committed
	}
	p.machine.config.Adopt(fromEntries.snapshot, keep, fromEntries.revisionsAfter(ctx, keep))
	return nil
}

// finish moves ledger, leases and revision numbers beyond everything that may have been
// lost. lastRevision is the highest revision number in use.
func (p *recoveryPlan) finish(o RecoverOptions, lastRevision uint64) {
	r, now := p.report, o.Now()
	counts := p.machine.Counts()
	r.Keys, r.OpenClaims = counts.Claims, counts.OpenClaims
	statement := fmt.Sprintf("RECOVER group %s as %s from index %d of term %d; lost voters %v", r.Group, r.NewGroup, r.LastIndex, r.LastTerm, r.Lost)
	r.NewRevision = p.machine.config.Recover(lastRevision, o.Who, statement, "recovery-"+r.NewGroup, now.UnixMilli()).GetNumber()
	p.machine.leases.Recover()
	p.machine.usage.Recover()
	timed, untimed := p.machine.ledger.Recover(now.UnixMilli(), o.KeyMargin)
	r.TimedKeysFrom, r.UntimedKeysFrom = time.UnixMilli(timed).UTC(), time.UnixMilli(untimed).UTC()
}
