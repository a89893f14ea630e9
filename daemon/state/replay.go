package state

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// replayResult is the result of replaying a folder's snapshot and log entries.
type replayResult struct {
	// committed is the revision of the snapshot, which is certain to be accepted;
	// revision is the newest one.
	committed, revision uint64
	// diverged is true if the folder has different content than the entries under the
	// same revision number.
	diverged bool
}

// replay applies the folder's snapshot and all its log entries. That includes entries not
// known to be committed, because a caller may have been told of their result.
//
// Entry instances hold accepted revisions only. If accepted, their configuration, has
// different content under a revision number that the folder has too, the last log entries
// of the folder were written by a leader without a quorum and were never accepted.
func (m *Machine) replay(state *wal.State, accepted *lilacv1.Snapshot) (*replayResult, error) {
	if state.Snapshot.GetSize() > 0 {
		if err := m.Restore(state.SnapshotData); err != nil {
			return nil, err
		}
	}
	result := &replayResult{committed: m.Revision()}
	for _, entry := range state.Entries {
		before := m.Revision()
		if entry.GetKind() == lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND {
			m.Apply(entry.GetIndex(), entry.GetData())
		}
		if m.Revision() != before && m.Revision() == accepted.GetRevision() {
			result.diverged = !proto.Equal(m.Config(), accepted)
		}
	}
	result.revision = m.Revision()
	return result, nil
}

// folderMembers returns the newest members in the folder, or an error if the folder is
// not that of a voter.
func folderMembers(folder wal.Folder, state *wal.State) (*lilacv1.RaftMembers, error) {
	refuse := func(reason string) (*lilacv1.RaftMembers, error) {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "data folder "+folder.Path()+" "+reason)
	}
	if state.Hard.GetGroup() == "" {
		return refuse("belongs to no group; specify the folder of a surviving voter")
	}
	if by := state.Hard.GetReplacedBy(); by != "" {
		return refuse("was replaced by the recovered group " + by + "; move it away and start with an empty folder")
	}
	members := state.Snapshot.GetMembers()
	for _, entry := range state.Entries {
		if entry.GetKind() != lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
			continue
		}
		members = &lilacv1.RaftMembers{}
		if err := proto.Unmarshal(entry.GetData(), members); err != nil {
			return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "failed to decode members; run the version that wrote the folder")
		}
	}
	own := slices.IndexFunc(members.GetMembers(), func(m *lilacv1.RaftMember) bool { return m.GetId() == state.Hard.GetId() })
	if own < 0 || !members.GetMembers()[own].GetVoter() {
		return refuse("is not that of a voter, so it may lack accepted changes; specify the folder of a surviving voter")
	}
	return members, nil
}

// entryConfig is the newest configuration held by the entries, and the entry that it was
// read from. Without entries, both are nil.
type entryConfig struct {
	snapshot *lilacv1.Snapshot
	entry    link.Caller
}

// fetchNewestConfig returns the newest configuration of o.Entries. It fails if an entry
// does not answer or if two entries disagree about a revision.
func fetchNewestConfig(ctx context.Context, o RecoverOptions) (*entryConfig, error) {
	newest := &entryConfig{}
	for _, address := range o.Entries {
		entry := o.Dial(address)
		callCtx, cancel := context.WithTimeout(ctx, entryTimeout)
		snapshot, err := spreadlink.FetchConfig(callCtx, entry)
		cancel()
		if err != nil {
			return nil, fault.Wrap(err, fault.KindOf(err), "failed to read the configuration of entry "+address+"; make it reachable again, or leave it out if it is lost")
		}
		same := snapshot.GetRevision() == newest.snapshot.GetRevision() && snapshot.GetRecoveries() == newest.snapshot.GetRecoveries()
		if newest.entry != nil && same && !proto.Equal(snapshot, newest.snapshot) {
			return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "entry %s holds revision %d with different content than another entry: two groups served this fleet; restart the entries that followed the wrong one", address, snapshot.GetRevision())
		}
		if newest.entry == nil || newer(snapshot, newest.snapshot) {
			newest.snapshot, newest.entry = snapshot, entry
		}
	}
	return newest, nil
}

func newer(a, b *lilacv1.Snapshot) bool {
	if a.GetRecoveries() != b.GetRecoveries() {
		return a.GetRecoveries() > b.GetRecoveries()
	}
	return a.GetRevision() > b.GetRevision()
}

// revisionsAfter returns the revisions after have, for the audit trail; none if the entry
// no longer holds them one by one.
func (h *entryConfig) revisionsAfter(ctx context.Context, have uint64) []*lilacv1.Revision {
	if h.entry == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	revisions, err := spreadlink.FetchRevisions(ctx, h.entry, have, h.snapshot.GetRevision())
	if err != nil {
		return nil
	}
	return revisions
}

// Recoveries returns how many times the group was recovered from a lost majority.
func (m *Machine) Recoveries() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Recoveries()
}

// checkRecoveries refuses commands from instances that know a newer, recovered group.
//
// Lost voters may return with their old disks and form a quorum without contact to the
// recovered group. An entry that reaches both groups could then claim the same key twice.
// Entries therefore send the number of recoveries that they know with each command. The
// caller holds mu.
func (m *Machine) checkRecoveries(c *lilacv1.Command) error {
	known := max(c.GetPropose().GetRecoveries(), c.GetClaim().GetRecoveries(), c.GetLease().GetRecoveries())
	if known <= m.config.Recoveries() {
		return nil
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this group of state processes was replaced by a recovered one; stop the process and move its data folder away",
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}
