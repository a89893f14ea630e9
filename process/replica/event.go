package replica

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Event is an input of Core; one of the types below.
type Event interface{ event() }

// Tick lets the core act on elapsed time. The caller sends at least two per heartbeat
// interval.
type Tick struct{}

// Received is a message from another process.
type Received struct{ Message *lilacv1.RaftMessage }

// Propose requests that a command be replicated. The answer is Accepted or Refused.
type Propose struct {
	RequestID uint64
	Command   []byte
}

// Read requests a linearizable read index. The answer is ReadReady or Refused.
type Read struct{ RequestID uint64 }

// Flush ends a batch of events; messages deferred during the batch are sent.
type Flush struct{}

// Synced reports that the last Persist has been synced.
type Synced struct {
	// Index and Term are those of the last entry synced, 0 if none.
	Index, Term uint64
	// HardTerm is the term of the hard state synced, 0 if none.
	HardTerm uint64
}

// DiskFull reports whether the disk is full.
type DiskFull struct{ Full bool }

// Compacted reports that a snapshot of the local state has been synced.
type Compacted struct {
	Meta *lilacv1.RaftSnapshotMeta
	// Keep is the index after which entries are retained for lagging followers.
	Keep uint64
}

// ChangeKind is the kind of a membership change.
type ChangeKind int

const (
	// AddLearner adds a non-voting member.
	AddLearner ChangeKind = iota
	// Promote turns a learner that has caught up into a voter.
	Promote
	// Remove removes a member.
	Remove
)

// ChangeMembers requests one membership change. The answer is Accepted or Refused.
type ChangeMembers struct {
	RequestID uint64
	Kind      ChangeKind
	Member    *lilacv1.RaftMember
}

// TransferLeadership asks the leader to transfer leadership to the most
// up-to-date voter.
type TransferLeadership struct{}

// SetPeers replaces the peers contacted to find a group. While a bootstrap is
// pending it has no effect.
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

// Action is an output of Core, to be carried out in order; one of the types below.
type Action interface{ action() }

// Send sends a message to an address.
type Send struct {
	Address string
	Message *lilacv1.RaftMessage
	// AfterSync messages acknowledge state that a Persist makes durable: they are
	// sent only after it has been synced, and not at all if the sync fails.
	AfterSync bool
	// SnapshotBytes, if not 0, asks the caller to fill Message.Chunk with up to that
	// many bytes of the newest snapshot, starting at Message.Offset.
	SnapshotBytes int
}

// Persist must be written and synced; the caller then passes Synced to the core.
type Persist struct {
	// Hard is nil if it did not change.
	Hard    *lilacv1.RaftHardState
	Entries []*lilacv1.RaftEntry
}

// Install replaces the state machine and the log by a snapshot. It must be synced
// before any later Persist and AfterSync message.
type Install struct {
	Meta *lilacv1.RaftSnapshotMeta
	Data []byte
}

// Apply passes committed entries to the state machine, in log order.
type Apply struct{ Entries []*lilacv1.RaftEntry }

// Accepted reports the log position at which a proposal was appended.
type Accepted struct{ RequestID, Index, Term uint64 }

// Reason is the reason why a proposal or read was refused. A refused request never ran.
type Reason int

const (
	// NotLeader means that another process is the leader.
	NotLeader Reason = iota
	// NoQuorum means that this process knows no leader with a quorum.
	NoQuorum
	// NoSpace means that the disk is full.
	NoSpace
	// Busy means that too many entries are waiting to be committed.
	Busy
	// InvalidChange means that the membership change is not possible now.
	InvalidChange
	// TooLarge means that the command exceeds maxCommand.
	TooLarge
	// LeadershipTransfer means that the leader is transferring its leadership.
	LeadershipTransfer
	// RivalGroup means that another group was recovered from the same original group.
	RivalGroup
)

// Refused reports that a request was not accepted.
type Refused struct {
	RequestID uint64
	Reason    Reason
	Detail    string
}

// ReadReady reports that a read may run once Index has been applied.
type ReadReady struct{ RequestID, Index uint64 }

// RoleChanged reports a new role or leader, and the term in which it holds.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader string
}

// MembersChanged reports the membership now in force.
type MembersChanged struct{ Members []*lilacv1.RaftMember }

// Repaired reports that the promotion of a learner, normally the replacement of a lost
// voter, has been committed and synced by that member.
type Repaired struct{ Member *lilacv1.RaftMember }

// Replaced reports that a recovered group has permanently replaced the local one.
type Replaced struct{ By string }

// FoundingDelayed reports why a process without a group has none yet.
type FoundingDelayed struct{ Reason string }

// GroupAbandoned reports that this process left a group that was founded and can never commit an
// entry.
type GroupAbandoned struct{ Group string }

// RivalGroupDetected reports a message from another group that was recovered from the
// same original group.
type RivalGroupDetected struct{ Group, Address string }

// InvariantViolated reports that an invariant did not hold; the step was abandoned.
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
func (FoundingDelayed) action()    {}
func (GroupAbandoned) action()     {}
func (RivalGroupDetected) action() {}
func (InvariantViolated) action()  {}
