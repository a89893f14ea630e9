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

// handleAction carries out an action, except for its messages and file writes.
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
		r.logger.Info("promoted member now counts towards the quorum", "process", a.Member.GetName(), "id", a.Member.GetId())
	case Replaced:
		r.fatalErr = replacedError(r.options.Folder.Path(), r.core.group, a.By)
	case FoundingDelayed:
		r.logger.Warn("no group yet", "reason", a.Reason)
	case GroupAbandoned:
		r.logger.Warn("left a group that was founded but can't elect a leader any more; nothing was accepted in it", "group", a.Group)
	case RivalGroupDetected:
		r.logger.Error("another group was recovered from the same original group; changes are refused until one of the two is stopped and its data folders are moved away", "group", a.Group, "address", a.Address)
	case InvariantViolated:
		r.metrics.broken.WithLabelValues(a.Invariant).Inc()
		r.logger.Error("invariant violated; step abandoned", "invariant", a.Invariant, "detail", a.Detail)
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
		// Another entry was committed at this index, so the proposal never will be.
		p.reply(Outcome{Err: r.refusalError(NotLeader, "")})
	}
	r.logLeaderReady()
	r.answerReads()
}

// logLeaderReady logs once a new leader has applied everything committed before its
// term; from then on it can answer reads.
func (r *Runner) logLeaderReady() {
	if r.electedAt == 0 || r.applied < r.core.leaderState.firstIndex {
		return
	}
	after := r.options.Clock() - r.electedAt
	r.electedAt = 0
	r.logger.Info("leader is ready: committed log applied", "term", r.core.term, "index", r.applied, "after_ms", after.Milliseconds())
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

// refusalError returns the error for a refused request; it has not run and never will.
func (r *Runner) refusalError(reason Reason, detail string) error {
	election := fault.WithRetryAfter(r.options.Election)
	soon := fault.WithRetryAfter(100 * time.Millisecond)
	switch reason {
	case NotLeader:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "another state process is the leader; send the request there", notRun, soon, fault.WithLeader(r.core.leaderAddress))
	case NoQuorum:
		if reason := r.core.join.delay; reason != "" {
			return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "the state processes have no group: "+reason, notRun, election)
		}
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, "no quorum of state processes is reachable; check that they are running and the network between them", notRun, election)
	case NoSpace:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, "disk of the state process is full; free space in its data folder", notRun, election)
	case LeadershipTransfer:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "leadership is being transferred; retry shortly", notRun, soon)
	case TooLarge:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, fmt.Sprintf("change exceeds %d bytes; split it", maxCommand), notRun)
	case RivalGroup:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, fmt.Sprintf("group %s was recovered from the same original group as this group %s; stop the processes of one of them and move their data folders away", r.core.rivalGroup(), r.core.group), notRun, election)
	case Busy:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, "too many changes are waiting for the quorum; retry later", notRun, election)
	default:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, detail, notRun, election)
	}
}

func unknownOutcomeError() error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the leader changed before a quorum confirmed the change; it may still be accepted: send it again with the same command id")
}

// failPendingProposals fails all proposals that were appended but not applied, in log
// order.
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
