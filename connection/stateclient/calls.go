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
	// maxReleases is how many claims may wait to be given up in the background.
	maxReleases = 4096
	// releaseTime bounds one try to give a claim up.
	releaseTime = 5 * time.Second
	// releasePause lies between two tries.
	releasePause = time.Second
	// heartbeatInterval is how often an instance that has claimed says that it
	// lives. State processes take it for dead after 15s of silence.
	heartbeatInterval = 3 * time.Second
)

// NewCommandID returns an id for a proposal.
func NewCommandID() string { return rand.Text() }

// Propose gives a proposal to the leader. The error of a lost race has the kind
// CONFLICT and comes with a reply that holds the winner. An error whose NotRunOf
// is unknown may still take effect: the same proposal with the same command id
// may be sent again and gets the first answer. A missing command id is filled in.
func (c *Client) Propose(ctx context.Context, p *lilacv1.Proposal) (*lilacv1.ProposeReply, error) {
	if p.GetCommandId() == "" {
		p.CommandId = NewCommandID()
	}
	p.Recoveries = c.options.Recoveries()
	reply := &lilacv1.ProposeReply{}
	if err := c.onLeader(ctx, "state.propose", p, reply); err != nil {
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

// Claim asks whether a non-idempotent request may run. Instance, incarnation
// and, where it is missing, the attempt are filled in; the caller passes the
// same attempt to Outcome. On any error the request must not run, and is not
// run: a claim that may stand all the same is given up in the background.
func (c *Client) Claim(ctx context.Context, r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error) {
	if r.GetAttempt() == "" {
		r.Attempt = rand.Text()
	}
	r.Instance, r.Recoveries = c.options.Instance, c.options.Recoveries()
	generation := c.startClaim(r)
	reply, err := c.claim(ctx, r)
	if fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT) {
		// The ledger took this incarnation for dead while it was cut off.
		c.renew(generation)
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
	if err := c.onLeader(ctx, "state.claim", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// asNotRun states for the caller's request what Claim promises: without a grant
// it is never sent.
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

// renew takes a new incarnation, once for all claims that met the old one's end.
func (c *Client) renew(generation int) {
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
		// The claim then ends as unknown when this instance does.
	}
}

// Outcome records how a claimed request ended. It may be sent again until it
// succeeds.
func (c *Client) Outcome(ctx context.Context, r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	reply := &lilacv1.OutcomeReply{}
	if err := c.onLeader(ctx, "state.outcome", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Lease takes, renews or gives back a lease.
func (c *Client) Lease(ctx context.Context, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	r.Holder, r.Incarnation, r.Recoveries = c.options.Instance, c.Incarnation(), c.options.Recoveries()
	reply := &lilacv1.LeaseReply{}
	if err := c.onLeader(ctx, "state.lease", r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Run sends heartbeats once this instance has claimed, and gives up claims whose
// answer was lost, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-c.releases:
			c.giveUp(ctx, o)
		case <-ticker.C:
			c.heartbeat(ctx)
		}
	}
}

func (c *Client) giveUp(ctx context.Context, o *lilacv1.OutcomeRequest) {
	tried, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	_, err := c.Outcome(tried, o)
	if err == nil || final(err) {
		return
	}
	c.queueRelease(o)
	c.heartbeat(ctx)
	select {
	case <-time.After(releasePause):
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
	_ = c.onLeader(ctx, "state.heartbeat", &lilacv1.HeartbeatRequest{Instance: c.options.Instance, Incarnation: incarnation}, &lilacv1.HeartbeatReply{})
}

// Audit returns revisions of the audit trail, newest first, from the leader if
// it answers, else from the nearest state process that does.
func (c *Client) Audit(ctx context.Context, r *lilacv1.AuditRequest) (*lilacv1.AuditReply, error) {
	s := &search{}
	for _, address := range c.order() {
		reply := &lilacv1.AuditReply{}
		err := c.attempt(ctx, address, "state.audit", r, reply)
		if err == nil {
			return reply, nil
		}
		s.note(err)
	}
	return nil, s.failure()
}

// ProcessStatus is one state process's answer, or the error in its place.
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

// Watch opens the stream of revisions on the nearest state process that answers.
// An entry uses spreadlink.Watcher instead, which keeps order and place.
func (c *Client) Watch(ctx context.Context, r *lilacv1.WatchRequest) (link.Stream, error) {
	s := &search{}
	for _, address := range c.order() {
		stream, err := c.options.Dial(address).Open(ctx, "state.watch", r)
		if err == nil {
			return stream, nil
		}
		s.note(err)
	}
	return nil, s.failure()
}
