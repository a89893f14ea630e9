// Package spread decides from whom an entry instance receives revisions, and
// cuts snapshots into parts.
//
// The entries of a data centre form a tree by rank: one of them, the relay,
// follows a state process and the others follow each other below it, so that
// each revision crosses into a data centre once. The rank is a hash of the
// name, so that all entries agree on it without a message. An entry follows
// only those of a rank above its own, which keeps the tree free of cycles also
// while entries disagree about who lives.
package spread

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/member"
)

// Timing says how soon an entry leaves a sender.
type Timing struct {
	// HeartbeatInterval is how often a sender sends an update when nothing changes.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a sender may say nothing before another is taken.
	SilenceTimeout time.Duration
	// MaxAge is the age of a sender's knowledge above which another is taken.
	MaxAge time.Duration
	// TransferTimeout is how long one update may take to arrive, as long as it goes on
	// arriving, before another sender is taken.
	TransferTimeout time.Duration
}

// DefaultTiming keeps the signs of life of 1,100 entries cheap: changes are in force
// everywhere in 13 s.
var DefaultTiming = Timing{HeartbeatInterval: HeartbeatInterval, SilenceTimeout: silence, MaxAge: behindLimit, TransferTimeout: transfer}

// FastTiming finds a silent sender soon enough for changes that must be in force
// everywhere within 3 s: 1 s of silence and the way to another sender.
var FastTiming = Timing{HeartbeatInterval: 300 * time.Millisecond, SilenceTimeout: time.Second, MaxAge: 1500 * time.Millisecond, TransferTimeout: transfer}

const (
	// Fanout is how many entries follow one entry directly.
	Fanout = 8
	// silence is how long a sender may say nothing before another is taken. A
	// sender gives a sign of life each SignOfLife.
	silence = 3 * time.Second
	// behindLimit is the age of a sender's knowledge above which another is taken.
	behindLimit = 5 * time.Second
	// transfer is what 1 MB takes at 1 Mbit/s, with as much again for what else
	// shares the link.
	transfer = 16 * time.Second
	// avoidance is how long a failed sender is passed over.
	avoidance = 10 * time.Second
)

// HeartbeatInterval is how often a sender sends an update when nothing changes.
const HeartbeatInterval = time.Second

// Target is whom to follow: an entry by name, or a state process where Entry is empty.
type Target struct {
	Entry string
	// StateIndex tells which state process: the nearest one for 0, then the others in
	// order of distance, and round again.
	StateIndex int
}

// IsState tells whether the target is a state process.
func (t Target) IsState() bool { return t.Entry == "" }

// Event is something that happened; see the types below.
type Event interface{ event() }

// Entries names the entries of the own data centre that are taken for alive,
// in any order; the own name counts whether or not it is there.
type Entries struct{ Names []string }

// UpdateReceived tells that the target sent an update.
type UpdateReceived struct {
	Target Target
	// Age of the target's knowledge of the newest revision when it sent the update.
	Age time.Duration
	// Delay is how long the update was on its way, which says nothing of the target.
	Delay time.Duration
}

// UpdateProgress tells that more of an update came from the target, which is not whole yet.
type UpdateProgress struct{ Target Target }

// StreamFailed tells that the stream from the target ended, or could not be opened.
type StreamFailed struct{ Target Target }

// Tick lets time pass.
type Tick struct{}

func (Entries) event()        {}
func (UpdateReceived) event() {}
func (UpdateProgress) event() {}
func (StreamFailed) event()   {}
func (Tick) event()           {}

// Follow tells the shell to leave whom it follows and to follow the target.
type Follow struct {
	Target Target
	// Reason says why, for the log.
	Reason Reason
}

// Reason is why an entry changes whom it follows.
type Reason string

const (
	// ReasonStart is the first choice after the start.
	ReasonStart Reason = "start"
	// ReasonRank is a change of the entries that are alive, or a sender that is no longer avoided.
	ReasonRank Reason = "rank"
	// ReasonSilent is a sender that said nothing for too long.
	ReasonSilent Reason = "silent"
	// ReasonSenderBehind is a sender whose own knowledge is too old.
	ReasonSenderBehind Reason = "sender behind"
	// ReasonBehind is an entry that is itself behind and goes to a state process.
	ReasonBehind Reason = "behind"
	// ReasonStreamEnded is a stream that ended or could not be opened.
	ReasonStreamEnded Reason = "stream ended"
)

// Core decides whom one entry follows. Calls must not overlap.
type Core struct {
	self   string
	timing Timing
	// above holds the entries of a rank above the own, best rank first, with
	// all positions counted in the data centre.
	above   []string
	avoided map[string]time.Time
	current Target
	// following is false until the first Follow.
	following bool
	heard     time.Time
	// whole is when the last update came or the target was first followed,
	// receiving when more of the next one last came.
	whole, receiving time.Time
	// sure is when the own revision was surely the newest.
	sure time.Time
	// turn counts the state processes that were left, turned is when one was left
	// for being behind.
	turn   int
	turned time.Time
	// direct is until when a state process is followed whatever the rank.
	direct time.Time
	// reason is why the sender followed last was left.
	reason Reason
}

// NewCore returns the core of the entry named self, which follows nobody yet.
func NewCore(self string) *Core { return NewCoreWithTiming(self, DefaultTiming) }

// NewCoreWithTiming is NewCore with its own timing.
func NewCoreWithTiming(self string, timing Timing) *Core {
	return &Core{self: self, timing: timing, avoided: make(map[string]time.Time)}
}

// Current returns whom the entry follows.
func (c *Core) Current() Target { return c.current }

// Step takes one event and returns whom to follow from now on, or nil for no change.
func (c *Core) Step(now time.Time, event Event) []Follow {
	if c.sure.IsZero() {
		c.sure = now
	}
	c.reason = ReasonRank
	switch e := event.(type) {
	case Entries:
		c.setEntries(e.Names)
	case UpdateReceived:
		if e.Target != c.current {
			return nil
		}
		c.heard, c.whole = now, now
		if sure := now.Add(-e.Age - e.Delay); sure.After(c.sure) {
			c.sure = sure
		}
		if e.Age > c.timing.MaxAge {
			c.reason = ReasonSenderBehind
			c.avoid(now)
			c.leaveBehind(now)
		}
	case UpdateProgress:
		c.receive(now, e.Target)
	case StreamFailed:
		if e.Target != c.current {
			return nil
		}
		c.reason = ReasonStreamEnded
		c.avoid(now)
		if c.current.IsState() {
			c.turn++
			c.direct = time.Time{}
		}
	case Tick:
		c.tick(now)
	}
	return c.choose(now)
}

// receive keeps a sender while an update from it arrives, for up to Transfer: another
// one would begin the same transfer anew.
func (c *Core) receive(now time.Time, from Target) {
	if from == c.current && now.Sub(c.whole) <= c.timing.TransferTimeout {
		c.heard, c.receiving = now, now
	}
}

// tick looks for silence and for a configuration that has grown old. An entry that is
// behind goes to a state process at once: senders of lower rank may follow the same
// failed one, and each would cost seconds.
func (c *Core) tick(now time.Time) {
	if c.following && now.Sub(c.heard) > c.timing.SilenceTimeout {
		c.reason = ReasonSilent
		c.avoid(now)
		if c.current.IsState() {
			c.turn++
		}
	}
	receives := now.Sub(c.receiving) <= c.timing.SilenceTimeout
	if !c.current.IsState() && !receives && now.Sub(c.sure) > c.timing.MaxAge && !now.Before(c.direct) {
		c.reason = ReasonBehind
		c.avoid(now)
		c.direct = now.Add(avoidance)
	}
}

// leaveBehind goes from a state process that is behind to the next one, as after a
// cut from which the nearest takes long to catch up. Each gets some time, since while
// the cut lasts none is better than the nearest.
func (c *Core) leaveBehind(now time.Time) {
	if c.current.IsState() && now.Sub(c.turned) >= c.timing.MaxAge {
		c.turn++
		c.turned = now
	}
}

func (c *Core) setEntries(names []string) { c.above = member.HigherRanked(c.self, names) }

// avoid passes the current target over for a while.
func (c *Core) avoid(now time.Time) {
	if !c.current.IsState() {
		c.avoided[c.current.Entry] = now.Add(avoidance)
	}
}

func (c *Core) choose(now time.Time) []Follow {
	for name, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, name)
		}
	}
	target := c.parent()
	if now.Before(c.direct) {
		target = Target{}
	}
	if target.IsState() {
		target.StateIndex = c.turn
	}
	if c.following && target == c.current {
		return nil
	}
	reason := c.reason
	if !c.following {
		reason = ReasonStart
	}
	c.current, c.following = target, true
	c.heard, c.whole, c.receiving = now, now, time.Time{}
	return []Follow{{Target: target, Reason: reason}}
}

// parent is the place above the own one in a tree of Fanout by rank, over the
// entries that are not avoided.
func (c *Core) parent() Target {
	if len(c.avoided) == 0 {
		return Target{Entry: member.Parent(c.above, Fanout)}
	}
	usable := make([]string, 0, len(c.above))
	for _, name := range c.above {
		if _, avoided := c.avoided[name]; !avoided {
			usable = append(usable, name)
		}
	}
	return Target{Entry: member.Parent(usable, Fanout)}
}
