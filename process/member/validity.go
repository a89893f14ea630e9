package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Cutoffs are valid for a limited period, like a lease: an instance that sheds a
// tier relies on the tiers that the others announce they admit. A delayed digest is as reliable as
// a fast one, and a late or lost digest only shortens the period.
//
// Clocks of different instances are never compared. Each digest carries a stamp of
// the sender's clock and echoes the last stamp received from the receiver, so the
// receiver knows by its own clock a time after which the digest was composed. Each
// node subtracts that age before it combines digests, so the oldest part determines
// the validity.
const (
	// meshValidity is the validity period in a mesh: one digest, two lost ones, and
	// up to one second of age of the echo.
	meshValidity = 4 * time.Second
	// missingTimeout is how long an instance that has stopped sending makes combined
	// digests incomplete. Within that time a live one has found another parent or
	// returned to this one.
	missingTimeout = avoidPeriod + TreeLifetime
	// A stamp holds milliseconds in the low stampBits; the bits above identify the
	// sender's incarnation.
	stampBits = 40
	stampMask = 1<<stampBits - 1
)

// validityState tracks the age of digests and the missing instances.
type validityState struct {
	startedAt time.Time
	// lastStamps holds the last stamp of each peer, to be echoed.
	lastStamps map[string]uint64
	// missing holds the instances that stopped sending without leaving.
	missing map[string]missingInstance
	// summarySequence numbers the combined digests delivered to the policy.
	summarySequence uint64
}

// missingInstance is an instance considered missing until a given time.
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

// composedAfter returns a local time after which the digest was composed, or zero
// if that is unknown.
//
// An echo of a stamp from an earlier incarnation of this process, whose clock had
// another origin, must not make an old digest look new. Stamps therefore contain
// bits of the incarnation.
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

// remainingMs returns what is left at now of a validity of validForMs that began
// after since.
func remainingMs(validForMs uint32, now, since time.Time) uint32 {
	age := now.Sub(since)
	left := time.Duration(validForMs)*time.Millisecond - age
	if since.IsZero() || age < 0 || left <= 0 {
		return 0
	}
	return uint32(left.Milliseconds())
}

// asPart returns the digest as part of a combined one. It is incomplete if its
// validity has ended or its age is unknown.
func (r receivedDigest) asPart(now time.Time) *lilacv1.Digest {
	d := r.digest
	bindsMs := remainingMs(d.GetBindsMs(), now, r.composedAfter)
	return &lilacv1.Digest{
		Revision: d.GetRevision(), Cutoffs: d.GetCutoffs(), Suspects: d.GetSuspects(), Spends: d.GetSpends(),
		Readings: d.GetReadings(), Parts: agedParts(d.GetParts(), now.Sub(r.receivedAt)),
		Ejected: d.GetEjected(), LeavingServers: d.GetLeavingServers(), BindsMs: bindsMs, Incomplete: d.GetIncomplete() || bindsMs == 0,
	}
}

// forPolicy returns the digest in the form that the policy receives: with its
// remaining validity, with the validity period for the policy's own digests, and
// for a combined digest with a sequence number, since the policy drops digests that
// are not newer than the last.
func (c *Core) forPolicy(now time.Time, d *lilacv1.Digest, r receivedDigest) *lilacv1.Digest {
	out := &lilacv1.Digest{
		Instance: d.GetInstance(), DataCenter: d.GetDataCenter(), Incarnation: d.GetIncarnation(), Sequence: d.GetSequence(),
		Leaving: d.GetLeaving(), Revision: d.GetRevision(), Cutoffs: d.GetCutoffs(), Loads: d.GetLoads(),
		Suspects: d.GetSuspects(), Spends: d.GetSpends(), Ejected: d.GetEjected(),
		Readings: d.GetReadings(), Work: d.GetWork(), Parts: d.GetParts(),
		BindsMs: d.GetBindsMs(), Incomplete: d.GetIncomplete(), PromiseMs: uint32(c.validityPeriod().Milliseconds()),
	}
	if d.GetInstance() == Others {
		c.summarySequence++
		out.Sequence = c.summarySequence
		return out
	}
	aged := r.asPart(now)
	out.BindsMs, out.Incomplete = aged.GetBindsMs(), aged.GetIncomplete()
	return out
}

// validityPeriod returns how long an instance's digest must be valid to remain so
// after passing through the whole tree. A step up takes two intervals (the wait for
// the next exchange and the age of its echo), a step down takes one, and the hop
// between data centres takes as long as a step up.
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

// validitySlack is the number of intervals that do not depend on the depth: two
// between data centres, one at the policy, two for lost exchanges.
const validitySlack = 5

// depth returns the number of levels below the root of a tree of n nodes.
func depth(n int) int {
	levels := 0
	for within, level := 1, 1; within < n; levels++ {
		level *= Fanout
		within += level
	}
	return levels
}

// noteMissing records that an instance stopped sending without announcing that it
// leaves.
//
// While a child of a failed parent looks for a new one, the combined digests lack
// its part, and the others would shed tiers that it still admits. Combined digests
// are therefore incomplete for as long as a live instance may need to reach another
// parent.
func (c *Core) noteMissing(now time.Time, name string) {
	d := c.received[name].digest
	if c.Tree() && !d.GetLeaving() && !c.leavingInstances[name] {
		c.missing[name] = missingInstance{d.GetDataCenter(), now.Add(missingTimeout)}
	}
}

// noteOrphans records that a higher-ranked peer was given up, since its children
// are unknown here.
//
// An instance that replaces a dead parent has never heard from the parent's other
// children, so it would not miss them: its combined digests would seem complete
// while such a child still looks for a parent and admits tiers that they exclude.
// This happens when several parents die in a row, since a child tries the dead ones
// first. Combined digests are incomplete for as long as a live child may need. A
// peer that fails again after being retried has no children left.
func (c *Core) noteOrphans(now time.Time, peer string) {
	dataCenter := c.peers[peer].DataCenter
	if c.Tree() && c.failures[peer] == maxFailures && dataCenter == c.self.DataCenter {
		c.missing[peer] = missingInstance{dataCenter, now.Add(missingTimeout)}
	}
}

// expireMissing removes the missing instances whose timeout has passed.
func (c *Core) expireMissing(now time.Time) {
	for name, a := range c.missing {
		if !now.Before(a.until) {
			delete(c.missing, name)
		}
	}
}

// instanceMissing reports whether an instance of the data centre, or of any if
// dataCenter is "", may be missing. A core that has just started does not know its
// children yet.
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
