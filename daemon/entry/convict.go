package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/request/parts"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

const (
	// maxPendingConvictions is the capacity of the queue of changes of convictions to propose.
	maxPendingConvictions = 256
	// convictionTTL is how long a conviction stays in force.
	convictionTTL        = parts.BlockTTL
	proposeRetryInterval = 500 * time.Millisecond
	// proposeTimeout bounds one attempt to propose a conviction.
	proposeTimeout = 5 * time.Second
)

// queueConviction is called by the core's goroutine and must not block: if the queue
// is full, it drops the conviction and counts a broken invariant.
func (e *Entry) queueConviction(c policy.Convict) {
	e.queueProposal(func(now time.Time) *lilacv1.Proposal {
		e.logger.Warn("convicted a request or a part of prompts that crashed backend servers", "digest", c.Digest, "servers", c.Servers)
		return e.proposal(now, "CONVICT "+c.Digest, &lilacv1.Change{Op: &lilacv1.Change_Convict{Convict: &lilacv1.Conviction{
			Digest: c.Digest, Team: c.Team, Servers: c.Servers, ExpiresUnixMs: now.Add(convictionTTL).UnixMilli(),
		}}})
	})
}

// queueLift is like queueConviction for a conviction that has proved wrong.
func (e *Entry) queueLift(l policy.LiftConviction) {
	e.queueProposal(func(now time.Time) *lilacv1.Proposal {
		e.logger.Warn("lifted a conviction that an answer has refuted", "digest", l.Digest)
		return e.proposal(now, fmt.Sprintf("LIFT CONVICTION %q", l.Digest), &lilacv1.Change{Op: &lilacv1.Change_LiftConviction{LiftConviction: l.Digest}})
	})
}

func (e *Entry) queueProposal(build func(time.Time) *lilacv1.Proposal) {
	select {
	case e.convictions <- build:
	default:
		e.counters.InvariantViolated("convictions_pile_up")
	}
}

// proposal returns a proposal of this process. All attempts share one id, so that it is accepted
// only once.
func (e *Entry) proposal(now time.Time, statement string, change *lilacv1.Change) *lilacv1.Proposal {
	return &lilacv1.Proposal{
		CommandId: rand.Text(), Who: "lilacbridge", Instance: e.settings.Name, Statement: statement,
		ProposedUnixMs: now.UnixMilli(), Changes: []*lilacv1.Change{change},
	}
}

// proposeConvictions proposes each queued change of the convictions until it is accepted or proves
// to be out of date, so that all instances act on it.
func (e *Entry) proposeConvictions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case build := <-e.convictions:
			e.propose(ctx, build(time.Now()))
		}
	}
}

func (e *Entry) propose(ctx context.Context, proposal *lilacv1.Proposal) {
	for ctx.Err() == nil {
		if e.proposeOnce(ctx, proposal) {
			return
		}
		_ = sleep(ctx, proposeRetryInterval)
	}
}

// proposeOnce reports whether the proposal needs no further attempt. One that is invalid is out of
// date: the conviction to lift is gone, or there are too many.
func (e *Entry) proposeOnce(ctx context.Context, proposal *lilacv1.Proposal) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := e.state.Propose(ctx, proposal)
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE) {
		e.logger.Warn("the change of a conviction was refused", "statement", proposal.GetStatement(), "error", err)
		return true
	}
	return err == nil
}

// claimTrial tries once to claim a trial of a convicted part, and tells the core if it has it.
func (e *Entry) claimTrial(c policy.ClaimTrial) {
	change := &lilacv1.Change{Op: &lilacv1.Change_TryConviction{TryConviction: &lilacv1.ConvictionTrial{Digest: c.Digest, Trial: uint32(c.Trial)}}}
	proposal := e.proposal(time.Now(), fmt.Sprintf("TRY CONVICTION %q %d", c.Digest, c.Trial), change)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if _, err := e.state.Propose(ctx, proposal); err != nil {
			e.logger.Info("no trial of a convicted part claimed", "digest", c.Digest, "trial", c.Trial, "error", err)
			return
		}
		e.relay.Post(policy.TrialClaimed{Digest: c.Digest})
	}()
}
