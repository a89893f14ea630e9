package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

var notRun = fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE)

// conclude does what an action wants beside messages and files.
func (r *Runner) handleAction(action Action) {
	if r.options.Observe != nil {
		r.options.Observe(action)
	}
	switch a := action.(type) {
	case Apply:
		r.apply(a)
	case Accepted:
		r.proposalsByIndex[a.Index] = pendingProposal{term: a.Term, reply: r.proposalReplies[a.RequestID]}
		delete(r.proposalReplies, a.RequestID)
	case Refused:
		r.handleRefused(a)
	case ReadReady:
		r.waitingReads = append(r.waitingReads, waitingRead{index: a.Index, reply: r.readReplies[a.RequestID]})
		delete(r.readReplies, a.RequestID)
		r.answerReads()
	case RoleChanged:
		r.handleRoleChanged(a)
	case MembersChanged:
		r.logger.Info("members changed", "members", memberNames(a.Members))
	case Repaired:
		r.metrics.repairs.Inc()
		r.logger.Info("repair done: the replacement counts for the quorum", "process", a.Member.GetName(), "id", a.Member.GetId())
	case Replaced:
		r.fatalErr = replacedError(r.options.Folder.Path(), r.core.group, a.By)
	case RivalGroupDetected:
		r.logger.Error("another group was recovered from the same one; changes are refused until one of the two is stopped and its data folders are moved away", "group", a.Group, "address", a.Address)
	case InvariantViolated:
		r.metrics.broken.WithLabelValues(a.Invariant).Inc()
		r.logger.Error("invariant broken; the step was refused", "invariant", a.Invariant, "detail", a.Detail)
	}
}

func (r *Runner) apply(a Apply) {
	for _, entry := range a.Entries {
		var result []byte
		if entry.GetKind() == lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND {
			result = r.options.Machine.Apply(entry.GetIndex(), entry.GetData())
		}
		r.applied = entry.GetIndex()
		r.bytesSinceSnapshot += len(entry.GetData())
		p, ok := r.proposalsByIndex[entry.GetIndex()]
		if !ok {
			continue
		}
		delete(r.proposalsByIndex, entry.GetIndex())
		if p.term == entry.GetTerm() {
			p.reply(Outcome{Result: result})
			continue
		}
		// Another entry was committed in its place: it can never be.
		p.reply(Outcome{Err: r.refusalError(NotLeader, "")})
	}
	r.logLeaderReady()
	r.answerReads()
}

// noteReady writes a line once a new leader has applied all that was committed
// before its term: from then on it answers reads.
func (r *Runner) logLeaderReady() {
	if r.electedAt == 0 || r.applied < r.core.leaderState.firstIndex {
		return
	}
	after := r.options.Clock() - r.electedAt
	r.electedAt = 0
	r.logger.Info("leads with the whole log applied", "term", r.core.term, "index", r.applied, "after_ms", after.Milliseconds())
}

func (r *Runner) answerReads() {
	r.waitingReads = slices.DeleteFunc(r.waitingReads, func(w waitingRead) bool {
		if w.index > r.applied {
			return false
		}
		w.reply(Outcome{})
		return true
	})
}

func (r *Runner) handleRefused(a Refused) {
	err := r.refusalError(a.Reason, a.Detail)
	for _, waiting := range []map[uint64]Reply{r.proposalReplies, r.readReplies} {
		if reply, ok := waiting[a.RequestID]; ok {
			delete(waiting, a.RequestID)
			reply(Outcome{Err: err})
		}
	}
	r.metrics.refused.WithLabelValues(fault.Name(fault.KindOf(err))).Inc()
}

// refusal types a reason; none of these proposals has run or will.
func (r *Runner) refusalError(reason Reason, detail string) error {
	election := fault.WithRetryAfter(r.options.Election)
	soon := fault.WithRetryAfter(100 * time.Millisecond)
	switch reason {
	case NotLeader:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "another state process leads; ask it", notRun, soon, fault.WithLeader(r.core.leaderAddress))
	case NoQuorum:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no quorum of the state processes is reached; check that they run and the network between them", notRun, election)
	case NoSpace:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, "the state process's disk is full; free space in its data folder", notRun, election)
	case LeadershipTransfer:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "the leader is handing over; come back shortly", notRun, soon)
	case TooLarge:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, fmt.Sprintf("the change has more than %d bytes; split it", maxCommand), notRun)
	case RivalGroup:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, fmt.Sprintf("group %s was recovered from the same one as this group %s; stop the processes of one of them and move their data folders away", r.core.rivalGroup(), r.core.group), notRun, election)
	case Busy:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "too many changes wait for the quorum; come back later", notRun, election)
	default:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, detail, notRun, election)
	}
}

func unknownOutcomeError() error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the leader changed before a quorum confirmed it; it may still be accepted: send it again with the same command id")
}

// failPlaced answers all proposals that stand in the log, in the order of the log.
func (r *Runner) failPendingProposals(err error) {
	for _, index := range slices.Sorted(maps.Keys(r.proposalsByIndex)) {
		r.proposalsByIndex[index].reply(Outcome{Err: err})
	}
	clear(r.proposalsByIndex)
}

func (r *Runner) handleRoleChanged(a RoleChanged) {
	r.electedAt = 0
	if a.Role == Leader {
		r.electedAt = r.options.Clock()
	}
	if a.Role != Leader {
		r.failPendingProposals(unknownOutcomeError())
	}
	if a.Role == Candidate {
		r.metrics.candidacies.Inc()
	}
	r.logger.Info("role changed", "role", a.Role.String(), "term", a.Term, "leader", a.Leader)
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
