// Package replica replicates commands over the few processes that have a disk:
// a leader elected for a term, a log that a quorum syncs, snapshots, and
// changes of members one at a time.
//
// Core is the deterministic part: events in, actions out, no clock, disk or
// network. Node is the shell around it that a process runs.
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
	// defaultAppendBytes bounds the entries of one message, in bytes.
	defaultAppendBytes = 1 << 20
	// maxCommand is the largest command, in bytes: its entry must fit a message.
	maxCommand = 2 << 20
	// maxInFlight bounds the messages with entries that wait for one follower.
	maxInFlightAppends = 32
	// maxUncommitted bounds the entries that wait for the quorum.
	maxUncommitted = 16384
	// defaultChunkBytes is the part of a snapshot in one message, in bytes; well
	// under link.MaxFrame.
	defaultChunkBytes = 512 << 10
	// entryOverhead is a generous estimate of an entry's bytes beside its data.
	entryOverhead = 24
	// promoteLag is how many entries a learner may be behind to be promoted.
	promoteLag = 64
	// neverHeard is the age of the contact before the first one.
	initialStaleness = time.Hour
)

// Peer is another process of the settings, asked at a start without a group.
type Peer struct{ Name, Address string }

// Config is what the core knows from settings and random bits of the shell.
type Config struct {
	Name, Address, DataCenter string
	// ID is the identity: fresh random bits for an empty folder, else the stored one.
	ID string
	// SpareID is a fresh identity, should the first one have to be given up.
	SpareID string
	// NewGroupID names the group if this process founds one.
	NewGroupID string
	// Peers are the other processes of the settings.
	Peers []Peer
	// Bootstrap lets the process found a group with Peers.
	Bootstrap bool
	// AutoMembers makes each learner that has caught up a voter, and takes out a
	// voter that is lost.
	AutoMembers bool
	// Heartbeat is the leader's interval.
	Heartbeat time.Duration
	// Election is the shortest silence before a vote; a wait is up to twice that.
	Election time.Duration
	// AppendBytes bounds the entries of one message; 0 means 1 MiB.
	AppendBytes int
	// ChunkBytes is the part of a snapshot in one message; 0 means 512 KiB.
	ChunkBytes int
	// Seed of the election timeouts.
	Seed uint64
}

// Role is what the process does in the group.
type Role int

const (
	// Waiting processes belong to no group yet.
	Waiting Role = iota
	// Follower takes entries from the leader; learners are followers too.
	Follower
	// PreCandidate asks whether a vote could be won.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader orders the log.
	Leader
)

var roleNames = [...]string{"waiting", "follower", "pre-candidate", "candidate", "leader"}

// String returns the role as operators read it.
func (r Role) String() string { return roleNames[r] }

// Restored is what the files held at the start; zero for an empty folder.
type Restored struct {
	Hard     *lilacv1.RaftHardState
	Snapshot *lilacv1.RaftSnapshotMeta
	Entries  []*lilacv1.RaftEntry
}

// Core is the deterministic consensus core of one process.
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

	log             memoryLog
	snapshot        *lilacv1.RaftSnapshotMeta
	commit, applied uint64
	members         memberHistory

	leader, leaderAddress string
	leaderHeardAt         time.Duration
	freshness             freshness
	// startedAt and stampBase make the stamps of this start of the process unlike
	// those of any other.
	stampEpoch time.Duration
	stampBase  uint64
	// boundAt is when the process was bound to its group, or started.
	groupBoundAt time.Duration
	electionAt   time.Duration
	// preVoteAt is when a pre-candidate repeats its questions.
	preVoteAt time.Duration
	votes     map[string]bool
	diskFull  bool

	leaderState      leaderState
	join             joinState
	incomingSnapshot incomingSnapshot

	// Checked counts invariants checked, BrokenCount those that did not hold.
	InvariantsChecked, InvariantsViolated uint64
	// Ignored counts messages meant for another identity or group.
	IgnoredMessages uint64
}

// NewCore returns a core at time now, which continues from restored.
func NewCore(cfg Config, restored Restored, now time.Duration) *Core {
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)), now: now}
	c.leaderHeardAt, c.groupBoundAt = now-2*cfg.Election, now
	c.freshness.freshAt = now - initialStaleness
	c.stampEpoch, c.stampBase = now, cfg.Seed>>1|1
	c.cfg.AppendBytes = cmp.Or(cfg.AppendBytes, defaultAppendBytes)
	c.cfg.ChunkBytes = cmp.Or(cfg.ChunkBytes, defaultChunkBytes)
	if hard := restored.Hard; hard != nil {
		c.cfg.ID, c.group, c.term, c.vote = hard.GetId(), hard.GetGroup(), hard.GetTerm(), hard.GetVote()
		c.lineage.former, c.lineage.replacedBy = hard.GetFormer(), hard.GetReplacedBy()
	} else {
		c.hardDirty = true
	}
	if c.group == "" {
		// A founding that a crash cut short left files that mean nothing.
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
		// Who starts has heard no leader yet and need not wait for its silence: if
		// there is one, the pre-vote finds it.
		c.electionAt -= c.cfg.Election * 2 / 3
	}
	return c
}

// Step takes one event at time now, since any fixed moment, and returns what
// is to be done. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.out = c.out[:0]
	c.check(now >= c.now, "time_monotonic", "time went back")
	c.now = max(now, c.now)
	if c.lineage.replacedBy != "" {
		return c.out
	}
	// Before the event: a leader that was frozen must not act on it.
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
		// A founding counts on the first peers.
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

// check counts an invariant; if it does not hold, the caller must not go on.
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

// persist hands over what must be synced.
func (c *Core) persist() {
	p := Persist{}
	if c.hardDirty {
		p.Hard = &lilacv1.RaftHardState{Id: c.cfg.ID, Group: c.group, Term: c.term, Vote: c.vote, Former: c.lineage.former, ReplacedBy: c.lineage.replacedBy}
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

// apply hands over entries that are committed and synced here.
func (c *Core) apply() {
	until := min(c.commit, c.log.synced)
	if until <= c.applied {
		return
	}
	entries := slices.Clone(c.log.entries[c.applied-c.log.base : until-c.log.base])
	if !c.check(entries[0].GetIndex() == c.applied+1, "apply_in_order", "entry to apply does not follow the last one") {
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

// setDiskFull gives the office to a voter that can still write, if there is one.
func (c *Core) setDiskFull(full bool) {
	c.diskFull = full
	if full {
		c.transferLeadership()
	}
}

func (c *Core) setTerm(term uint64, vote string) {
	if !c.check(term >= c.term, "term_never_falls", "a lower term was to be taken") {
		return
	}
	if !c.check(term > c.term || c.vote == "" || c.vote == vote, "one_vote_per_term", "a second vote in one term") {
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

func (c *Core) resetElectionTimer() {
	if c.cfg.AutoMembers {
		c.electionAt = c.now + c.cfg.Election + c.electionPriorityDelay()
		return
	}
	spread := time.Duration(c.rng.Int64N(int64(c.cfg.Election)))
	c.electionAt = c.now + c.cfg.Election + spread
}

// turn is how much longer than the others this voter waits before it campaigns.
//
// It guards against votes that split again and again where all voters start in
// the same moment and a vote takes a way between regions: two of them campaign
// within that way, and nobody wins. It shows as seconds without a leader after all
// lost power at once. It holds because each voter has a turn of its own, by its
// place among the members, and a share of it is left to chance.
func (c *Core) electionPriorityDelay() time.Duration {
	ids := voters(c.members.latest())
	place := slices.Index(ids, c.cfg.ID)
	if place < 0 {
		place = len(ids)
	}
	step := c.cfg.Election / priorityStepDivisor
	return time.Duration(place)*step + time.Duration(c.rng.Int64N(int64(step)/2))
}

// turnShare is the part of the shortest silence that lies between two turns: with
// 600 ms, 200 ms, which covers pre-vote, vote and sync over 30 ms a way.
const priorityStepDivisor = 3

// compacted drops entries that a synced snapshot covers.
func (c *Core) handleCompacted(e Compacted) {
	if !c.check(e.Meta.GetIndex() <= c.applied, "snapshot_of_applied_only", "snapshot lies after the applied index") {
		return
	}
	if e.Meta.GetIndex() > c.snapshot.GetIndex() {
		c.snapshot = e.Meta
	}
	c.log.compact(min(e.Keep, c.snapshot.GetIndex()))
	c.members.compact(c.log.base)
}

// MembersAt returns the members in force at an applied index, for a snapshot.
func (c *Core) MembersAt(index uint64) *lilacv1.RaftMembers {
	return proto.Clone(c.members.at(index)).(*lilacv1.RaftMembers)
}

// TermAt returns the term of the entry at index; 0 if it is not held.
func (c *Core) TermAt(index uint64) uint64 {
	term, _ := c.log.term(index)
	return term
}

func (c *Core) self() *lilacv1.RaftMember {
	return &lilacv1.RaftMember{Id: c.cfg.ID, Name: c.cfg.Name, Address: c.cfg.Address, DataCenter: c.cfg.DataCenter}
}
