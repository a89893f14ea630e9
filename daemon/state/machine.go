// Package state assembles a state process: the replicated log, the state machine on top
// of it (configuration, request ledger, leases) and the methods that entries and
// operators call.
package state

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/usage"
	"github.com/lilacbridge/lilacbridge/version/config"
)

// Machine is the state machine of the replicated log. Apply must be called by the log's
// goroutine only; all other methods are safe for concurrent use.
type Machine struct {
	// mu guards the fields below.
	mu      sync.Mutex
	config  *config.Machine
	ledger  *ledger.Ledger
	leases  *lease.Table
	usage   *usage.Table
	applied uint64
	// lastSnapshotSize is the size of the last snapshot, in bytes.
	lastSnapshotSize int
	// changed is closed and replaced at each new revision and by Restore.
	changed chan struct{}
	// onLease is called for each grant or renewal as it is applied, with mu held.
	onLease func(*lilacv1.LeaseEntry)
}

// headroomDivisor sets the initial buffer of a snapshot: the size of the last one plus
// 1/headroomDivisor, so that a slightly larger snapshot needs no reallocation.
const headroomDivisor = 8

// NewMachine returns an empty Machine. The audit retention is a number of revisions. It
// and the limits must be the same in all processes of a group.
func NewMachine(auditRetention int, limits ledger.Limits) *Machine {
	return &Machine{
		config:  config.NewMachine(auditRetention),
		ledger:  ledger.New(limits),
		leases:  lease.NewTable(),
		usage:   usage.NewTable(),
		changed: make(chan struct{}),
		onLease: func(*lilacv1.LeaseEntry) {},
	}
}

// Apply applies one command and returns the encoded CommandResult, which also carries
// the error of a refused command.
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
	case *lilacv1.Command_Usage:
		m.usage.Apply(op.Usage)
		return &lilacv1.CommandResult{}
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

// checkForgetKeys returns an error if the ledger can't forget the keys that the proposal
// names. The configuration, which checks the rest of the proposal, does not know the
// ledger. The caller holds mu.
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

// forgetCutoffs returns the times, in Unix milliseconds, before which the proposal has
// keys forgotten.
func forgetCutoffs(p *lilacv1.Proposal) []int64 {
	var cutoffs []int64
	for _, change := range p.GetChanges() {
		if op, ok := change.GetOp().(*lilacv1.Change_ForgetKeysBeforeUnixMs); ok {
			cutoffs = append(cutoffs, op.ForgetKeysBeforeUnixMs)
		}
	}
	return cutoffs
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

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture captures the current state and returns a function that encodes it. The function
// may run while further commands are applied; they don't affect its result. The state is
// encoded as a sequence of protobuf messages, which decodes as one merged message.
func (m *Machine) Capture() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encodeConfig, ledgerParts := m.config.Capture(), m.ledger.Capture()
	leases, usageState := m.leases.Snapshot(), m.usage.Snapshot()
	size := m.lastSnapshotSize
	return func() ([]byte, error) {
		data := make([]byte, 0, size+size/headroomDivisor)
		add := func(part *lilacv1.MachineSnapshot) (err error) {
			data, err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(data, part)
			return err
		}
		err := add(&lilacv1.MachineSnapshot{Config: encodeConfig(), Leases: leases, Usage: usageState})
		for part := range ledgerParts {
			err = errors.Join(err, add(&lilacv1.MachineSnapshot{Ledger: part}))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lastSnapshotSize = len(data)
		return data, err
	}
}

// Restore replaces the state by that of an encoded snapshot.
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
	m.usage.Restore(s.GetUsage())
	m.lastSnapshotSize = len(data)
	m.notifyChanged()
	return nil
}

// Preview returns the result that a proposal would have now, without changing the state.
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

// Revision returns the number of the newest revision applied.
func (m *Machine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Revision()
}

// Changed returns a channel that is closed when the next revision is applied or a
// snapshot is restored.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Since returns up to limit revisions after have; see config.Machine.Since.
func (m *Machine) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Since(have, limit)
}

// Config returns the complete configuration.
func (m *Machine) Config() *lilacv1.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Config()
}

// Versions returns the record of software versions.
func (m *Machine) Versions() []*lilacv1.ServiceVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Versions()
}

// Document returns the gateway's document in force; nil before the first one.
func (m *Machine) Document() *lilacv1.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Document()
}

// Audit returns revisions, newest first; see config.Machine.Audit.
func (m *Machine) Audit(from uint64, limit int) []*lilacv1.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Audit(from, limit)
}

// Counts are figures for metrics and status.
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

// Counts returns the current figures.
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
		BrokenInvariants: m.ledger.InvariantsViolated(),
	}
}

// FinalReply returns the reply to a claim that need not be replicated, and whether there
// is one; see ledger.Ledger.FinalReply.
func (m *Machine) FinalReply(r *lilacv1.ClaimRequest) (*lilacv1.ClaimReply, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.FinalReply(r)
}

// Incarnations returns the incarnations that have made claims and are not marked as gone.
func (m *Machine) Incarnations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Incarnations()
}

// Lease returns the named lease; nil if it was never held.
func (m *Machine) Lease(name string) *lilacv1.LeaseEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases.Get(name)
}

// Leases returns all leases, sorted by name.
func (m *Machine) Leases() []*lilacv1.LeaseEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leases.All()
}

// Usage returns the replicated state of usage reports.
func (m *Machine) Usage() usage.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.State()
}

func failed(err error) *lilacv1.CommandResult {
	return &lilacv1.CommandResult{Status: fault.ToStatus(err)}
}

// encode returns an encoded error if the result does not encode. That does not occur
// with results of decoded commands, whose strings are valid UTF-8.
func encode(result *lilacv1.CommandResult) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		data, _ = proto.Marshal(failed(fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "result does not encode")))
	}
	return data
}
