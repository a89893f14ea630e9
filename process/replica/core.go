// Package replica replicates commands across a small group of processes with
// durable storage, using the Raft algorithm: leader election by term, a log that
// a quorum syncs before commit, snapshots, and single-server membership changes.
//
// Core is the deterministic part: it takes events and returns actions, and uses
// no clock, disk or network. Runner connects a Core to the files and the state
// machine, and Node drives a Runner in a process.
package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// defaultAppendBytes bounds the size of the entries in one message.
	defaultAppendBytes = 1 << 20
	// maxCommand is the largest command, in bytes. Its entry must fit in one message.
	maxCommand = 2 << 20
	// maxInFlightAppends bounds the unacknowledged messages with entries per follower.
	maxInFlightAppends = 32
	// maxUncommitted bounds the entries that are appended but not yet committed.
	maxUncommitted = 16384
	// defaultChunkBytes is the size of the snapshot chunk in one message; well below
	// link.MaxFrame.
	defaultChunkBytes = 512 << 10
	// entryOverhead is an upper estimate of the encoded size of an entry without its data.
	entryOverhead = 24
	// promoteLag is how many entries a learner may lag behind the log's end and still
	// be promoted.
	promoteLag = 64
	// initialStaleness is the staleness reported before the first contact with a leader.
	initialStaleness = time.Hour
)

// Peer is another process listed in the settings. A process without a group
// contacts its peers to find one.
type Peer struct{ Name, Address string }

// Config holds the settings of a Core, and the random values that the caller
// draws for it.
type Config struct {
	Name, Address, DataCenter string
	// ID is this process's identity: random for an empty data folder, otherwise
	// overridden by the stored one.
	ID string
	// NewGroupID is the group's ID if this process bootstraps one.
	NewGroupID string
	// Peers are the other processes listed in the settings.
	Peers []Peer
	// Bootstrap permits this process to bootstrap a group together with Peers.
	Bootstrap bool
	// AutoMembers promotes learners to voters once they have caught up, and removes
	// voters that are lost.
	AutoMembers bool
	// Heartbeat is the interval between the leader's heartbeats.
	Heartbeat time.Duration
	// Election is the minimum election timeout. The actual timeout is up to twice that.
	Election time.Duration
	// AppendBytes bounds the size of the entries in one message; 0 means 1 MiB.
	AppendBytes int
	// ChunkBytes is the size of the snapshot chunk in one message; 0 means 512 KiB.
	ChunkBytes int
	// Seed seeds the random election timeouts.
	Seed uint64
}

// Role is the role of a process within its group.
type Role int

const (
	// Waiting means that the process does not belong to a group yet.
	Waiting Role = iota
	// Follower replicates entries from the leader. Learners are followers too.
	Follower
	// PreCandidate asks the voters whether it could win an election, without
	// raising its term.
	PreCandidate
	// Candidate requests votes in a new term.
	Candidate
	// Leader appends entries to the log and replicates them.
	Leader
)

var roleNames = [...]string{"waiting", "follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name as shown to operators.
func (r Role) String() string { return roleNames[r] }

// Restored is the persisted state at startup; zero for an empty data folder.
type Restored struct {
	Hard     *lilacv1.RaftHardState
	Snapshot *lilacv1.RaftSnapshotMeta
	Entries  []*lilacv1.RaftEntry
}

// Core is the deterministic consensus state machine of one process. It is not
// safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	out  []Action
	role Role

	group, vote string
	term        uint64
	hardDirty   bool
	lineage     lineage
	// founders are the names of the founding members if the data folder was created for the first
	// start; discarded are its former identities.
	founders, discarded []string

	log             memoryLog
	snapshot        *lilacv1.RaftSnapshotMeta
	commit, applied uint64
	members         memberHistory

	leader, leaderAddress string
	leaderHeardAt         time.Duration
	freshness             freshness
	// stampEpoch and stampBase make the stamps of this run of the process differ
	// from those of all others.
	stampEpoch time.Duration
	stampBase  uint64
	// groupBoundAt is when the process was bound to its group, or started.
	groupBoundAt time.Duration
	electionAt   time.Duration
	// preVoteAt is when a pre-candidate repeats its pre-vote requests.
	preVoteAt time.Duration
	votes     map[string]bool
	diskFull  bool

	leaderState      leaderState
	join             joinState
	incomingSnapshot incomingSnapshot

	// InvariantsChecked counts invariant checks, InvariantsViolated those that failed.
	InvariantsChecked, InvariantsViolated uint64
	// IgnoredMessages counts messages dropped because they were addressed to another
	// identity or group, or came from a candidate while a leader is active.
	IgnoredMessages uint64
}

// NewCore returns a Core at time now that continues from the restored state.
func NewCore(cfg Config, restored Restored, now time.Duration) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)), now: now}
	c.leaderHeardAt, c.groupBoundAt = now-2*cfg.Election, now
	c.freshness.freshAt = now - initialStaleness
	c.stampEpoch, c.stampBase = now, cfg.Seed>>1|1
	c.join.round = c.stampBase
	c.cfg.AppendBytes = cmp.Or(cfg.AppendBytes, defaultAppendBytes)
	c.cfg.ChunkBytes = cmp.Or(cfg.ChunkBytes, defaultChunkBytes)
	if hard := restored.Hard; hard != nil {
		c.cfg.ID, c.group, c.term, c.vote = hard.GetId(), hard.GetGroup(), hard.GetTerm(), hard.GetVote()
		c.lineage.former, c.lineage.replacedBy = hard.GetFormer(), hard.GetReplacedBy()
		c.founders, c.discarded = hard.GetFounders(), hard.GetDiscarded()
	} else {
		c.hardDirty = true
	}
	if names := cfg.settingsFounders(); names != nil && c.group == "" && !slices.Equal(names, c.founders) {
		c.founders, c.hardDirty = names, true
	}
	if c.group == "" {
		// A crash interrupted the bootstrap: what the files hold belongs to no group.
		restored.Snapshot, restored.Entries = nil, nil
	}
	if meta := restored.Snapshot; meta != nil {
		c.snapshot = meta
		c.log.reset(meta.GetIndex(), meta.GetTerm())
		c.commit, c.applied = meta.GetIndex(), meta.GetIndex()
		c.members.reset(meta.GetIndex(), meta.GetMembers())
	}
	c.log.append(restored.Entries...)
	c.log.submitted, c.log.synced = c.log.last(), c.log.last()
	for _, entry := range restored.Entries {
		c.members.add(entry)
	}
	if c.group != "" {
		c.role = Follower
	}
	c.resetElectionTimer()
	if c.cfg.AutoMembers {
		// A starting process need not wait a full election timeout: if there is a
		// leader, the pre-vote fails because the other voters still hear from it.
		c.electionAt -= c.cfg.Election * 2 / 3
	}
	return c
}

// Step processes one event at time now, measured from any fixed origin, and
// returns the resulting actions. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.out = c.out[:0]
	c.check(now >= c.now, "time_monotonic", "time went backwards")
	c.now = max(now, c.now)
	if c.lineage.replacedBy != "" {
		return c.out
	}
	// Checked before the event is processed, so that a leader that was suspended
	// cannot act on it.
	c.checkQuorum()
	switch e := e.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(e.Message)
	case Propose:
		c.propose(e)
	case Read:
		c.queueRead(e)
	case Flush:
		c.flush()
	case Synced:
		c.handleSynced(e)
	case DiskFull:
		c.setDiskFull(e.Full)
	case Compacted:
		c.handleCompacted(e)
	case ChangeMembers:
		c.changeMembers(e)
	case TransferLeadership:
		c.transferLeadership()
	case SetPeers:
		// A pending bootstrap requires the initial peers.
		if c.group != "" || !c.cfg.Bootstrap {
			c.cfg.Peers = e.Peers
		}
	}
	c.persist()
	c.apply()
	c.freshness.advance(c.applied)
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// check counts the check of an invariant and reports whether it holds. If not, the
// caller must abandon the step.
func (c *Core) check(holds bool, invariant, detail string) bool {
	c.InvariantsChecked++
	if !holds {
		c.InvariantsViolated++
		c.emit(InvariantViolated{Invariant: invariant, Detail: detail})
	}
	return holds
}

func (c *Core) tick() {
	c.announce()
	switch c.role {
	case Waiting:
		c.discoverGroup()
	case Leader:
		c.leaderTick()
	default:
		c.rejoin()
		if c.now >= c.electionAt && c.isVoter(c.cfg.ID) && !c.diskFull {
			c.campaign()
			return
		}
		c.retryPreVote()
	}
}

// persist emits a Persist action for the unsynced hard state and entries.
func (c *Core) persist() {
	p := Persist{}
	if c.hardDirty {
		p.Hard = &lilacv1.RaftHardState{Id: c.cfg.ID, Group: c.group, Term: c.term, Vote: c.vote, Former: c.lineage.former, ReplacedBy: c.lineage.replacedBy, Founders: c.founders, Discarded: c.discarded}
		c.hardDirty = false
	}
	if c.log.submitted < c.log.last() {
		p.Entries = slices.Clone(c.log.entries[c.log.submitted-c.log.base:])
		c.log.submitted = c.log.last()
	}
	if p.Hard != nil || len(p.Entries) > 0 {
		c.emit(p)
	}
}

func (c *Core) handleSynced(e Synced) {
	if term, ok := c.log.term(e.Index); ok && term == e.Term && e.Index > c.log.synced {
		c.log.synced = e.Index
	}
	switch c.role {
	case Candidate:
		if e.HardTerm == c.term {
			c.countVote(c.cfg.ID)
		}
	case Leader:
		c.advanceCommit()
	}
}

// apply emits an Apply action for entries that are committed and synced locally.
func (c *Core) apply() {
	until := min(c.commit, c.log.synced)
	if until <= c.applied {
		return
	}
	entries := slices.Clone(c.log.entries[c.applied-c.log.base : until-c.log.base])
	if !c.check(entries[0].GetIndex() == c.applied+1, "apply_in_order", "first entry to apply does not follow the last applied one") {
		return
	}
	c.applied = until
	c.emit(Apply{Entries: entries})
	for _, entry := range entries {
		if entry.GetKind() == lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_MEMBERS {
			c.membersCommitted(entry)
		}
	}
}

// setDiskFull records whether the disk is full. A leader whose disk is full
// transfers leadership to a voter that can still write, if there is one.
func (c *Core) setDiskFull(full bool) {
	c.diskFull = full
	if full {
		c.transferLeadership()
	}
}

func (c *Core) setTerm(term uint64, vote string) {
	if !c.check(term >= c.term, "term_never_falls", "new term is lower than the current one") {
		return
	}
	if !c.check(term > c.term || c.vote == "" || c.vote == vote, "one_vote_per_term", "vote for a second candidate in one term") {
		return
	}
	if term != c.term || vote != c.vote {
		c.term, c.vote, c.hardDirty = term, vote, true
	}
}

func (c *Core) setRole(role Role, leader, address string) {
	changed := c.role != role || c.leader != leader
	c.role, c.leader, c.leaderAddress = role, leader, address
	if changed {
		c.emit(RoleChanged{Role: role, Term: c.term, Leader: leader})
	}
}

// handleCompacted drops entries covered by a synced snapshot.
func (c *Core) handleCompacted(e Compacted) {
	if !c.check(e.Meta.GetIndex() <= c.applied, "snapshot_of_applied_only", "snapshot index is past the applied index") {
		return
	}
	if e.Meta.GetIndex() > c.snapshot.GetIndex() {
		c.snapshot = e.Meta
	}
	c.log.compact(min(e.Keep, c.snapshot.GetIndex()))
	c.members.compact(c.log.base)
}

// MembersAt returns a copy of the membership in force at an applied index.
func (c *Core) MembersAt(index uint64) *lilacv1.RaftMembers {
	return proto.Clone(c.members.at(index)).(*lilacv1.RaftMembers)
}

// TermAt returns the term of the entry at index; 0 if the log does not hold it.
func (c *Core) TermAt(index uint64) uint64 {
	term, _ := c.log.term(index)
	return term
}

func (c *Core) self() *lilacv1.RaftMember {
	return &lilacv1.RaftMember{Id: c.cfg.ID, Name: c.cfg.Name, Address: c.cfg.Address, DataCenter: c.cfg.DataCenter}
}
