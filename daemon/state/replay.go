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

// replayResult is what a folder's snapshot and entries gave.
type replayResult struct {
	// committed is the revision of the snapshot, which is surely accepted.
	committed, revision uint64
	// diverged is true if the folder gave a revision of the entries another content.
	diverged bool
}

// replay applies all that the folder holds, the entries too that may never have
// been committed: one of them may have been the last that a caller was told of.
//
// An entry holds accepted revisions only. Where it holds another content under a
// number that the folder has too, the folder's end was written by a leader that
// had lost its quorum, and was never accepted.
func (m *Machine) replay(state *wal.State, held *lilacv1.Snapshot) (*replayResult, error) {
	if state.Snapshot.GetSize() > 0 {
		if err := m.Restore(state.SnapshotData); err != nil {
			return nil, err
		}
	}
	found := &replayResult{committed: m.Revision()}
	for _, entry := range state.Entries {
		before := m.Revision()
		if entry.GetKind() == lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND {
			m.Apply(entry.GetIndex(), entry.GetData())
		}
		if m.Revision() != before && m.Revision() == held.GetRevision() {
			found.diverged = !proto.Equal(m.Config(), held)
		}
	}
	found.revision = m.Revision()
	return found, nil
}

// folderMembers returns the newest members that the folder knows, if it is a voter's.
func folderMembers(folder wal.Folder, state *wal.State) (*lilacv1.RaftMembers, error) {
	refuse := func(reason string) (*lilacv1.RaftMembers, error) {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "data folder "+folder.Path()+" "+reason)
	}
	if state.Hard.GetGroup() == "" {
		return refuse("belongs to no group; name the folder of a voter that survived")
	}
	if by := state.Hard.GetReplacedBy(); by != "" {
		return refuse("was replaced by the recovered group " + by + "; move it away and start with an empty one")
	}
	members := state.Snapshot.GetMembers()
	for _, entry := range state.Entries {
		if entry.GetKind() != lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
			continue
		}
		members = &lilacv1.RaftMembers{}
		if err := proto.Unmarshal(entry.GetData(), members); err != nil {
			return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "members do not decode; run the version that wrote the folder")
		}
	}
	own := slices.IndexFunc(members.GetMembers(), func(m *lilacv1.RaftMember) bool { return m.GetId() == state.Hard.GetId() })
	if own < 0 || !members.GetMembers()[own].GetVoter() {
		return refuse("is not a voter's, so it may lack accepted changes; name the folder of a voter that survived")
	}
	return members, nil
}

// entryConfig is the newest configuration of the entries that were asked.
type entryConfig struct {
	snapshot *lilacv1.Snapshot
	entry    link.Caller
}

func fetchNewestConfig(ctx context.Context, o RecoverOptions) (*entryConfig, error) {
	held := &entryConfig{}
	for _, address := range o.Entries {
		entry := o.Dial(address)
		asked, cancel := context.WithTimeout(ctx, entryTimeout)
		snapshot, err := spreadlink.FetchConfig(asked, entry)
		cancel()
		if err != nil {
			return nil, fault.Wrap(err, fault.KindOf(err), "entry "+address+" can't be asked for its configuration; bring it back, or leave it out if it is lost")
		}
		same := snapshot.GetRevision() == held.snapshot.GetRevision() && snapshot.GetRecoveries() == held.snapshot.GetRecoveries()
		if held.entry != nil && same && !proto.Equal(snapshot, held.snapshot) {
			return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "entry %s holds revision %d with another content than the others: two groups served this fleet; restart the entries that followed the wrong one", address, snapshot.GetRevision())
		}
		if held.entry == nil || newer(snapshot, held.snapshot) {
			held.snapshot, held.entry = snapshot, entry
		}
	}
	return held, nil
}

func newer(a, b *lilacv1.Snapshot) bool {
	if a.GetRecoveries() != b.GetRecoveries() {
		return a.GetRecoveries() > b.GetRecoveries()
	}
	return a.GetRevision() > b.GetRevision()
}

// revisionsAfter returns the revisions after have, for the audit trail; none where the
// entry has them in its configuration only.
func (h *entryConfig) revisionsAfter(ctx context.Context, have uint64) []*lilacv1.Revision {
	if h.entry == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	tail, err := spreadlink.FetchRevisions(ctx, h.entry, have, h.snapshot.GetRevision())
	if err != nil {
		return nil
	}
	return tail
}

// Recoveries tells how often the group was recovered from a lost majority.
func (m *Machine) Recoveries() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Recoveries()
}

// checkRecoveries refuses instances that know of a newer group than this one.
//
// It guards against lost voters that come back with their old disks, hear
// nothing of the recovered group and lead a quorum of their own: an entry that
// reaches both would claim the same key twice. It holds because an entry that
// has heard of the recovered group says so in each call.
func (m *Machine) checkRecoveries(c *lilacv1.Command) error {
	known := max(c.GetPropose().GetRecoveries(), c.GetClaim().GetRecoveries(), c.GetLease().GetRecoveries())
	if known <= m.config.Recoveries() {
		return nil
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "this group of state processes was replaced by a recovered one; stop the process and move its data folder away",
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}
