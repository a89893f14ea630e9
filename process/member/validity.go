package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// An instance that sheds a tier relies on what others said they admit. Their
// word is a promise for a stated time, a lease, so that a slow word binds as
// well as a quick one; what is late or lost only ends a lease sooner.
//
// No two clocks are compared. Each digest carries a stamp of its sender's clock
// and echoes the last stamp that its sender had from the receiver: it was
// composed after that, by the receiver's own clock. Each node takes the age off
// before it combines a word, so the oldest part counts.
const (
	// meshPromise is how long a word binds in a mesh: a digest, two lost ones,
	// and the second that an echo may be old.
	meshValidity = 4 * time.Second
	// absent is how long an entry that fell silent makes the sum incomplete. A
	// living one has found another parent by then, or come back to this one.
	missingTimeout = avoidPeriod + TreeLifetime
	// stampBits hold milliseconds; the bits above tell one life of a process
	// from another.
	stampBits = 40
	stampMask = 1<<stampBits - 1
)

// promises is what the core knows of the age of words and of who is missing.
type validityState struct {
	startedAt time.Time
	// stamps are the last ones of the peers, to be echoed.
	lastStamps map[string]uint64
	// missing are entries that fell silent.
	missing map[string]missingInstance
	// count numbers the digests given to the policy.
	summarySequence uint64
}

// absence of an entry counts until a moment.
type missingInstance struct {
	dataCenter string
	until      time.Time
}

func (c *Core) incarnationBits() uint64 {
	return xxhash.Sum64String(c.own.GetIncarnation()) &^ stampMask
}

func (c *Core) stamp(now time.Time) uint64 {
	return c.incarnationBits() | uint64(now.Sub(c.startedAt).Milliseconds())&stampMask
}

func (c *Core) noteStamp(from string, d *lilacv1.Digest) {
	if d.GetStamp() != 0 {
		c.lastStamps[from] = d.GetStamp()
	}
}

// composedAfter returns a time after which the digest was composed, or zero.
//
// It guards against an echo of an earlier life of this process, whose clock
// began elsewhere: an old word would count as new. It holds because each life
// has bits of its own in its stamps.
func (c *Core) composedAfter(now time.Time, d *lilacv1.Digest) time.Time {
	echo := d.GetEcho()
	if echo == 0 || echo&^stampMask != c.incarnationBits() {
		return time.Time{}
	}
	at := c.startedAt.Add(time.Duration(echo&stampMask) * time.Millisecond)
	if at.After(now) {
		return time.Time{}
	}
	return at
}

// remaining is what is left at now of a promise of so many milliseconds made
// after since.
func remainingMs(validForMs uint32, now, since time.Time) uint32 {
	age := now.Sub(since)
	left := time.Duration(validForMs)*time.Millisecond - age
	if since.IsZero() || age < 0 || left <= 0 {
		return 0
	}
	return uint32(left.Milliseconds())
}

// aged is the digest as a part of a sum: a promise that has ended, or whose age
// is not known, makes it incomplete.
func (h receivedDigest) asPart(now time.Time) *lilacv1.Digest {
	d := h.digest
	bindsMs := remainingMs(d.GetBindsMs(), now, h.composedAfter)
	return &lilacv1.Digest{
		Revision: d.GetRevision(), Cutoffs: d.GetCutoffs(), Suspects: d.GetSuspects(), Spends: d.GetSpends(),
		Readings: d.GetReadings(),
		Ejected:  d.GetEjected(), BindsMs: bindsMs, Incomplete: d.GetIncomplete() || bindsMs == 0,
	}
}

// given is the digest as the policy gets it: with what is left of its promise,
// how long the policy's own words are to bind and, for a sum, a number, since
// the policy drops what is not newer than the last.
func (c *Core) forPolicy(now time.Time, d *lilacv1.Digest, h receivedDigest) *lilacv1.Digest {
	out := &lilacv1.Digest{
		Instance: d.GetInstance(), DataCenter: d.GetDataCenter(), Incarnation: d.GetIncarnation(), Sequence: d.GetSequence(),
		Leaving: d.GetLeaving(), Revision: d.GetRevision(), Cutoffs: d.GetCutoffs(), Loads: d.GetLoads(),
		Suspects: d.GetSuspects(), Spends: d.GetSpends(), Ejected: d.GetEjected(), LeavingServers: d.GetLeavingServers(),
		Readings: d.GetReadings(), Work: d.GetWork(),
		BindsMs: d.GetBindsMs(), Incomplete: d.GetIncomplete(), PromiseMs: uint32(c.validityPeriod().Milliseconds()),
	}
	if d.GetInstance() == Others {
		c.summarySequence++
		out.Sequence = c.summarySequence
		return out
	}
	aged := h.asPart(now)
	out.BindsMs, out.Incomplete = aged.GetBindsMs(), aged.GetIncomplete()
	return out
}

// promise is how long an instance's words are to bind, so that they still do
// when they have passed through the whole tree. A step up costs two intervals,
// the wait for the next exchange and the age of its echo, a step down one, and
// the way between data centres as much as a step up.
func (c *Core) validityPeriod() time.Duration {
	if !c.Tree() {
		return meshValidity
	}
	counts := map[string]int{c.self.DataCenter: 1}
	for _, peer := range c.peers {
		counts[peer.DataCenter]++
	}
	deepest := 0
	for _, count := range counts {
		deepest = max(deepest, depth(count))
	}
	return time.Duration(3*deepest+validitySlack) * TreeInterval
}

// promiseSlack is the intervals of a promise that don't depend on the depth: two
// between data centres, one at the policy, two for lost exchanges.
const validitySlack = 5

// depth returns the levels below the root of a tree of n entries.
func depth(n int) int {
	levels := 0
	for within, level := 1, 1; within < n; levels++ {
		level *= Fanout
		within += level
	}
	return levels
}

// miss notes that an entry fell silent without having left in order.
//
// It guards against a sum that no longer holds an entry which still lives: its
// parent died, and while it looks for another one, all others would shed as if
// it had cut off what it admits. It holds because the sum is incomplete for as
// long as a living entry may take to be heard by another parent.
func (c *Core) noteMissing(now time.Time, name string) {
	d := c.received[name].digest
	if c.Tree() && !d.GetLeaving() && !c.leavingInstances[name] {
		c.missing[name] = missingInstance{d.GetDataCenter(), now.Add(missingTimeout)}
	}
}

// orphans notes that a peer above was given up whose children are not known here.
//
// It guards against an entry that takes a dead parent's place: it never heard the
// parent's other children, so it misses none of them, and its sums seem whole
// while such a child still looks for a parent and admits what the sums deny. It
// shows where parents die in turn, since then a child tries the dead ones first.
// It holds because the sums are incomplete for as long as a living child may take.
// A peer that is tried again and still silent has no children any more.
func (c *Core) noteOrphans(now time.Time, peer string) {
	dataCenter := c.peers[peer].DataCenter
	if c.Tree() && c.failures[peer] == maxFailures && dataCenter == c.self.DataCenter {
		c.missing[peer] = missingInstance{dataCenter, now.Add(missingTimeout)}
	}
}

// giveUp ends the absences of those who must be dead.
func (c *Core) expireMissing(now time.Time) {
	for name, a := range c.missing {
		if !now.Before(a.until) {
			delete(c.missing, name)
		}
	}
}

// lacks tells whether an entry of the data centre, or of any if that is "", may
// be missing. One that just began does not know its children yet.
func (c *Core) instanceMissing(now time.Time, dataCenter string) bool {
	if now.Sub(c.startedAt) < missingTimeout {
		return true
	}
	for _, a := range c.missing {
		if dataCenter == "" || a.dataCenter == dataCenter {
			return true
		}
	}
	return false
}
