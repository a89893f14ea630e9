package config

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// RefusedRetention is the number of refused proposals whose results are kept. Results
// of accepted proposals are available as long as the audit trail holds the revision.
const RefusedRetention = 4096

// defaultAuditRetention is the default number of revisions in the audit trail.
const defaultAuditRetention = 100000

// Machine is the replicated state machine of the configuration. Processes that apply
// the same proposals in the same order hold the same state and return the same
// results. It is not safe for concurrent use.
type Machine struct {
	tables  tables
	audit   *history
	refused *refusals
}

// NewMachine returns an empty Machine whose audit trail holds the last retention
// revisions; 0 means 100000. All processes of a group must use the same retention.
func NewMachine(retention int) *Machine {
	if retention <= 0 {
		retention = defaultAuditRetention
	}
	return &Machine{tables: newTables(), audit: newHistory(retention), refused: newRefusals()}
}

// Revision returns the number of the newest revision.
func (m *Machine) Revision() uint64 { return m.tables.revision }

// Versions returns the software versions of all services, sorted. The caller must not modify them.
func (m *Machine) Versions() []*lilacv1.ServiceVersion {
	return sortVersions(values(m.tables.versions))
}

// Apply applies all changes of the proposal as one revision, or refuses the proposal
// and changes nothing. A repeated command id returns the result of the first call.
func (m *Machine) Apply(p *lilacv1.Proposal) *lilacv1.CommandResult {
	if previous := m.previousResult(p); previous != nil {
		return previous
	}
	result := m.decide(p)
	if p.GetDryRun() {
		return result
	}
	if _, accepted := m.audit.byCommand(p.GetCommandId()); !accepted && p.GetCommandId() != "" {
		m.refused.add(p.GetCommandId(), result)
	}
	return result
}

// previousResult returns the earlier result for the command id, or nil.
//
// It prevents a change from being applied twice when the operator resends it after a
// lost reply; the second revision would undo changes made by others in between. The
// ids are part of the replicated state, so every leader knows them.
func (m *Machine) previousResult(p *lilacv1.Proposal) *lilacv1.CommandResult {
	if revision, ok := m.audit.byCommand(p.GetCommandId()); ok {
		if revision.GetStatement() != p.GetStatement() || revision.GetWho() != p.GetWho() {
			return refusal(fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST,
				"command id %q was used for revision %d, another statement; make a new id for each statement", p.GetCommandId(), revision.GetNumber()), nil)
		}
		return accepted(&lilacv1.ProposeReply{Revision: revision.GetNumber(), RepeatedCommand: true})
	}
	return m.refused.repeatedResult(p.GetCommandId())
}

func (m *Machine) decide(p *lilacv1.Proposal) *lilacv1.CommandResult {
	if p.GetCommandId() == "" && !p.GetDryRun() {
		return refusal(invalid("the proposal has no command id; make a fresh one for each statement"), nil)
	}
	if p.IfRevision != nil && p.GetIfRevision() != m.tables.revision {
		return m.conflict(p)
	}
	if count := len(p.GetChanges()); count == 0 || count > maxChanges {
		return refusal(invalid("the proposal holds %d changes; write 1 to %d", count, maxChanges), nil)
	}
	if size := proto.Size(p); size > maxProposalBytes {
		return refusal(invalid("the proposal has %d bytes, %d are allowed; split it", size, maxProposalBytes), nil)
	}
	if m.superseded(p) {
		return accepted(&lilacv1.ProposeReply{Revision: m.tables.revision})
	}
	undos, err := m.tables.applyAll(p.GetChanges(), p.GetProposedUnixMs())
	if err != nil {
		rollBack(undos)
		return refusal(err, nil)
	}
	next := m.tables.revision + 1
	if p.GetDryRun() {
		rollBack(undos)
		return accepted(&lilacv1.ProposeReply{Revision: next})
	}
	m.tables.revision = next
	m.audit.add(revisionOf(p, next))
	return accepted(&lilacv1.ProposeReply{Revision: next})
}

// superseded reports whether the only change is a document whose version is not higher
// than the one in force. Such a proposal is accepted without a new revision.
func (m *Machine) superseded(p *lilacv1.Proposal) bool {
	if len(p.GetChanges()) != 1 {
		return false
	}
	set, ok := p.GetChanges()[0].GetOp().(*lilacv1.Change_SetDocument)
	return ok && set.SetDocument.GetVersion() > 0 && set.SetDocument.GetVersion() <= m.tables.document.GetVersion()
}

// applyAll checks and applies the changes in order. On an error the caller must roll
// back the returned undos.
func (t *tables) applyAll(changes []*lilacv1.Change, nowUnixMs int64) ([]undo, error) {
	undos := t.dropExpired(nowUnixMs)
	for _, change := range changes {
		if err := t.check(change); err != nil {
			return undos, err
		}
		undos = append(undos, t.apply(change)...)
	}
	return undos, nil
}

// conflict returns a CONFLICT result that names the revision after the expected one, or
// the newest if that is no longer held. When two proposals race with the same
// IfRevision, this is the revision of the one that won.
func (m *Machine) conflict(p *lilacv1.Proposal) *lilacv1.CommandResult {
	winner, ok := m.audit.get(p.GetIfRevision() + 1)
	if !ok {
		winner = m.audit.newest()
	}
	message := fmt.Sprintf("the configuration is at revision %d, not %d", m.tables.revision, p.GetIfRevision())
	if winner != nil {
		message += fmt.Sprintf("; %s made revision %d at %s: %s", winner.GetWho(), winner.GetNumber(),
			time.UnixMilli(winner.GetProposedUnixMs()).UTC().Format(time.RFC3339), winner.GetStatement())
	}
	message += "; look at it, then give the statement again with the new number"
	err := fault.New(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, message, fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	return refusal(err, &lilacv1.ProposeReply{Winner: winner, Revision: m.tables.revision})
}

func revisionOf(p *lilacv1.Proposal, number uint64) *lilacv1.Revision {
	return &lilacv1.Revision{
		Number:         number,
		CommandId:      p.GetCommandId(),
		Who:            p.GetWho(),
		Instance:       p.GetInstance(),
		Statement:      p.GetStatement(),
		Changes:        p.GetChanges(),
		ProposedUnixMs: p.GetProposedUnixMs(),
	}
}

func accepted(reply *lilacv1.ProposeReply) *lilacv1.CommandResult {
	return &lilacv1.CommandResult{Reply: &lilacv1.CommandResult_Propose{Propose: reply}}
}

func refusal(err error, reply *lilacv1.ProposeReply) *lilacv1.CommandResult {
	if reply == nil {
		reply = &lilacv1.ProposeReply{}
	}
	return &lilacv1.CommandResult{Status: fault.ToStatus(err), Reply: &lilacv1.CommandResult_Propose{Propose: reply}}
}

// Since returns up to limit revisions after have, oldest first. It returns false if the
// audit trail no longer holds the first of them.
func (m *Machine) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	return m.audit.since(have, limit)
}

// Audit returns up to limit revisions, newest first, starting at number from; 0 starts
// at the newest.
func (m *Machine) Audit(from uint64, limit int) []*lilacv1.Revision {
	return m.audit.list(from, limit)
}

// Config returns the whole configuration. The caller must not modify its items.
func (m *Machine) Config() *lilacv1.Snapshot { return m.tables.snapshot() }

// Document returns the gateway document in force, or nil before the first.
func (m *Machine) Document() *lilacv1.Document { return m.tables.document }

// Snapshot returns the whole state for Restore: the configuration, the audit trail and
// the results of refused proposals.
func (m *Machine) Snapshot() *lilacv1.ConfigSnapshot { return m.Capture()() }

// Capture records the current state and returns a function that builds its snapshot.
// The returned function does the expensive part. It may be called once, from any
// goroutine and concurrently with the machine, because items, revisions and results
// are never modified.
func (m *Machine) Capture() func() *lilacv1.ConfigSnapshot {
	s := &lilacv1.ConfigSnapshot{Config: m.tables.capture(), Audit: m.audit.all(), Refused: m.refused.all()}
	return func() *lilacv1.ConfigSnapshot {
		sorted(s.GetConfig())
		return s
	}
}

// Restore replaces the whole state by that of a snapshot.
func (m *Machine) Restore(s *lilacv1.ConfigSnapshot) {
	m.tables = newTables()
	m.tables.load(s.GetConfig())
	m.audit = newHistory(m.audit.retention)
	for _, revision := range s.GetAudit() {
		m.audit.add(revision)
	}
	m.refused = newRefusals()
	for _, command := range s.GetRefused() {
		m.refused.add(command.GetCommandId(), command.GetResult())
	}
}
