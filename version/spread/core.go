// Package spread selects the sender from which an entry instance receives revisions,
// and splits snapshots into parts.
//
// The entry instances of a data centre form a tree by rank. The root, called the relay,
// follows a state process and the others follow each other below it, so that each
// revision crosses into a data centre once. The rank is a hash of the name, so all
// instances agree on it without messages. An instance only follows instances of higher
// rank, which keeps the tree free of cycles even while instances disagree on which of
// them are alive.
package spread

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// Timing holds the intervals and limits after which an entry instance replaces its
// sender.
type Timing struct {
	// HeartbeatInterval is how often a sender sends an update when nothing changes.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a sender may send nothing before it is replaced.
	SilenceTimeout time.Duration
	// MaxAge is the age of a sender's configuration above which it is replaced.
	MaxAge time.Duration
	// TransferTimeout limits the transfer of one update that is making progress. A
	// sender that exceeds it is replaced.
	TransferTimeout time.Duration
}

// DefaultTiming limits the cost of heartbeats for 1,100 entry instances. Changes are in
// force everywhere within 13 s.
var DefaultTiming = Timing{HeartbeatInterval: HeartbeatInterval, SilenceTimeout: silenceTimeout, MaxAge: maxAge, TransferTimeout: transferTimeout}

// FastTiming is for changes that must be in force everywhere within 3 s: it detects a
// silent sender after 1 s, which leaves time to switch to another one.
var FastTiming = Timing{HeartbeatInterval: 300 * time.Millisecond, SilenceTimeout: time.Second, MaxAge: 1500 * time.Millisecond, TransferTimeout: transferTimeout}

const (
	// Fanout is the number of entry instances that follow one instance directly.
	Fanout = 8
	// silenceTimeout is three times HeartbeatInterval.
	silenceTimeout = 3 * time.Second
	maxAge         = 5 * time.Second
	// transferTimeout is twice the time that 1 MB takes at 1 Mbit/s, to allow for other
	// traffic on the link.
	transferTimeout = 16 * time.Second
	// avoidPeriod is how long a failed sender is not used.
	avoidPeriod = 10 * time.Second
)

// HeartbeatInterval is how often a sender sends an update when nothing changes, under
// DefaultTiming.
const HeartbeatInterval = time.Second

// Target is a sender: an entry instance, or a state process if Entry is empty.
type Target struct {
	Entry string
	// StateIndex selects the state process: 0 is the nearest, followed by the others in
	// order of distance. It grows without bound and wraps around the list.
	StateIndex int
}

// IsState reports whether the target is a state process.
func (t Target) IsState() bool { return t.Entry == "" }

// Event is an input to Core.Step.
type Event interface{ event() }

// Entries lists the entry instances of the data centre that are considered alive, in
// any order. It need not contain the instance itself.
type Entries struct{ Names []string }

// UpdateReceived reports a complete update from the target.
type UpdateReceived struct {
	Target Target
	// Age is the age of the target's configuration when it sent the update.
	Age time.Duration
	// Delay is the transmission time of the update. It does not count against the
	// target.
	Delay time.Duration
}

// UpdateProgress reports that another part of an incomplete update arrived.
type UpdateProgress struct{ Target Target }

// StreamFailed reports that the stream from the target ended or could not be opened.
type StreamFailed struct{ Target Target }

// Tick reports the current time. It must be sent regularly.
type Tick struct{}

func (Entries) event()        {}
func (UpdateReceived) event() {}
func (UpdateProgress) event() {}
func (StreamFailed) event()   {}
func (Tick) event()           {}

// Follow tells the caller of Step to close the current stream and to follow the target.
type Follow struct {
	Target Target
	// Reason is for the log.
	Reason Reason
}

// Reason is why an entry instance changes its sender.
type Reason string

const (
	// ReasonStart is the first selection after a start.
	ReasonStart Reason = "start"
	// ReasonRank is a change of the live entry instances, or the end of a sender's
	// avoidance period.
	ReasonRank Reason = "rank"
	// ReasonSilent is a sender that exceeded SilenceTimeout.
	ReasonSilent Reason = "silent"
	// ReasonSenderBehind is a sender whose configuration is older than MaxAge.
	ReasonSenderBehind Reason = "sender behind"
	// ReasonBehind is an entry instance that is itself behind and switches to a state
	// process.
	ReasonBehind Reason = "behind"
	// ReasonStreamEnded is a stream that ended or could not be opened.
	ReasonStreamEnded Reason = "stream ended"
)

// Core selects the sender of one entry instance. It does no I/O and is not safe for
// concurrent use.
type Core struct {
	self   string
	timing Timing
	// higherRanked lists the live entry instances of the data centre that rank above
	// self, highest first.
	higherRanked []string
	// avoided maps failed senders to the end of their avoidance period.
	avoided map[string]time.Time
	current Target
	// following is false until the first Follow.
	following bool
	// lastActivity is when anything last arrived from the current target.
	lastActivity time.Time
	// lastUpdate is when the last complete update arrived or the target was selected,
	// lastProgress when the last part of an incomplete one arrived.
	lastUpdate, lastProgress time.Time
	// currentAsOf is the last time at which this instance's revision is known to have
	// been the newest.
	currentAsOf time.Time
	// stateIndex is the StateIndex of the next state process to follow. stateChangedAt
	// is when it last changed because a state process was behind.
	stateIndex     int
	stateChangedAt time.Time
	// stateUntil is the time until which a state process is followed regardless of rank.
	stateUntil time.Time
	// reason is the reason for a change of sender in the current step.
	reason Reason
}

// NewCore returns the Core of the entry instance self with DefaultTiming. It has no
// sender until the first Step.
func NewCore(self string) *Core { return NewCoreWithTiming(self, DefaultTiming) }

// NewCoreWithTiming is like NewCore with the given timing.
func NewCoreWithTiming(self string, timing Timing) *Core {
	return &Core{self: self, timing: timing, avoided: make(map[string]time.Time)}
}

// Current returns the current sender.
func (c *Core) Current() Target { return c.current }

// Step processes one event. It returns the sender to follow from now on, or nil if the
// sender does not change.
func (c *Core) Step(now time.Time, event Event) []Follow {
	if c.currentAsOf.IsZero() {
		c.currentAsOf = now
	}
	c.reason = ReasonRank
	switch e := event.(type) {
	case Entries:
		c.setEntries(e.Names)
	case UpdateReceived:
		if e.Target != c.current {
			return nil
		}
		c.lastActivity, c.lastUpdate = now, now
		if asOf := now.Add(-e.Age - e.Delay); asOf.After(c.currentAsOf) {
			c.currentAsOf = asOf
		}
		if e.Age > c.timing.MaxAge {
			c.reason = ReasonSenderBehind
			c.avoid(now)
			c.skipStaleState(now)
		}
	case UpdateProgress:
		c.recordProgress(now, e.Target)
	case StreamFailed:
		if e.Target != c.current {
			return nil
		}
		c.reason = ReasonStreamEnded
		c.avoid(now)
		if c.current.IsState() {
			c.stateIndex++
			c.stateUntil = time.Time{}
		}
	case Tick:
		c.tick(now)
	}
	return c.chooseTarget(now)
}

// recordProgress counts progress of an update as activity for up to TransferTimeout,
// because another sender would start the same transfer from the beginning.
func (c *Core) recordProgress(now time.Time, from Target) {
	if from == c.current && now.Sub(c.lastUpdate) <= c.timing.TransferTimeout {
		c.lastActivity, c.lastProgress = now, now
	}
}

// tick checks for a silent sender and for an outdated configuration. An entry instance
// that is behind switches directly to a state process: the next senders by rank may
// follow the same failed sender, and each attempt would take seconds.
func (c *Core) tick(now time.Time) {
	if c.following && now.Sub(c.lastActivity) > c.timing.SilenceTimeout {
		c.reason = ReasonSilent
		c.avoid(now)
		if c.current.IsState() {
			c.stateIndex++
		}
	}
	receiving := now.Sub(c.lastProgress) <= c.timing.SilenceTimeout
	if !c.current.IsState() && !receiving && now.Sub(c.currentAsOf) > c.timing.MaxAge && !now.Before(c.stateUntil) {
		c.reason = ReasonBehind
		c.avoid(now)
		c.stateUntil = now.Add(avoidPeriod)
	}
}

// skipStaleState moves from a state process that is behind to the next one, for example
// when the nearest is slow to catch up after a network partition. It moves at most once
// per MaxAge, because during a partition no state process is better than the nearest.
func (c *Core) skipStaleState(now time.Time) {
	if c.current.IsState() && now.Sub(c.stateChangedAt) >= c.timing.MaxAge {
		c.stateIndex++
		c.stateChangedAt = now
	}
}

func (c *Core) setEntries(names []string) { c.higherRanked = member.HigherRanked(c.self, names) }

// avoid excludes the current target for avoidPeriod if it is an entry instance.
func (c *Core) avoid(now time.Time) {
	if !c.current.IsState() {
		c.avoided[c.current.Entry] = now.Add(avoidPeriod)
	}
}

// chooseTarget selects the sender and returns a Follow if it differs from the current
// one.
func (c *Core) chooseTarget(now time.Time) []Follow {
	for name, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, name)
		}
	}
	target := c.parent()
	if now.Before(c.stateUntil) {
		target = Target{}
	}
	if target.IsState() {
		target.StateIndex = c.stateIndex
	}
	if c.following && target == c.current {
		return nil
	}
	reason := c.reason
	if !c.following {
		reason = ReasonStart
	}
	c.current, c.following = target, true
	c.lastActivity, c.lastUpdate, c.lastProgress = now, now, time.Time{}
	return []Follow{{Target: target, Reason: reason}}
}

// parent returns the parent of self in a tree with Fanout children per node, built by
// rank from the entry instances that are not avoided.
func (c *Core) parent() Target {
	if len(c.avoided) == 0 {
		return Target{Entry: member.Parent(c.higherRanked, Fanout)}
	}
	usable := make([]string, 0, len(c.higherRanked))
	for _, name := range c.higherRanked {
		if _, avoided := c.avoided[name]; !avoided {
			usable = append(usable, name)
		}
	}
	return Target{Entry: member.Parent(usable, Fanout)}
}
