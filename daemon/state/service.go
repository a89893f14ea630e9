package state

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// maxAudit is the most revisions that one audit call returns.
const maxAudit = 500

// Service answers the methods of a state process.
type Service struct {
	machine     *Machine
	log         Log
	watchServer *spreadlink.Server
	leaseTimer  *leaseTimer
	liveness    *livenessTracker
	entries     *entryTable
	now         func() time.Time
}

// NewService joins a machine and the log that drives it. The logger gets a line
// for each snapshot of the configuration that is given.
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

// Register adds the methods to mux.
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

// Close ends the streams of watchers, so that they go to another process.
func (s *Service) Close() { s.watchServer.Close() }

// watchSource lets watchers follow the machine.
type watchSource struct {
	*Machine
	log Log
}

// LatestKnown returns the newest revision and how long ago it was surely the newest.
func (s watchSource) LatestKnown() (newest uint64, age time.Duration) {
	return s.Revision(), s.log.Status().Staleness
}

// replicate replicates a command and decodes its result.
func (s *Service) replicate(ctx context.Context, c *lilacv1.Command) (*lilacv1.CommandResult, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "command does not encode")
	}
	answer, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := &lilacv1.CommandResult{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "result does not decode; run one version on all instances")
	}
	return result, fault.FromStatus(result.GetStatus())
}

// propose answers a conflict as a reply that carries the winner; the client
// makes an error of it.
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

// claim is stamped with the leader's clock: a caller instance whose clock is
// wrong must not end the retention of others' keys.
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

// Status returns what operators see of this process.
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

// members lists the group and the entries, so that an entry need be told of one
// state process only.
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

// membersVersion gives equal lists equal versions, never 0.
func membersVersion(members *lilacv1.StateMembers) uint64 {
	// Messages of our own types always marshal.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(members)
	return max(xxhash.Sum64(data), 1)
}

// heartbeat is answered by the leader only, since it alone judges who lives.
func (s *Service) heartbeat(_ context.Context, _ link.Peer, r *lilacv1.HeartbeatRequest) (*lilacv1.HeartbeatReply, error) {
	status := s.log.Status()
	if !status.IsLeader {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "this state process does not lead; ask the leader",
			fault.WithLeader(status.Status.GetLeader()), fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	s.liveness.record(r.GetIncarnation())
	return &lilacv1.HeartbeatReply{}, nil
}

func (s *Service) lease(ctx context.Context, _ link.Peer, r *lilacv1.LeaseRequest) (*lilacv1.LeaseReply, error) {
	held := s.machine.Lease(r.GetName())
	r.ExpiredRenewal = s.leaseTimer.expiredRenewal(held)
	other := held.GetHolder() != "" && held.GetIncarnation() != r.GetIncarnation()
	if other && r.GetExpiredRenewal() == 0 && s.log.Status().IsLeader {
		// Many ask, one holds: those that get nothing need no place in the log.
		return &lilacv1.LeaseReply{Holder: held.GetHolder(), Incarnation: held.GetIncarnation(), Fencing: held.GetFencing(), DurationMs: held.GetDurationMs()}, nil
	}
	result, err := s.replicate(ctx, &lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: r}})
	if err != nil {
		return nil, err
	}
	return result.GetLease(), nil
}
