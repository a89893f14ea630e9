package proof

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/replica"
)

// nearlyAll is how many entries a process may be behind when it begins to count,
// and a few that come meanwhile.
const maxCatchUpEntries = 64 + 16

// slot is what stands committed at one index.
type entryDigest struct {
	term, digest uint64
}

// invariants are those that no single process can check, beside the counts of
// those that the product checks itself. The first that breaks stops the run.
type invariants struct {
	sim     *sim
	checked uint64
	failure string
	leaders map[string]string
	votes   map[string]string
	lostIDs map[string]bool
	digests map[uint64]entryDigest
	// voters are the identities that were ever seen to count.
	voters map[string]bool
	// committed holds, in order, entries with a term in which they were committed at last.
	committed []commit
}

// commit is an index that was committed in the term or before.
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

// emptied notes an identity whose disk is lost: it must never be heard of again.
func (v *invariants) diskLost(n *node) { v.lostIDs[n.identity()] = true }

func (v *invariants) messageSent(n *node, m *lilacv1.RaftMessage) {
	v.check(!v.lostIDs[m.GetFrom()], "no word by an emptied disk", "%s still speaks as %s", n.name, m.GetFrom())
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
	case replica.Repaired:
		v.sim.repaired(a.Member.GetName())
	}
}

// counted checks that a process has nearly all of the leader's log when it begins
// to count for the quorum.
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
		v.check(has+maxCatchUpEntries >= last, "a voter counts once it has the log", "%s counts with %d entries of %d", n.name, has, last)
	}
}

// applied checks that all processes apply the same at an index, now and later.
func (v *invariants) entryApplied(n *node, entry *lilacv1.RaftEntry) {
	now := entryDigest{term: entry.GetTerm(), digest: xxhash.Sum64(entry.GetData())}
	before, seen := v.digests[entry.GetIndex()]
	v.check(!seen || before == now, "state machine safety", "%s applies another entry at %d", n.name, entry.GetIndex())
	v.digests[entry.GetIndex()] = now
	if k := len(v.committed); k == 0 || entry.GetIndex() > v.committed[k-1].index {
		v.committed = append(v.committed, commit{term: n.runner.Status().Term, index: entry.GetIndex()})
	}
}

// elected checks that a term has one leader, and that it has all that is committed.
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
			continue // It may have been committed by a later leader.
		}
		has := status.LastIndex > c.index && (status.SnapshotIndex >= c.index || n.runner.TermAt(c.index) == v.digests[c.index].term)
		v.check(has, "leader completeness", "%s leads term %d without entry %d, committed by term %d", n.name, term, c.index, c.term)
		return // The entries before follow by log matching.
	}
}
