package state

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/duties"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// maxAudit bounds the revisions that one audit call returns.
const maxAudit = 500

// Service implements the methods of a state process. It is safe for concurrent use.
type Service struct {
	machine     *Machine
	log         Log
	watchServer *spreadlink.Server
	leaseTimer  *leaseTimer
	liveness    *livenessTracker
	entries     *entryTable
	// duties is nil if the settings list none. It is set before the service is used.
	duties *duties.Holder
	now    func() time.Time
}

// NewService returns a service for a machine and the log that applies commands to it. It
// replaces the machine's callback for renewals. The logger logs each configuration
// snapshot that is sent to a watcher.
func NewService(machine *Machine, log Log, logger hclog.Logger) *Service {
	s := &Service{machine: machine, log: log, now: time.Now}
	s.leaseTimer = newLeaseTimer(s.now)
	s.liveness = newLivenessTracker(s.now)
	s.entries = newEntryTable(s.now)
	s.watchServer = spreadlink.NewServer(watchSource{machine, log}, logger)
	machine.mu.Lock()
	machine.onLease = s.leaseTimer.recordRenewal
	machine.mu.Unlock()
	return s
}

// Register registers the methods on mux.
func (s *Service) Register(mux *link.Mux) {
	mux.Handle("state.propose", link.Unary(s.propose))
	mux.Handle("state.claim", link.Unary(s.claim))
	mux.Handle("state.outcome", link.Unary(s.outcome))
	mux.Handle("state.audit", link.Unary(s.audit))
	mux.Handle("state.status", link.Unary(s.status))
	mux.Handle("state.heartbeat", link.Unary(s.heartbeat))
	mux.Handle("state.lease", link.Unary(s.lease))
	mux.Handle("state.members", link.Unary(s.members))
	mux.Handle("state.query", link.Unary(s.query))
	s.watchServer.Register(mux, "state")
}

// Close ends the streams of watchers, which then switch to another process.
func (s *Service) Close() { s.watchServer.Close() }

// watchSource provides watchers with the revisions of a machine.
type watchSource struct {
	*Machine
	log Log
}

// LatestKnown returns the newest revision applied and the time since it is known to have been
// the newest committed one.
func (s watchSource) LatestKnown() (newest uint64, age time.Duration) {
	return s.Revision(), s.log.Status().Staleness
}

// replicate appends a command to the log, waits until it has been applied and returns its
// result. If the command was refused, it returns both the result and the error.
func (s *Service) replicate(ctx context.Context, c *lilacv1.Command) (*lilacv1.CommandResult, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "failed to encode command")
	}
	answer, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := &lilacv1.CommandResult{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "failed to decode result; run the same version on all instances")
	}
	return result, fault.FromStatus(result.GetStatus())
}

// propose answers a conflict by a reply that names the winning revision; the client turns
// it into an error.
func (s *Service) propose(ctx context.Context, _ link.Peer, p *lilacv1.Proposal) (*lilacv1.ProposeReply, error) {
	if p.GetDryRun() {
		return s.preview(ctx, p)
	}
	return conflictToReply(s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: p}}))
}

func (s *Service) preview(ctx context.Context, p *lilacv1.Proposal) (*lilacv1.ProposeReply, error) {
	if err := s.log.Barrier(ctx); err != nil {
		return nil, err
	}
	result := s.machine.Preview(p)
	return conflictToReply(result, fault.FromStatus(result.GetStatus()))
}

func conflictToReply(result *lilacv1.CommandResult, err error) (*lilacv1.ProposeReply, error) {
	if err != nil && result.GetPropose().GetWinner() == nil {
		return nil, err
	}
	return result.GetPropose(), nil
}

// claim sets the time of the claim by the leader's clock, so that an instance with a wrong
// clock can't end the retention of keys. Processes that do not lead fail to replicate it.
func (s *Service) claim(ctx context.Context, _ link.Peer, r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, error) {
	if reply, final := s.machine.FinalReply(r); final {
		return reply, nil
	}
	r.NowUnixMs = s.now().UnixMilli()
	s.liveness.record(r.GetIncarnation())
	result, err := s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: r}})
	if err != nil {
		return nil, err
	}
	return result.GetClaim(), nil
}

func (s *Service) outcome(ctx context.Context, _ link.Peer, r *lilacv1.OutcomeRequest) (*lilacv1.OutcomeReply, error) {
	r.NowUnixMs = s.now().UnixMilli()
	result, err := s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Outcome{Outcome: r}})
	if err != nil {
		return nil, err
	}
	return result.GetOutcome(), nil
}

func (s *Service) audit(_ context.Context, _ link.Peer, r *lilacv1.AuditRequest) (*lilacv1.AuditReply, error) {
	limit := min(int(r.GetLimit()), maxAudit)
	if limit == 0 {
		limit = maxAudit
	}
	return &lilacv1.AuditReply{Revisions: s.machine.Audit(r.GetFromRevision(), limit)}, nil
}

// Status returns the status that this process reports to operators.
func (s *Service) Status() *lilacv1.StateStatus {
	status := proto.CloneOf(s.log.Status().Status)
	if status == nil {
		status = &lilacv1.StateStatus{}
	}
	counts := s.machine.Counts()
	status.Revision = counts.Revision
	status.Claims = uint64(counts.Claims)
	return status
}

func (s *Service) status(context.Context, link.Peer, *lilacv1.StateStatusRequest) (*lilacv1.StateStatus, error) {
	return s.Status(), nil
}

// members returns the members of the group and the known entries, so that an entry needs
// the address of only one state process in its settings.
func (s *Service) members(_ context.Context, _ link.Peer, r *lilacv1.StateMembersRequest) (*lilacv1.StateMembers, error) {
	if entry := r.GetEntry(); entry != nil {
		s.entries.record(entry)
	}
	reply := &lilacv1.StateMembers{Members: s.log.Status().Members, Entries: s.entries.list()}
	if reply.Version = membersVersion(reply); reply.Version == r.GetHave() {
		return &lilacv1.StateMembers{Version: reply.Version}, nil
	}
	return reply, nil
}

// membersVersion returns a hash of the lists; never 0.
func membersVersion(members *lilacv1.StateMembers) uint64 {
	// Marshaling does not fail: names and addresses are valid UTF-8.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(members)
	return max(xxhash.Sum64(data), 1)
}

// heartbeat is answered by the leader only, since only the leader tracks which instances
// are alive.
func (s *Service) heartbeat(_ context.Context, _ link.Peer, r *lilacv1.HeartbeatRequest) (*lilacv1.HeartbeatReply, error) {
	if !s.log.Status().IsLeader {
		return nil, s.notLeader()
	}
	s.liveness.record(r.GetIncarnation())
	return &lilacv1.HeartbeatReply{}, nil
}

func (s *Service) lease(ctx context.Context, _ link.Peer, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	held := s.machine.Lease(r.GetName())
	r.ExpiredRenewal = s.leaseTimer.expiredRenewal(held)
	other := held.GetHolder() != "" && held.GetIncarnation() != r.GetIncarnation()
	if other && r.GetExpiredRenewal() == 0 && s.log.Status().IsLeader {
		// Refused without the log: many instances request the lease, and only one holds it.
		return &lilacv1.LeaseReply{Holder: held.GetHolder(), Incarnation: held.GetIncarnation(), Fencing: held.GetFencing(), DurationMs: held.GetDurationMs()}, nil
	}
	result, err := s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: r}})
	if err != nil {
		return nil, err
	}
	return result.GetLease(), nil
}
