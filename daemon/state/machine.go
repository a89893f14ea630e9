// Package state composes a state process: the replicated log, the state
// machine above it (configuration, request ledger, leases) and the methods by
// which entries and operators reach it.
package state

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/version/config"
)

// Machine applies the log's commands, in order. Apply is called by the log's
// goroutine alone; the other methods by any.
type Machine struct {
	mu      sync.Mutex
	config  *config.Machine
	ledger  *ledger.Ledger
	leases  *lease.Table
	applied uint64
	// lastSnapshotSize is the size of the last snapshot, in bytes.
	lastSnapshotSize int
	// changed is closed and replaced at each new revision.
	changed chan struct{}
	// onLease is told of each grant or renewal as it is applied.
	onLease func(*lilacv1.LeaseEntry)
}

// headroomDivisor is the part of the last snapshot's size by which the next may be
// larger without a new buffer.
const headroomDivisor = 8

// NewMachine returns an empty Machine. All processes of a group must have the
// same audit retention (in revisions) and limits.
func NewMachine(auditRetention int, limits ledger.Limits) *Machine {
	return &Machine{
		config:  config.NewMachine(auditRetention),
		ledger:  ledger.New(limits),
		leases:  lease.NewTable(),
		changed: make(chan struct{}),
		onLease: func(*lilacv1.LeaseEntry) {},
	}
}

// Apply applies one command and returns the encoded CommandResult.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	c := &lilacv1.Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return encode(failed(fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "command does not decode; run one version on all instances")))
	}
	return encode(m.apply(c))
}

func (m *Machine) apply(c *lilacv1.Command) *lilacv1.CommandResult {
	if err := m.checkRecoveries(c); err != nil {
		return failed(err)
	}
	switch op := c.GetOp().(type) {
	case *lilacv1.Command_Propose:
		return m.propose(op.Propose)
	case *lilacv1.Command_Claim:
		reply, err := m.ledger.Claim(op.Claim)
		return &lilacv1.CommandResult{Status: fault.ToStatus(err), Reply: &lilacv1.CommandResult_Claim{Claim: reply}}
	case *lilacv1.Command_Outcome:
		reply, err := m.ledger.Outcome(op.Outcome)
		return &lilacv1.CommandResult{Status: fault.ToStatus(err), Reply: &lilacv1.CommandResult_Outcome{Outcome: reply}}
	case *lilacv1.Command_Gone:
		m.ledger.MarkGone(op.Gone)
		return &lilacv1.CommandResult{}
	case *lilacv1.Command_Lease:
		return m.lease(op.Lease)
	}
	return failed(fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "command of a kind that this version does not know; run one version on all instances"))
}

func (m *Machine) propose(p *lilacv1.Proposal) *lilacv1.CommandResult {
	if err := m.checkForgetKeys(p); err != nil {
		return failed(err)
	}
	before := m.config.Revision()
	result := m.config.Apply(p)
	if m.config.Revision() != before {
		m.forgetKeys(p)
		m.notifyChanged()
	}
	return result
}

// checkForgetKeys has the ledger check a date that is not its configuration's. The
// caller holds mu.
func (m *Machine) checkForgetKeys(p *lilacv1.Proposal) error {
	for _, before := range forgetCutoffs(p) {
		if err := m.ledger.CheckForget(before); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) forgetKeys(p *lilacv1.Proposal) {
	for _, before := range forgetCutoffs(p) {
		m.ledger.Forget(before)
	}
}

// forgetCutoffs returns the moments before which the proposal has keys forgotten.
func forgetCutoffs(p *lilacv1.Proposal) []int64 {
	var moments []int64
	for _, change := range p.GetChanges() {
		if op, ok := change.GetOp().(*lilacv1.Change_ForgetKeysBeforeUnixMs); ok {
			moments = append(moments, op.ForgetKeysBeforeUnixMs)
		}
	}
	return moments
}

func (m *Machine) lease(r *lilacv1.LeaseRequest) *lilacv1.CommandResult {
	reply, err := m.leases.Apply(r)
	if reply.GetGranted() {
		m.onLease(&lilacv1.LeaseEntry{Name: r.GetName(), Holder: reply.GetHolder(), Incarnation: reply.GetIncarnation(),
			Fencing: reply.GetFencing(), DurationMs: reply.GetDurationMs(), Renewal: reply.GetRenewal()})
	}
	return &lilacv1.CommandResult{Status: fault.ToStatus(err), Reply: &lilacv1.CommandResult_Lease{Lease: reply}}
}

func (m *Machine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture notes the whole state as it is now, and returns a function that
// encodes it while further commands are applied. Encoded messages that stand one
// after the other decode as one, merged.
func (m *Machine) Capture() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	configured, claimed, leased := m.config.Capture(), m.ledger.Capture(), m.leases.Snapshot()
	size := m.lastSnapshotSize
	return func() ([]byte, error) {
		data := make([]byte, 0, size+size/headroomDivisor)
		add := func(part *lilacv1.MachineSnapshot) (err error) {
			data, err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(data, part)
			return err
		}
		err := add(&lilacv1.MachineSnapshot{Config: configured(), Leases: leased})
		for part := range claimed {
			err = errors.Join(err, add(&lilacv1.MachineSnapshot{Ledger: part}))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lastSnapshotSize = len(data)
		return data, err
	}
}

// Restore replaces the whole state.
func (m *Machine) Restore(data []byte) error {
	s := &lilacv1.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "snapshot does not decode; give this process a new data folder, it then joins anew")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Restore(s.GetConfig())
	m.ledger.Restore(s.GetLedger())
	m.leases.Restore(s.GetLeases())
	m.lastSnapshotSize = len(data)
	m.notifyChanged()
	return nil
}

// Preview tells what a proposal would give, without changing anything.
func (m *Machine) Preview(p *lilacv1.Proposal) *lilacv1.CommandResult {
	preview := proto.CloneOf(p)
	preview.DryRun = true
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkForgetKeys(preview); err != nil {
		return failed(err)
	}
	return m.config.Apply(preview)
}

// Revision returns the number of the newest revision applied here.
func (m *Machine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Revision()
}

// Changed returns a channel that is closed at the next revision.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Since returns revisions after have, as config.Machine.Since does.
func (m *Machine) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Since(have, limit)
}

// Config returns the whole configuration.
func (m *Machine) Config() *lilacv1.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Config()
}

// Document returns the gateway's document in force, nil before the first.
func (m *Machine) Document() *lilacv1.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Document()
}

// Audit returns revisions, newest first, as config.Machine.Audit does.
func (m *Machine) Audit(from uint64, limit int) []*lilacv1.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Audit(from, limit)
}

// Counts are sizes for metrics and status.
type Counts struct {
	Revision         uint64
	Applied          uint64
	Claims           int
	OpenClaims       int
	Tombstones       int
	LateOutcomes     uint64
	InDoubtClaims    uint64
	BrokenInvariants uint64
}

// Counts returns the sizes as of now.
func (m *Machine) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{
		Revision:         m.config.Revision(),
		Applied:          m.applied,
		Claims:           m.ledger.Len(),
		OpenClaims:       m.ledger.OpenClaims(),
		Tombstones:       m.ledger.Tombstones(),
		LateOutcomes:     m.ledger.LateOutcomes(),
		InDoubtClaims:    m.ledger.InDoubtClaims(),
		BrokenInvariants: m.ledger.BrokenInvariants(),
	}
}

// FinalReply answers a claim that needs no place in the log, as ledger.FinalReply does.
func (m *Machine) FinalReply(r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.FinalReply(r)
}

// Incarnations returns those that have claimed and are not known to be gone.
func (m *Machine) Incarnations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Incarnations()
}

// Lease returns the named lease, nil if it was never held.
func (m *Machine) Lease(name string) *lilacv1.LeaseEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases.Get(name)
}

// Leases returns the leases in order of name.
func (m *Machine) Leases() []*lilacv1.LeaseEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases.All()
}

func failed(err error) *lilacv1.CommandResult {
	return &lilacv1.CommandResult{Status: fault.ToStatus(err)}
}

// encode never fails: a CommandResult holds valid UTF-8 only as far as its
// command did, which was decoded before.
func encode(result *lilacv1.CommandResult) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		data, _ = proto.Marshal(failed(fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "result does not encode")))
	}
	return data
}
