package operator

import (
	"context"
	"time"

	"github.com/google/uuid"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/fleet"
	"github.com/lilacbridge/lilacbridge/version/statement"
)

const (
	// localViewTimeout bounds the wait until a change is in force at this instance.
	localViewTimeout      = 2 * time.Second
	localViewPollInterval = 5 * time.Millisecond
)

func (h *handler) statement(ctx context.Context, who string, body []byte) (*Reply, error) {
	request := &StatementRequest{}
	if err := decode(body, request); err != nil {
		return nil, err
	}
	parsed, err := statement.Parse(request.Statement)
	if err != nil {
		return nil, err
	}
	if parsed.Show != nil {
		return h.query(ctx, parsed.Show, request.Statement)
	}
	changes, err := parsed.Changes()
	if err != nil {
		return nil, err
	}
	proposal := h.proposal(who, request.CommandID, request.Statement, changes, request.DryRun)
	proposal.IfRevision = parsed.IfRevision
	return h.propose(ctx, proposal)
}

func (h *handler) apply(ctx context.Context, who string, body []byte) (*Reply, error) {
	request := &ApplyRequest{}
	if err := decode(body, request); err != nil {
		return nil, err
	}
	file, err := fleet.Parse([]byte(request.Document))
	if err != nil {
		return nil, err
	}
	view := h.View()
	diff := file.Diff(view, request.Prune)
	if len(diff.Changes) == 0 {
		return &Reply{Change: &Change{Revision: view.Revision, CommandID: request.CommandID, DryRun: request.DryRun}}, nil
	}
	proposal := h.proposal(who, request.CommandID, "APPLY", diff.Changes, request.DryRun)
	proposal.IfRevision = request.IfRevision
	reply, err := h.propose(ctx, proposal)
	if err != nil {
		return nil, err
	}
	reply.Change.Diff = diff.Lines
	return reply, nil
}

func (h *handler) proposal(who, command, text string, changes []*lilacv1.Change, dryRun bool) *lilacv1.Proposal {
	if command == "" {
		command = uuid.NewString()
	}
	return &lilacv1.Proposal{
		CommandId: command, Who: who, Instance: h.Instance, Statement: text, Changes: changes, DryRun: dryRun,
		ProposedUnixMs: h.Now().UnixMilli(),
	}
}

// propose proposes a change to the state processes. If the outcome is unknown, the error
// names the command id, with which the client can repeat the change safely.
func (h *handler) propose(ctx context.Context, proposal *lilacv1.Proposal) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := h.State.Propose(ctx, proposal)
	if err != nil && fault.NotRunOf(err) == lilacv1.NotRun_NOT_RUN_UNKNOWN && outcomeUnknown(err) {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN,
			"the reply was lost and the change may be in force; to find out, send it again with command id "+proposal.GetCommandId())
	}
	if err != nil {
		return nil, err
	}
	change := &Change{
		Revision: reply.GetRevision(), Repeated: reply.GetRepeatedCommand(), DryRun: proposal.GetDryRun(), CommandID: proposal.GetCommandId(),
	}
	if proposal.GetDryRun() {
		change.Effect, err = h.effect(ctx, proposal.GetChanges())
		return &Reply{Change: change}, err
	}
	h.awaitLocalRevision(ctx, reply.GetRevision())
	return &Reply{Change: change}, nil
}

// awaitLocalRevision waits up to localViewTimeout until the revision is in force at this
// instance, so that an operator who queries it next sees the change. The change is accepted
// in any case.
func (h *handler) awaitLocalRevision(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, localViewTimeout)
	defer cancel()
	ticker := time.NewTicker(localViewPollInterval)
	defer ticker.Stop()
	for h.View().Revision < revision {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// outcomeUnknown reports whether the change may have been accepted although the call failed.
func outcomeUnknown(err error) bool {
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE,
		lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM:
		return true
	}
	return false
}
