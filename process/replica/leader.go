package replica

import (
	"fmt"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// progress is the leader's replication state for one other member.
type progress struct {
	member *lilacv1.RaftMember
	// match is the last index known to be synced by the member; next is the next to send.
	match, next uint64
	// While probing, entries are sent one message at a time until one is accepted.
	// probeSent is set while that message is unanswered.
	probing, probeSent bool
	// inFlight holds the last index of each unacknowledged message with entries.
	inFlight []uint64
	// lastHeard is when the last reply arrived.
	lastHeard time.Duration
	// round is the latest heartbeat round that the member has acknowledged, acknowledgedAt when
	// it was sent: the member followed this leader at some later moment.
	round          uint64
	acknowledgedAt time.Duration
	// stamp is the stamp of the member's last reply, echoed back to it.
	stamp            uint64
	snapshotTransfer *snapshotTransfer
	diskFull         bool
}

// sentRound is when a heartbeat round was first sent.
type sentRound struct {
	round uint64
	at    time.Duration
}

// maxSentRounds bounds the rounds whose replies are dated.
const maxSentRounds = 256

type pendingRead struct{ requestID, index, round uint64 }

// leaderState exists only while this process is the leader.
type leaderState struct {
	progress map[string]*progress
	// firstIndex is the index of the empty entry appended at the start of the term.
	firstIndex  uint64
	heartbeatAt time.Duration
	// broadcastCommit is the commit index last broadcast by flush.
	broadcastCommit uint64
	round           uint64
	sentRounds      []sentRound
	newReads        []uint64
	pendingReads    []pendingRead
	// transferee is the voter to which leadership is being transferred, until
	// transferDeadline; empty if none.
	transferee       string
	transferDeadline time.Duration
	// repairIndex is the index of the entry that promotes the replacement repairID.
	repairID    string
	repairIndex uint64
}

func (c *Core) startLeading() {
	c.leaderState = leaderState{progress: map[string]*progress{}, heartbeatAt: c.now + c.cfg.Heartbeat}
	c.updateProgress()
	for _, p := range c.leaderState.progress {
		// Freshness counts once an entry of this term is committed, which a quorum has accepted since.
		p.acknowledgedAt = c.now
	}
	c.leaderState.firstIndex = c.appendEntry(lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_EMPTY, nil)
	c.broadcast(true)
}

// updateProgress keeps one progress for each other member in force.
func (c *Core) updateProgress() {
	old := c.leaderState.progress
	c.leaderState.progress = map[string]*progress{}
	for _, member := range c.members.latest().GetMembers() {
		if member.GetId() == c.cfg.ID {
			continue
		}
		p := old[member.GetId()]
		if p == nil {
			p = &progress{next: c.log.last() + 1, probing: true, lastHeard: c.now, acknowledgedAt: c.now - initialStaleness}
		}
		p.member = member
		c.leaderState.progress[member.GetId()] = p
	}
}

// others returns the progress of all other members, in membership order.
func (c *Core) others() []*progress {
	var all []*progress
	for _, member := range c.members.latest().GetMembers() {
		if p := c.leaderState.progress[member.GetId()]; p != nil {
			all = append(all, p)
		}
	}
	return all
}

// appendEntry appends an entry of the current term.
func (c *Core) appendEntry(kind lilacv1.RaftEntryKind, data []byte) uint64 {
	entry := &lilacv1.RaftEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.check(c.log.lastTerm() <= c.term, "terms_grow_along_the_log", "last term of the log is greater than the current term")
	c.log.append(entry)
	c.members.add(entry)
	return entry.GetIndex()
}

// checkQuorum makes a leader step down if it has not heard from a quorum within an
// election timeout.
//
// A leader that is partitioned, or resumes from a suspension, must not accept changes
// that cannot be committed while another leader is active. The check runs before
// each event, with the current time.
func (c *Core) checkQuorum() {
	if c.role != Leader {
		return
	}
	heard := map[string]bool{c.cfg.ID: true}
	for id, p := range c.leaderState.progress {
		heard[id] = c.now-p.lastHeard <= c.cfg.Election
	}
	if !c.hasQuorum(heard) {
		c.becomeFollower(c.term, "", "")
	}
}

func (c *Core) stepDown() {
	for _, requestID := range c.leaderState.newReads {
		c.refuse(requestID)
	}
	for _, read := range c.leaderState.pendingReads {
		c.refuse(read.requestID)
	}
	c.leaderState = leaderState{}
}

func (c *Core) refuse(requestID uint64) {
	reason := NotLeader
	if c.role == Leader || !c.hasRecentLeader() {
		reason = NoQuorum
	}
	c.emit(Refused{RequestID: requestID, Reason: reason})
}

func (c *Core) propose(e Propose) {
	switch {
	case c.role != Leader:
		c.refuse(e.RequestID)
	case len(e.Command) > maxCommand:
		// An entry that fits in no message would block replication of all later ones.
		c.emit(Refused{RequestID: e.RequestID, Reason: TooLarge})
	case c.leaderState.transferee != "":
		c.emit(Refused{RequestID: e.RequestID, Reason: LeadershipTransfer})
	case c.diskFull:
		c.emit(Refused{RequestID: e.RequestID, Reason: NoSpace})
	case c.rivalGroup() != "":
		c.emit(Refused{RequestID: e.RequestID, Reason: RivalGroup})
	case c.log.last()-c.commit >= maxUncommitted:
		c.emit(Refused{RequestID: e.RequestID, Reason: Busy})
	default:
		index := c.appendEntry(lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, e.Command)
		c.emit(Accepted{RequestID: e.RequestID, Index: index, Term: c.term})
	}
}

func (c *Core) leaderTick() {
	if c.leaderState.transferee != "" && c.now >= c.leaderState.transferDeadline {
		c.leaderState.transferee = ""
	}
	for _, p := range c.others() {
		c.resendChunk(p)
	}
	if c.now < c.leaderState.heartbeatAt {
		return
	}
	c.leaderState.heartbeatAt = c.now + c.cfg.Heartbeat
	c.startRound()
	c.broadcast(true)
	c.repair()
}

// startRound starts a heartbeat round. Replies to it are dated by when it was sent, since they may
// arrive long after the member has turned to another leader.
func (c *Core) startRound() {
	l := &c.leaderState
	l.round++
	l.sentRounds = append(l.sentRounds, sentRound{l.round, c.now})
	if len(l.sentRounds) > maxSentRounds {
		l.sentRounds = slices.Delete(l.sentRounds, 0, len(l.sentRounds)-maxSentRounds)
	}
}

// recordRound records the round that a member's reply acknowledges.
func (c *Core) recordRound(p *progress, round uint64) {
	if round <= p.round {
		return
	}
	p.round = round
	for _, sent := range c.leaderState.sentRounds {
		if sent.round == round {
			p.acknowledgedAt = sent.at
		}
	}
}

// flush sends what the events of a batch left to send. A new commit index is sent at
// once, in an empty message if there are no entries to send; otherwise followers, and
// the entry processes that read revisions from them, would learn of an accepted change
// only with the next heartbeat.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	started := c.startReads()
	committed := c.commit > c.leaderState.broadcastCommit
	c.leaderState.broadcastCommit = c.commit
	c.broadcast(started || committed)
	c.finishReads()
}

func (c *Core) broadcast(heartbeat bool) {
	for _, p := range c.others() {
		c.sendTo(p, heartbeat)
	}
}

// sendTo sends the entries that the member lacks. If there are none to send and
// heartbeat is set, it sends an empty message.
func (c *Core) sendTo(p *progress, heartbeat bool) {
	if p.snapshotTransfer != nil {
		return
	}
	sent := false
	for p.next <= c.log.last() && c.canSend(p) {
		if !c.sendEntries(p, c.cfg.AppendBytes) {
			return
		}
		sent = true
	}
	if heartbeat && !sent {
		c.sendEntries(p, 0)
	}
}

func (c *Core) canSend(p *progress) bool {
	if p.diskFull {
		return false
	}
	if p.probing {
		return !p.probeSent
	}
	return len(p.inFlight) < maxInFlightAppends
}

// sendEntries sends entries of up to the given size in bytes, or none for 0. It returns
// false if the member needs a snapshot instead.
func (c *Core) sendEntries(p *progress, bytes int) bool {
	previous := p.next - 1
	term, held := c.log.term(previous)
	if !held {
		c.startTransfer(p)
		return false
	}
	m := &message{Kind: kindAppend, To: p.member.GetId(), Term: c.term, Index: previous, LogTerm: term, Commit: c.commit, Round: c.leaderState.round, Stamp: p.stamp, AgeMs: c.commitAge()}
	if bytes > 0 {
		m.Entries = c.log.from(p.next, bytes)
		last := previous + uint64(len(m.Entries))
		if p.probing {
			p.probeSent = true
		} else {
			p.next = last + 1
			p.inFlight = append(p.inFlight, last)
		}
	}
	c.send(p.member.GetAddress(), m, false)
	return true
}

func (c *Core) recordReply(m *message) *progress {
	if c.role != Leader || m.GetTerm() != c.term {
		return nil
	}
	p := c.leaderState.progress[m.GetFrom()]
	if p == nil {
		return nil
	}
	p.lastHeard, p.diskFull, p.stamp = c.now, m.GetDiskFull(), m.GetStamp()
	c.recordRound(p, m.GetRound())
	return p
}

func (c *Core) handleAppendReply(m *message) {
	p := c.recordReply(m)
	if p == nil {
		return
	}
	if m.GetReject() {
		c.handleAppendReject(p, m)
		return
	}
	c.advanceMatch(p, m.GetIndex())
}

// handleAppendReject moves next back to where the member's log may match. Delayed
// rejections are recognised by their index and ignored.
func (c *Core) handleAppendReject(p *progress, m *message) {
	if p.snapshotTransfer != nil || m.GetIndex() <= p.match || m.GetIndex() >= p.next {
		return
	}
	if p.probing && m.GetIndex() != p.next-1 {
		return
	}
	p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()+1))
	p.probing, p.probeSent, p.inFlight = true, false, nil
	c.sendTo(p, true)
}

func (c *Core) advanceMatch(p *progress, index uint64) {
	if !c.check(index <= c.log.last(), "follower_not_ahead_of_leader", fmt.Sprintf("%s acknowledged index %d, past the last index %d", p.member.GetName(), index, c.log.last())) {
		return
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing, p.probeSent = false, false
	p.inFlight = slices.DeleteFunc(p.inFlight, func(last uint64) bool { return last <= p.match })
	c.advanceCommit()
	c.continueTransfer(p)
	c.sendTo(p, false)
}

// advanceCommit advances the commit index to the last entry that a quorum has synced,
// provided that the entry is of the current term.
//
// An entry of an older term may be stored on a quorum and still be overwritten by a
// later leader that never received it: committing it by count would apply it here and
// lose it there. Committing an entry of the current term above it rules this out,
// since no log without that entry can win an election.
func (c *Core) advanceCommit() {
	if c.role != Leader {
		return
	}
	var synced []uint64
	for _, member := range c.members.latest().GetMembers() {
		switch {
		case !member.GetVoter():
		case member.GetId() == c.cfg.ID:
			synced = append(synced, c.log.synced)
		default:
			synced = append(synced, c.leaderState.progress[member.GetId()].match)
		}
	}
	if len(synced) == 0 {
		return
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if index <= c.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	c.commit = index
}

// transferLeadership starts a transfer of leadership to the most up-to-date voter.
func (c *Core) transferLeadership() {
	if c.role != Leader || c.leaderState.transferee != "" {
		return
	}
	var best *progress
	for _, p := range c.others() {
		eligible := p.member.GetVoter() && !p.diskFull && c.now-p.lastHeard <= c.cfg.Election
		if eligible && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best == nil {
		return
	}
	c.leaderState.transferee, c.leaderState.transferDeadline = best.member.GetId(), c.now+c.cfg.Election
	c.continueTransfer(best)
}

func (c *Core) continueTransfer(p *progress) {
	if c.role == Leader && c.leaderState.transferee == p.member.GetId() && p.match == c.log.last() {
		c.send(p.member.GetAddress(), &message{Kind: kindTimeoutNow, To: p.member.GetId(), Term: c.term}, false)
	}
}
