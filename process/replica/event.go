package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Event is what the core is told; one of the types below.
type Event interface{ event() }

// Tick lets time pass; the shell sends one at least twice a heartbeat.
type Tick struct{}

// Received is a message of another process.
type Received struct{ Message *lilacv1.RaftMessage }

// Propose asks for a command to be replicated. The answer is Accepted or Refused.
type Propose struct {
	RequestID uint64
	Command   []byte
}

// Read asks for a linearizable read point. The answer is ReadReady or Refused.
type Read struct{ RequestID uint64 }

// Flush ends a batch of events: what they left to send goes out together.
type Flush struct{}

// Synced tells that the last Persist has been synced.
type Synced struct {
	// Index and Term are those of the last entry saved, 0 if none.
	Index, Term uint64
	// HardTerm is the term of the hard state saved, 0 if none.
	HardTerm uint64
}

// DiskFull tells whether the disk takes no more.
type DiskFull struct{ Full bool }

// Compacted tells that a snapshot at Index has been synced.
type Compacted struct {
	Meta *lilacv1.RaftSnapshotMeta
	// Keep is the index after which entries stay for slow followers.
	Keep uint64
}

// ChangeKind is a step of a change of members.
type ChangeKind int

const (
	// AddLearner takes a process in that does not count for the quorum.
	AddLearner ChangeKind = iota
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove takes a member out.
	Remove
)

// ChangeMembers asks for one step. The answer is Accepted or Refused.
type ChangeMembers struct {
	RequestID uint64
	Kind      ChangeKind
	Member    *lilacv1.RaftMember
}

// TransferLeadership asks the leader to give its office to the most caught-up voter.
type TransferLeadership struct{}

// SetPeers replaces the processes that are asked for a group. It does not change
// who founds one.
type SetPeers struct{ Peers []Peer }

func (SetPeers) event()           {}
func (Tick) event()               {}
func (Received) event()           {}
func (Propose) event()            {}
func (Read) event()               {}
func (Flush) event()              {}
func (Synced) event()             {}
func (DiskFull) event()           {}
func (Compacted) event()          {}
func (ChangeMembers) event()      {}
func (TransferLeadership) event() {}

// Action is what the core wants done, in order; one of the types below.
type Action interface{ action() }

// Send carries a message to an address.
type Send struct {
	Address string
	Message *lilacv1.RaftMessage
	// AfterSync messages promise something that Persist makes last: they go
	// out only after its sync, and not at all if it failed.
	AfterSync bool
	// SnapshotBytes asks the shell to fill Message.Chunk with so many bytes of
	// the newest snapshot from Message.Offset.
	SnapshotBytes int
}

// Persist must be synced; then the shell answers Synced.
type Persist struct {
	// Hard is nil if it did not change.
	Hard    *lilacv1.RaftHardState
	Entries []*lilacv1.RaftEntry
}

// Install replaces state machine and log by a snapshot; it must be synced before
// any Persist and AfterSync message that follows.
type Install struct {
	Meta *lilacv1.RaftSnapshotMeta
	Data []byte
}

// Apply hands committed entries to the state machine, in order.
type Apply struct{ Entries []*lilacv1.RaftEntry }

// Accepted tells at which place of the log a proposal stands.
type Accepted struct{ RequestID, Index, Term uint64 }

// Reason tells why a proposal or read was refused; it never ran.
type Reason int

const (
	// NotLeader means that another process leads.
	NotLeader Reason = iota
	// NoQuorum means that no leader has a quorum as far as this process knows.
	NoQuorum
	// NoSpace means that the disk is full.
	NoSpace
	// Busy means that too much waits for the quorum already.
	Busy
	// InvalidChange means that the step can't be made now.
	InvalidChange
	// TooLarge means that the command is above maxCommand.
	TooLarge
	// LeadershipTransfer means that the leader is giving its office away.
	LeadershipTransfer
	// RivalGroup means that two groups were recovered from the same one.
	RivalGroup
)

// Refused tells that a proposal or read was not taken.
type Refused struct {
	RequestID uint64
	Reason    Reason
	Detail    string
}

// ReadReady tells that a read may run once Index has been applied.
type ReadReady struct{ RequestID, Index uint64 }

// RoleChanged tells of a new role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader string
}

// MembersChanged tells of members in force.
type MembersChanged struct{ Members []*lilacv1.RaftMember }

// Repaired tells that the change that replaced a lost voter has been committed.
type Repaired struct{ Member *lilacv1.RaftMember }

// Replaced tells that a recovered group has replaced the own one for good.
type Replaced struct{ By string }

// RivalGroupDetected tells of another group that was recovered from the same one.
type RivalGroupDetected struct{ Group, Address string }

// InvariantViolated tells that an invariant did not hold; the step was not made.
type InvariantViolated struct{ Invariant, Detail string }

func (Send) action()               {}
func (Persist) action()            {}
func (Install) action()            {}
func (Apply) action()              {}
func (Accepted) action()           {}
func (Refused) action()            {}
func (ReadReady) action()          {}
func (RoleChanged) action()        {}
func (MembersChanged) action()     {}
func (Repaired) action()           {}
func (Replaced) action()           {}
func (RivalGroupDetected) action() {}
func (InvariantViolated) action()  {}
