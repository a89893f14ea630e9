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
	// SignOfLife is how often a sender sends an update when nothing changes.
	SignOfLife time.Duration
	// Silence is how long a sender may say nothing before another is taken.
	Silence time.Duration
	// Behind is the age of a sender's knowledge above which another is taken.
	Behind time.Duration
	// Transfer is how long one update may take to arrive, as long as it goes on
	// arriving, before another sender is taken.
	Transfer time.Duration
}

// Usual keeps the signs of life of 1,100 entries cheap: changes are in force
// everywhere in 13 s.
var Usual = Timing{SignOfLife: SignOfLife, Silence: silence, Behind: behindLimit, Transfer: transfer}

// Quick finds a silent sender soon enough for changes that must be in force
// everywhere within 3 s: 1 s of silence and the way to another sender.
var Quick = Timing{SignOfLife: 300 * time.Millisecond, Silence: time.Second, Behind: 1500 * time.Millisecond, Transfer: transfer}

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

// SignOfLife is how often a sender sends an update when nothing changes.
const SignOfLife = time.Second

// Target is whom to follow: an entry by name, or a state process where Entry is empty.
type Target struct {
	Entry string
	// Turn tells which state process: the nearest one for 0, then the others in
	// order of distance, and round again.
	Turn int
}

// State tells whether the target is a state process.
func (t Target) State() bool { return t.Entry == "" }

// Event is something that happened; see the types below.
type Event interface{ event() }

// Entries names the entries of the own data centre that are taken for alive,
// in any order; the own name counts whether or not it is there.
type Entries struct{ Names []string }

// Heard tells that the target sent an update.
type Heard struct {
	Target Target
	// Age of the target's knowledge of the newest revision when it sent the update.
	Age time.Duration
	// Delay is how long the update was on its way, which says nothing of the target.
	Delay time.Duration
}

// Receiving tells that more of an update came from the target, which is not whole yet.
type Receiving struct{ Target Target }

// Broken tells that the stream from the target ended, or could not be opened.
type Broken struct{ Target Target }

// Tick lets time pass.
type Tick struct{}

func (Entries) event()   {}
func (Heard) event()     {}
func (Receiving) event() {}
func (Broken) event()    {}
func (Tick) event()      {}

// Follow tells the shell to leave whom it follows and to follow the target.
type Follow struct {
	Target Target
	// Reason says why, for the log.
	Reason Reason
}

// Reason is why an entry changes whom it follows.
type Reason string

const (
	// First is the first choice after the start.
	First Reason = "start"
	// Ranked is a change of the entries that are alive, or a sender that is no longer avoided.
	Ranked Reason = "rank"
	// Silent is a sender that said nothing for too long.
	Silent Reason = "silent"
	// SenderBehind is a sender whose own knowledge is too old.
	SenderBehind Reason = "sender behind"
	// Behind is an entry that is itself behind and goes to a state process.
	Behind Reason = "behind"
	// Ended is a stream that ended or could not be opened.
	Ended Reason = "stream ended"
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
func NewCore(self string) *Core { return NewTimedCore(self, Usual) }

// NewTimedCore is NewCore with its own timing.
func NewTimedCore(self string, timing Timing) *Core {
	return &Core{self: self, timing: timing, avoided: make(map[string]time.Time)}
}

// Current returns whom the entry follows.
func (c *Core) Current() Target { return c.current }

// Step takes one event and returns whom to follow from now on, or nil for no change.
func (c *Core) Step(now time.Time, event Event) []Follow {
	if c.sure.IsZero() {
		c.sure = now
	}
	c.reason = Ranked
	switch e := event.(type) {
	case Entries:
		c.setEntries(e.Names)
	case Heard:
		if e.Target != c.current {
			return nil
		}
		c.heard, c.whole = now, now
		if sure := now.Add(-e.Age - e.Delay); sure.After(c.sure) {
			c.sure = sure
		}
		if e.Age > c.timing.Behind {
			c.reason = SenderBehind
			c.avoid(now)
			c.leaveBehind(now)
		}
	case Receiving:
		c.receive(now, e.Target)
	case Broken:
		if e.Target != c.current {
			return nil
		}
		c.reason = Ended
		c.avoid(now)
		if c.current.State() {
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
	if from == c.current && now.Sub(c.whole) <= c.timing.Transfer {
		c.heard, c.receiving = now, now
	}
}

// tick looks for silence and for a configuration that has grown old. An entry that is
// behind goes to a state process at once: senders of lower rank may follow the same
// failed one, and each would cost seconds.
func (c *Core) tick(now time.Time) {
	if c.following && now.Sub(c.heard) > c.timing.Silence {
		c.reason = Silent
		c.avoid(now)
		if c.current.State() {
			c.turn++
		}
	}
	receives := now.Sub(c.receiving) <= c.timing.Silence
	if !c.current.State() && !receives && now.Sub(c.sure) > c.timing.Behind && !now.Before(c.direct) {
		c.reason = Behind
		c.avoid(now)
		c.direct = now.Add(avoidance)
	}
}

// leaveBehind goes from a state process that is behind to the next one, as after a
// cut from which the nearest takes long to catch up. Each gets some time, since while
// the cut lasts none is better than the nearest.
func (c *Core) leaveBehind(now time.Time) {
	if c.current.State() && now.Sub(c.turned) >= c.timing.Behind {
		c.turn++
		c.turned = now
	}
}

func (c *Core) setEntries(names []string) { c.above = member.HigherRanked(c.self, names) }

// avoid passes the current target over for a while.
func (c *Core) avoid(now time.Time) {
	if !c.current.State() {
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
	if target.State() {
		target.Turn = c.turn
	}
	if c.following && target == c.current {
		return nil
	}
	reason := c.reason
	if !c.following {
		reason = First
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
