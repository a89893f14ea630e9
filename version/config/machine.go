package config

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// RefusedRetention is how many refused proposals are remembered with their
// answers. Accepted ones are remembered as long as the audit trail holds them.
const RefusedRetention = 4096

// defaultAuditRetention is the number of revisions kept where none is stated.
const defaultAuditRetention = 100000

// Machine is the configuration's state machine. Calls must not overlap. All
// processes that apply the same proposals in the same order hold the same
// state and give the same results.
type Machine struct {
	tables  tables
	audit   *trail
	refused *refusals
}

// NewMachine returns an empty Machine whose audit trail keeps the last
// retention revisions; 0 means the default of 100000. All processes of a group
// must have the same retention.
func NewMachine(retention int) *Machine {
	if retention <= 0 {
		retention = defaultAuditRetention
	}
	return &Machine{tables: newTables(), audit: newTrail(retention), refused: newRefusals()}
}

// Revision returns the number of the newest revision.
func (m *Machine) Revision() uint64 { return m.tables.revision }

// Apply makes a revision of the proposal, whole, or refuses it and changes
// nothing. A command id seen before gets its first answer again.
func (m *Machine) Apply(p *lilacv1.Proposal) *lilacv1.CommandResult {
	if first := m.first(p); first != nil {
		return first
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

// first returns the answer that the command id got before, or nil.
//
// It guards against a change applied twice after a lost answer: the operator
// resends and a second revision would undo what others changed in between. It
// holds because the ids are part of the replicated state, so any leader knows them.
func (m *Machine) first(p *lilacv1.Proposal) *lilacv1.CommandResult {
	if revision, ok := m.audit.byCommand(p.GetCommandId()); ok {
		if revision.GetStatement() != p.GetStatement() || revision.GetWho() != p.GetWho() {
			return refusal(fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST,
				"command id %q was used for revision %d, another statement; make a new id for each statement", p.GetCommandId(), revision.GetNumber()), nil)
		}
		return accepted(&lilacv1.ProposeReply{Revision: revision.GetNumber(), RepeatedCommand: true})
	}
	return m.refused.answer(p.GetCommandId())
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
	if m.overtaken(p) {
		return accepted(&lilacv1.ProposeReply{Revision: m.tables.revision})
	}
	undos, err := m.tables.applyAll(p.GetChanges(), p.GetProposedUnixMs())
	if err != nil {
		takeBack(undos)
		return refusal(err, nil)
	}
	next := m.tables.revision + 1
	if p.GetDryRun() {
		takeBack(undos)
		return accepted(&lilacv1.ProposeReply{Revision: next})
	}
	m.tables.revision = next
	m.audit.add(revisionOf(p, next))
	return accepted(&lilacv1.ProposeReply{Revision: next})
}

// overtaken tells whether the proposal only holds a document whose version is not
// above the one in force. It is accepted, and makes no revision.
func (m *Machine) overtaken(p *lilacv1.Proposal) bool {
	if len(p.GetChanges()) != 1 {
		return false
	}
	set, ok := p.GetChanges()[0].GetOp().(*lilacv1.Change_SetDocument)
	return ok && set.SetDocument.GetVersion() > 0 && set.SetDocument.GetVersion() <= m.tables.document.GetVersion()
}

// applyAll checks and applies the steps one after another; on an error the
// caller takes the undos back.
func (t *tables) applyAll(changes []*lilacv1.Change, nowUnixMs int64) ([]undo, error) {
	undos := t.dropExpired(nowUnixMs)
	for _, change := range changes {
		if err := t.check(change); err != nil {
			return undos, err
		}
		undos = append(undos, t.change(change)...)
	}
	return undos, nil
}

// conflict names the revision that came first. With the same number on both
// sides of a race that is the winner's.
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

// Since returns the revisions after have, oldest first and at most limit. It
// tells false where the audit trail no longer holds the first of them.
func (m *Machine) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	return m.audit.since(have, limit)
}

// Audit returns up to limit revisions, newest first, from the number from
// downwards; 0 means from the newest.
func (m *Machine) Audit(from uint64, limit int) []*lilacv1.Revision {
	return m.audit.list(from, limit)
}

// Config returns the whole configuration; the items must not be changed.
func (m *Machine) Config() *lilacv1.Snapshot { return m.tables.snapshot() }

// Document returns the gateway's document in force, nil before the first.
func (m *Machine) Document() *lilacv1.Document { return m.tables.document }

// Snapshot returns all that Restore needs: the configuration, the audit trail
// and the remembered command ids.
func (m *Machine) Snapshot() *lilacv1.ConfigSnapshot { return m.Capture()() }

// Capture notes the state as it is now and returns a function that makes the
// snapshot of it. That one is the slow part; any goroutine may call it, once,
// while the machine goes on: items, revisions and results never change.
func (m *Machine) Capture() func() *lilacv1.ConfigSnapshot {
	s := &lilacv1.ConfigSnapshot{Config: m.tables.capture(), Audit: m.audit.all(), Refused: m.refused.all()}
	return func() *lilacv1.ConfigSnapshot {
		inOrder(s.GetConfig())
		return s
	}
}

// Restore replaces the whole state.
func (m *Machine) Restore(s *lilacv1.ConfigSnapshot) {
	m.tables = newTables()
	m.tables.load(s.GetConfig())
	m.audit = newTrail(m.audit.retention)
	for _, revision := range s.GetAudit() {
		m.audit.add(revision)
	}
	m.refused = newRefusals()
	for _, command := range s.GetRefused() {
		m.refused.add(command.GetCommandId(), command.GetResult())
	}
}
