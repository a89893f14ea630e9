// Package usage counts the requests that backend servers begin to run, by team and window
// of time, and decides when the leader closes a window.
//
// An instance keeps a count for each open window and reports all of them each time, so a
// repeated or reordered report changes nothing and a new leader gets them again. Windows
// follow the fleet's time, a median of all clocks, which each process carries on by its
// monotonic clock.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	// maxOpenWindows bounds the windows that an instance keeps while no leader closes any.
	maxOpenWindows = 720
	// maxUnplaced bounds the requests that are kept until the fleet's time is known.
	maxUnplaced = 50_000
)

// Counter counts the requests of one instance. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu sync.Mutex
	// reference is a pair of the local monotonic clock and the fleet's time; nil until
	// SetTime.
	reference *reference
	// unplaced are the requests counted before SetTime: the local wall clock may be wrong
	// by hours.
	unplaced []request
	closed   int64
	windows  map[int64]map[string]uint64
}

type request struct {
	at   time.Time
	team string
}

// reference states that the fleet's time was unixMicros at the local time.
type reference struct {
	local      time.Time
	unixMicros int64
}

func (r reference) at(local time.Time) int64 { return r.unixMicros + local.Sub(r.local).Microseconds() }

// NewCounter returns a Counter for windows of the given length.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, windows: make(map[int64]map[string]uint64)}
}

// Add counts a request of the team that has just begun to run.
func (c *Counter) Add(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := request{c.now(), team}
	if c.reference == nil {
		if len(c.unplaced) < maxUnplaced {
			c.unplaced = append(c.unplaced, r)
		}
		return
	}
	c.place(r)
}

// place adds the request to its window.
func (c *Counter) place(r request) {
	window := c.reference.at(r.at) / c.length.Microseconds()
	if window <= c.closed {
		// The fleet's time was set back; the request counts in the first open window.
		window = c.closed + 1
	}
	counts := c.windows[window]
	if counts == nil {
		counts = make(map[string]uint64)
		c.windows[window] = counts
		c.dropOldest()
	}
	counts[r.team]++
}

func (c *Counter) dropOldest() {
	if len(c.windows) <= maxOpenWindows {
		return
	}
	delete(c.windows, slices.Min(slices.Collect(maps.Keys(c.windows))))
}

// SetTime sets the fleet's time as of the local time at.
func (c *Counter) SetTime(at time.Time, unixMicros int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reference = &reference{at, unixMicros}
	for _, r := range c.unplaced {
		c.place(r)
	}
	c.unplaced = nil
}

// Close drops the windows up to the given one, which the leader has closed.
func (c *Counter) Close(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = max(c.closed, window)
	maps.DeleteFunc(c.windows, func(w int64, _ map[string]uint64) bool { return w <= c.closed })
}

// Open returns the counts of all open windows, oldest first, and the fleet's time up to
// which they are complete; nothing before SetTime.
func (c *Counter) Open() (windows []*lilacv1.WindowUsage, untilUnixMicros int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reference == nil {
		return nil, 0
	}
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		windows = append(windows, encodeWindow(window, c.windows[window]))
	}
	return windows, c.reference.at(c.now())
}

// encodeWindow returns the counts sorted by team.
func encodeWindow(window int64, counts map[string]uint64) *lilacv1.WindowUsage {
	usage := &lilacv1.WindowUsage{Window: window}
	for _, team := range slices.Sorted(maps.Keys(counts)) {
		usage.Teams = append(usage.Teams, &lilacv1.TeamUsage{Team: team, Requests: counts[team]})
	}
	return usage
}

// Requests returns the counts of a window by team.
func Requests(window *lilacv1.WindowUsage) map[string]uint64 {
	counts := make(map[string]uint64, len(window.GetTeams()))
	for _, team := range window.GetTeams() {
		counts[team.GetTeam()] = team.GetRequests()
	}
	return counts
}

// Total returns the requests of all teams in a window.
func Total(window *lilacv1.WindowUsage) uint64 {
	total := uint64(0)
	for _, team := range window.GetTeams() {
		total += team.GetRequests()
	}
	return total
}
