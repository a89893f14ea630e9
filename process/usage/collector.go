package usage

import (
	"maps"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// clockSampleTTL is how long the clock of a silent process counts in the median.
	clockSampleTTL = 15 * time.Second
	// settleTime is how long a new leader collects clocks and counts before it states a
	// time or closes a window.
	settleTime = 1500 * time.Millisecond
	// silentAfter is the time without a report after which an instance's counts are
	// checkpointed, since it may be gone.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the time without a report after which an instance is forgotten.
	forgetAfter = time.Minute
	// closeShare is the share of the allowed delay for which a window stays open for
	// instances that have not yet reported all of it. The rest is for sending.
	closeShare = 0.5
)

// Timing holds the lengths that the platform prescribes.
type Timing struct {
	// Window is the length of a window.
	Window time.Duration
	// Delay is the time from the end of a window until its report is due.
	Delay time.Duration
}

// Collector merges the reports of all instances on the leader. It has no input or output,
// and is not safe for concurrent use. Times are readings of the leader's monotonic clock.
type Collector struct {
	timing    Timing
	leadingAt time.Time
	clocks    map[string]clockSample
	instances map[string]*instance
	// recoveredFrom is the first window to be closed after a recovery; 0 without one.
	recoveredFrom int64
}

// clockSample is the difference between a process's wall clock and the leader's monotonic
// clock, in microseconds since leadingAt.
type clockSample struct {
	offset int64
	at     time.Time
}

// instance is one incarnation of an entry instance.
type instance struct {
	windows map[int64]*lilacv1.WindowUsage
	// until is the fleet's time up to which the counts are complete, in Unix microseconds.
	until int64
	heard time.Time
	// gone is true if the instance sends no further report, saved if the log holds all its
	// counts.
	gone, saved bool
}

// NewCollector returns the Collector of a process that begins to lead now.
func NewCollector(now time.Time, timing Timing) *Collector {
	return &Collector{timing: timing, leadingAt: now, clocks: make(map[string]clockSample), instances: make(map[string]*instance)}
}

// ObserveClock records the wall clock of a process as of now, in Unix microseconds.
func (c *Collector) ObserveClock(now time.Time, process string, unixMicros int64) {
	c.clocks[process] = clockSample{unixMicros - now.Sub(c.leadingAt).Microseconds(), now}
}

// Now returns the fleet's time in Unix microseconds: the median of all clocks, so that it
// holds while less than half of them are wrong. It returns 0 until the leader has had time
// to hear from the instances.
func (c *Collector) Now(now time.Time) int64 {
	if now.Sub(c.leadingAt) < settleTime || len(c.clocks) == 0 {
		return 0
	}
	offsets := make([]int64, 0, len(c.clocks))
	for process, sample := range c.clocks {
		if now.Sub(sample.at) > clockSampleTTL {
			delete(c.clocks, process)
			continue
		}
		offsets = append(offsets, sample.offset)
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2] + now.Sub(c.leadingAt).Microseconds()
}

// Report merges an instance's report. A report replaces the earlier one, whose counts it
// includes.
func (c *Collector) Report(now time.Time, r *lilacv1.InstanceReport) {
	i := c.instances[r.GetIncarnation()]
	if i == nil {
		i = &instance{}
		c.instances[r.GetIncarnation()] = i
	}
	if r.GetCountedUntilUnixUs() < i.until && !r.GetLast() {
		return
	}
	i.windows = make(map[int64]*lilacv1.WindowUsage, len(r.GetWindows()))
	for _, window := range r.GetWindows() {
		i.windows[window.GetWindow()] = window
	}
	i.until, i.heard, i.gone, i.saved = r.GetCountedUntilUnixUs(), now, r.GetLast(), false
	c.ObserveClock(now, r.GetInstance(), r.GetClockUnixUs()+int64(r.GetRoundTripUs())/2)
}

// Checkpoints returns the counts of instances that may be gone, for the log. Until
// MarkSaved they are returned again.
func (c *Collector) Checkpoints(now time.Time) []*lilacv1.UsageCheckpoint {
	var list []*lilacv1.UsageCheckpoint
	for _, incarnation := range slices.Sorted(maps.Keys(c.instances)) {
		i := c.instances[incarnation]
		if now.Sub(i.heard) > forgetAfter {
			delete(c.instances, incarnation)
			continue
		}
		if i.saved || len(i.windows) == 0 || !i.gone && now.Sub(i.heard) < silentAfter {
			continue
		}
		checkpoint := &lilacv1.UsageCheckpoint{Incarnation: incarnation}
		for _, window := range slices.Sorted(maps.Keys(i.windows)) {
			checkpoint.Windows = append(checkpoint.Windows, i.windows[window])
		}
		list = append(list, checkpoint)
	}
	return list
}

// MarkSaved records that the log holds the checkpoint.
func (c *Collector) MarkSaved(checkpoint *lilacv1.UsageCheckpoint) {
	if i := c.instances[checkpoint.GetIncarnation()]; i != nil {
		i.saved = true
	}
}

// ToClose returns the next window to close with its counts; nil if there is none yet.
//
// A window is closed when all instances have reported past its end, or after closeShare of
// the allowed delay.
func (c *Collector) ToClose(now time.Time, state State) *lilacv1.WindowUsage {
	fleet := c.Now(now)
	if fleet == 0 {
		return nil
	}
	next, known := c.nextWindow(fleet/c.timing.Window.Microseconds(), state)
	if !known {
		return nil
	}
	end := (next + 1) * c.timing.Window.Microseconds()
	waited := time.Duration(fleet-end) * time.Microsecond
	if waited < 0 || waited < c.patience() && !c.complete(now, end) {
		return nil
	}
	counts := make(map[string]uint64)
	c.eachWindow(state.Checkpoints, func(window *lilacv1.WindowUsage) {
		if window.GetWindow() == next {
			for _, team := range window.GetTeams() {
				counts[team.GetTeam()] += team.GetRequests()
			}
		}
	})
	return encodeWindow(next, counts)
}

// patience is how long a window stays open after its end for instances that have not
// reported all of it.
func (c *Collector) patience() time.Duration {
	return number.Duration(closeShare * float64(c.timing.Delay))
}

// nextWindow returns the window after the last closed one, or the oldest with a count if
// none was closed. current is the window that is running now.
func (c *Collector) nextWindow(current int64, state State) (next int64, known bool) {
	if state.Recovered {
		if c.recoveredFrom == 0 {
			c.recoveredFrom = current
		}
		return max(c.recoveredFrom, state.Closed+1), true
	}
	if state.Closed > 0 {
		// Instances keep no counts of older windows.
		return max(state.Closed+1, current-maxOpenWindows), true
	}
	c.eachWindow(state.Checkpoints, func(window *lilacv1.WindowUsage) {
		if !known || window.GetWindow() < next {
			next, known = window.GetWindow(), true
		}
	})
	return next, known
}

// eachWindow calls f with the windows of each incarnation: as reported, or else as saved.
func (c *Collector) eachWindow(saved []*lilacv1.UsageCheckpoint, f func(*lilacv1.WindowUsage)) {
	for _, i := range c.instances {
		for _, window := range i.windows {
			f(window)
		}
	}
	for _, checkpoint := range saved {
		if c.instances[checkpoint.GetIncarnation()] != nil {
			continue
		}
		for _, window := range checkpoint.GetWindows() {
			f(window)
		}
	}
}

// complete reports whether all instances have reported their counts up to the fleet's time
// given. A new leader has not heard from all of them and can't tell.
func (c *Collector) complete(now time.Time, unixMicros int64) bool {
	if now.Sub(c.leadingAt) < c.patience() {
		return false
	}
	for _, i := range c.instances {
		if i.until < unixMicros && !i.gone {
			return false
		}
	}
	return true
}
