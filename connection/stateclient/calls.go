package stateclient

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// maxReleases bounds the claims that wait to be released in the background.
	maxReleases = 4096
	// releaseTimeout bounds one attempt to release a claim.
	releaseTimeout = 5 * time.Second
	// releaseRetryDelay is the pause after a failed attempt.
	releaseRetryDelay = time.Second
	// heartbeatInterval is the interval of heartbeats of an instance that has made a
	// claim. State processes consider it dead after 15 s without one.
	heartbeatInterval = 3 * time.Second
)

// NewCommandID returns a random command id for a proposal.
func NewCommandID() string { return rand.Text() }

// Propose sends a proposal to the leader. If the configuration has changed since the
// proposal's revision, it returns a CONFLICT error together with a reply that contains the
// winning revision. If fault.NotRunOf(err) is unknown, the proposal may still take effect;
// sending it again with the same command id is safe and returns the first result. Propose
// sets a missing command id.
func (c *Client) Propose(ctx context.Context, p *lilacv1.Proposal) (*lilacv1.ProposeReply, error) {
	if p.GetCommandId() == "" {
		p.CommandId = NewCommandID()
	}
	p.Recoveries = c.options.Recoveries()
	reply := &lilacv1.ProposeReply{}
	if err := c.callLeader(ctx, "state.propose", p, reply); err != nil {
		return nil, err
	}
	if winner := reply.GetWinner(); winner != nil {
		return reply, fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, fmt.Sprintf(
			"the configuration is at revision %d, not %d; %s made revision %d at %s: %s; look at it, then give the statement again with the new number",
			reply.GetRevision(), p.GetIfRevision(), winner.GetWho(), winner.GetNumber(),
			time.UnixMilli(winner.GetProposedUnixMs()).UTC().Format(time.RFC3339), winner.GetStatement()),
			fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	return reply, nil
}

// Claim asks the ledger whether a non-idempotent request may run. It sets the instance, the
// incarnation and, if missing, the attempt of r; the caller passes the same attempt to
// Outcome. After an error the caller must not run the request. A claim that may have been
// granted despite the error is released in the background.
func (c *Client) Claim(ctx context.Context, r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error) {
	if r.GetAttempt() == "" {
		r.Attempt = rand.Text()
	}
	r.Instance, r.Recoveries = c.options.Instance, c.options.Recoveries()
	generation := c.startClaim(r)
	reply, err := c.claim(ctx, r)
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT) {
		// The ledger declared this incarnation dead while it was disconnected.
		c.renewIncarnation(generation)
		c.startClaim(r)
		reply, err = c.claim(ctx, r)
	}
	if err == nil {
		return reply, nil
	}
	if fault.NotRunOf(err) != lilacv1.NotRun_NOT_RUN_TRUE {
		c.release(r)
	}
	return nil, asNotRun(err)
}

func (c *Client) claim(ctx context.Context, r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error) {
	reply := &lilacv1.ClaimReply{}
	if err := c.callLeader(ctx, "state.claim", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// asNotRun converts an error of Claim into one that states that the caller's request was
// not run: without a granted claim it is never sent.
func asNotRun(err error) error {
	return fault.New(fault.KindOf(err), err.Error(),
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE), fault.WithRetryAfter(fault.RetryAfterOf(err)))
}

func (c *Client) startClaim(r *lilacv1.ClaimRequest) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed = true
	r.Incarnation = c.incarnation
	return c.generation
}

// renewIncarnation creates a new incarnation, unless another claim of the same generation
// has done so already.
func (c *Client) renewIncarnation(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generation == generation {
		c.generation++
		c.incarnation = c.options.Instance + "/" + rand.Text()
	}
}

func (c *Client) release(r *lilacv1.ClaimRequest) {
	c.queueRelease(&lilacv1.OutcomeRequest{Team: r.GetTeam(), Key: r.GetKey(), Attempt: r.GetAttempt(), State: lilacv1.ClaimState_CLAIM_STATE_NOT_RUN})
}

func (c *Client) queueRelease(o *lilacv1.OutcomeRequest) {
	select {
	case c.releases <- o:
	default:
		// The claim remains until this instance ends, and its outcome is then unknown.
	}
}

// Outcome records how a claimed request ended. It is idempotent and may be repeated until
// it succeeds.
func (c *Client) Outcome(ctx context.Context, r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	reply := &lilacv1.OutcomeReply{}
	if err := c.callLeader(ctx, "state.outcome", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Lease acquires, renews or releases a lease. It sets the holder and incarnation of r.
func (c *Client) Lease(ctx context.Context, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	r.Holder, r.Incarnation, r.Recoveries = c.options.Instance, c.Incarnation(), c.options.Recoveries()
	reply := &lilacv1.LeaseReply{}
	if err := c.callLeader(ctx, "state.lease", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Report sends a report of this instance to the leader. It sets the instance.
func (c *Client) Report(ctx context.Context, r *lilacv1.InstanceReport) (*lilacv1.InstanceReportReply, error) {
	r.Instance = c.options.Instance
	reply := &lilacv1.InstanceReportReply{}
	if err := c.callLeader(ctx, "state.report", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Run sends heartbeats once this instance has made a claim, and releases claims whose
// answer was lost. It returns nil when ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-c.releases:
			c.tryRelease(ctx, o)
		case <-ticker.C:
			c.heartbeat(ctx)
		}
	}
}

// tryRelease makes one attempt to release a claim and queues it again if that fails.
func (c *Client) tryRelease(ctx context.Context, o *lilacv1.OutcomeRequest) {
	attemptCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := c.Outcome(attemptCtx, o)
	if err == nil || isFinal(err) {
		return
	}
	c.queueRelease(o)
	c.heartbeat(ctx)
	select {
	case <-time.After(releaseRetryDelay):
	case <-ctx.Done():
	}
}

func (c *Client) heartbeat(ctx context.Context) {
	c.mu.Lock()
	claimed, incarnation := c.claimed, c.incarnation
	c.mu.Unlock()
	if !claimed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	_ = c.callLeader(ctx, "state.heartbeat", &lilacv1.HeartbeatRequest{Instance: c.options.Instance, Incarnation: incarnation}, &lilacv1.HeartbeatReply{})
}

// Audit returns revisions of the audit trail, newest first, from the leader if it answers,
// and otherwise from the nearest state process that does.
func (c *Client) Audit(ctx context.Context, r *lilacv1.AuditRequest) (*lilacv1.AuditReply, error) {
	s := &search{}
	for _, address := range c.addressesByPriority() {
		reply := &lilacv1.AuditReply{}
		err := c.attempt(ctx, address, "state.audit", r, reply)
		if err == nil {
			return reply, nil
		}
		s.recordError(err)
	}
	return nil, s.finalError()
}

// ProcessStatus is the status of one state process, or the error of the call to it.
type ProcessStatus struct {
	Peer   string
	Status *lilacv1.StateStatus
	Err    error
}

// Status asks every state process and returns one answer for each, in the
// order of the settings.
func (c *Client) Status(ctx context.Context) []ProcessStatus {
	answers := make([]ProcessStatus, len(c.options.Peers))
	done := make(chan struct{})
	for i, peer := range c.options.Peers {
		go func() {
			status := &lilacv1.StateStatus{}
			err := c.attempt(ctx, peer.Address.Value, "state.status", &lilacv1.StateStatusRequest{}, status)
			answers[i] = ProcessStatus{Peer: peer.Name, Status: status, Err: err}
			done <- struct{}{}
		}()
	}
	for range c.options.Peers {
		<-done
	}
	return answers
}

// Watch opens a stream of revisions on the first state process that answers, in the same
// order as Audit. An entry uses spreadlink.Watcher instead, which resumes after failures.
func (c *Client) Watch(ctx context.Context, r *lilacv1.WatchRequest) (link.Stream, error) {
	s := &search{}
	for _, address := range c.addressesByPriority() {
		stream, err := c.options.Dial(address).Open(ctx, "state.watch", r)
		if err == nil {
			return stream, nil
		}
		s.recordError(err)
	}
	return nil, s.finalError()
}
