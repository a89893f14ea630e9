package replica

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

var notRun = fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE)

// conclude does what an action wants beside messages and files.
func (n *Node) conclude(action Action) {
	switch a := action.(type) {
	case Apply:
		n.apply(a)
	case Accepted:
		n.byIndex[a.Index] = placed{term: a.Term, reply: n.proposals[a.Ticket]}
		delete(n.proposals, a.Ticket)
	case Refused:
		n.refused(a)
	case ReadReady:
		n.reads = append(n.reads, waitingRead{index: a.Index, reply: n.readers[a.Ticket]})
		delete(n.readers, a.Ticket)
		n.answerReads()
	case RoleChanged:
		n.roleChanged(a)
	case MembersChanged:
		n.logger.Info("members changed", "members", memberNames(a.Members))
	case Repaired:
		n.metrics.repairs.Inc()
		n.logger.Info("repair done: the replacement counts for the quorum", "process", a.Member.GetName(), "id", a.Member.GetId())
	case Broken:
		n.metrics.broken.WithLabelValues(a.Invariant).Inc()
		n.logger.Error("invariant broken; the step was refused", "invariant", a.Invariant, "detail", a.Detail)
	}
}

func (n *Node) apply(a Apply) {
	for _, entry := range a.Entries {
		var result []byte
		if entry.GetKind() == lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND {
			result = n.options.Machine.Apply(entry.GetIndex(), entry.GetData())
		}
		n.applied = entry.GetIndex()
		p, ok := n.byIndex[entry.GetIndex()]
		if !ok {
			continue
		}
		delete(n.byIndex, entry.GetIndex())
		if p.term == entry.GetTerm() {
			p.reply <- outcome{result: result}
			continue
		}
		// Another entry was committed in its place: it can never be.
		p.reply <- outcome{err: n.refusal(NotLeader, "")}
	}
	n.answerReads()
}

func (n *Node) answerReads() {
	n.reads = slices.DeleteFunc(n.reads, func(r waitingRead) bool {
		if r.index > n.applied {
			return false
		}
		r.reply <- outcome{}
		return true
	})
}

func (n *Node) refused(a Refused) {
	err := n.refusal(a.Reason, a.Detail)
	for _, waiting := range []map[uint64]chan<- outcome{n.proposals, n.readers} {
		if reply, ok := waiting[a.Ticket]; ok {
			delete(waiting, a.Ticket)
			reply <- outcome{err: err}
		}
	}
	n.metrics.refused.WithLabelValues(fault.Name(fault.KindOf(err))).Inc()
}

// refusal types a reason; none of these proposals has run or will.
func (n *Node) refusal(reason Reason, detail string) error {
	election := fault.WithRetryAfter(n.options.Election)
	soon := fault.WithRetryAfter(100 * time.Millisecond)
	switch reason {
	case NotLeader:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "another state process leads; ask it", notRun, soon, fault.WithLeader(n.core.leaderAddress))
	case NoQuorum:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no quorum of the state processes is reached; check that they run and the network between them", notRun, election)
	case NoSpace:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, "the state process's disk is full; free space in its data folder", notRun, election)
	case HandingOver:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "the leader is handing over; come back shortly", notRun, soon)
	case Busy:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "too many changes wait for the quorum; come back later", notRun, election)
	default:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, detail, notRun, election)
	}
}

func unknownOutcome() error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the leader changed before a quorum confirmed it; it may still be accepted: send it again with the same command id")
}

func (n *Node) stopped(option fault.Option) error {
	err := fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "the state process has stopped; ask another one")
	if option != nil {
		err = option(err)
	}
	return err
}

// failPlaced answers all proposals that stand in the log, in the order of the log.
func (n *Node) failPlaced(err error) {
	for index, p := range n.byIndex {
		p.reply <- outcome{err: err}
		delete(n.byIndex, index)
	}
}

func (n *Node) roleChanged(a RoleChanged) {
	if a.Role != Leader {
		n.failPlaced(unknownOutcome())
	}
	if a.Role == Candidate {
		n.metrics.elections.Inc()
	}
	n.logger.Info("role changed", "role", a.Role.String(), "term", a.Term, "leader", a.Leader)
}

func memberNames(members []*lilacv1.RaftMember) []string {
	var names []string
	for _, member := range members {
		name := member.GetName()
		if !member.GetVoter() {
			name += " (learner)"
		}
		names = append(names, name)
	}
	return names
}
