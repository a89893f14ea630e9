package proof

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

// maxCatchUpEntries is the number of entries by which a process may be behind when
// it becomes a voter: the product's limit of 64, and some appended meanwhile.
const maxCatchUpEntries = 64 + 16

// entryDigest identifies the entry committed at one index.
type entryDigest struct {
	term, digest uint64
}

// invariants checks properties that span processes, and counts the checks made by
// the product itself. The first violation ends the run.
type invariants struct {
	sim     *sim
	checked uint64
	failure string
	leaders map[string]string
	votes   map[string]string
	lostIDs map[string]bool
	// group is the group that commits, in runs of the first start.
	group   string
	digests map[uint64]entryDigest
	// voters holds the identities that have been voters.
	voters map[string]bool
	// committed holds committed indexes in order, each with a term by which it was
	// committed.
	committed []commit
}

// commit is an index that was committed in this term or an earlier one.
type commit struct{ term, index uint64 }

func newInvariants(s *sim) *invariants {
	return &invariants{sim: s, leaders: map[string]string{}, votes: map[string]string{}, lostIDs: map[string]bool{}, digests: map[uint64]entryDigest{}, voters: map[string]bool{}}
}

func (v *invariants) addChecked(n uint64) { v.checked += n }

func (v *invariants) check(holds bool, name, format string, args ...any) bool {
	v.checked++
	if !holds && v.failure == "" {
		v.failure = name + ": " + fmt.Sprintf(format, args...)
		v.sim.note("BROKEN %s", v.failure)
	}
	return holds
}

// diskLost records an identity whose disk is lost; it must not send messages again.
func (v *invariants) diskLost(n *node) { v.lostIDs[n.identity()] = true }

func (v *invariants) messageSent(n *node, m *lilacv1.RaftMessage) {
	v.check(!v.lostIDs[m.GetFrom()], "no message from a lost identity", "%s still sends as %s", n.name, m.GetFrom())
	if m.GetKind() != lilacv1.RaftMessageKind_RAFT_MESSAGE_KIND_VOTE_REPLY || m.GetReject() {
		return
	}
	key := fmt.Sprint(m.GetFrom(), " in term ", m.GetTerm())
	before, voted := v.votes[key]
	v.check(!voted || before == m.GetTo(), "one vote in a term", "%s voted for %s and %s", key, before, m.GetTo())
	v.votes[key] = m.GetTo()
}

func (v *invariants) observe(n *node, action replica.Action) {
	switch a := action.(type) {
	case replica.InvariantViolated:
		v.check(false, a.Invariant, "%s: %s", n.name, a.Detail)
	case replica.Apply:
		if v.sim.profile.firstStart {
			v.groupCommits(n)
		}
		for _, entry := range a.Entries {
			v.entryApplied(n, entry)
		}
	case replica.RoleChanged:
		v.sim.note("%s is %s in term %d, leader %s", n.name, a.Role, a.Term, a.Leader)
		switch {
		case a.Role == replica.Leader:
			v.leaderElected(n, a.Term)
		case a.Role == replica.Candidate && v.sim.scripts != nil:
			v.sim.scripts.candidacyStarted(n)
		}
	case replica.MembersChanged:
		v.sim.note("%s has %d members", n.name, len(a.Members))
		v.membersChanged(n, a.Members)
		if f := v.sim.struckFounder; f != nil {
			f.founded(n)
		}
	case replica.Repaired:
		v.sim.repaired(a.Member.GetName())
	}
}

// membersChanged checks that a process has nearly all of the leader's log when it
// becomes a voter.
func (v *invariants) membersChanged(leader *node, members []*lilacv1.RaftMember) {
	last := leader.runner.Status().LastIndex
	for _, member := range members {
		if !member.GetVoter() || v.voters[member.GetId()] {
			continue
		}
		v.voters[member.GetId()] = true
		n := v.sim.byName(member.GetName())
		if n.runner == nil || n.identity() != member.GetId() || leader.runner.Status().Role != replica.Leader {
			continue
		}
		has := n.runner.Status().LastIndex
		v.check(has+maxCatchUpEntries >= last, "a new voter has nearly all of the log", "%s became a voter with %d entries of %d", n.name, has, last)
	}
}

// entryApplied checks that all processes apply the same entry at an index.
func (v *invariants) entryApplied(n *node, entry *lilacv1.RaftEntry) {
	now := entryDigest{term: entry.GetTerm(), digest: xxhash.Sum64(entry.GetData())}
	before, seen := v.digests[entry.GetIndex()]
	v.check(!seen || before == now, "state machine safety", "%s applies another entry at %d", n.name, entry.GetIndex())
	v.digests[entry.GetIndex()] = now
	if k := len(v.committed); k == 0 || entry.GetIndex() > v.committed[k-1].index {
		v.committed = append(v.committed, commit{term: n.runner.Status().Term, index: entry.GetIndex()})
	}
}

// leaderElected checks that a term has one leader and that the leader has all
// committed entries.
func (v *invariants) leaderElected(n *node, term uint64) {
	id := n.runner.Status().ID
	status := n.runner.Status()
	key := fmt.Sprint(status.Group, " term ", term)
	before, seen := v.leaders[key]
	v.check(!seen || before == id, "election safety", "%s and %s lead group %s", before, id, key)
	v.leaders[key] = id
	if v.sim.scripts != nil && v.sim.scripts.elected != nil {
		v.sim.scripts.elected(n)
	}
	for _, c := range slices.Backward(v.committed) {
		if c.term >= term {
			continue // A later leader may have committed it.
		}
		has := status.LastIndex > c.index && (status.SnapshotIndex >= c.index || n.runner.TermAt(c.index) == v.digests[c.index].term)
		v.check(has, "leader completeness", "%s leads term %d without entry %d, committed by term %d", n.name, term, c.index, c.term)
		return // Log matching covers the earlier entries.
	}
}
