package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const windowLength = 5 * time.Second

var (
	// start is the beginning of window 1000 in true time.
	start  = time.UnixMicro(1000 * windowLength.Microseconds())
	timing = Timing{Window: windowLength, Delay: 10 * time.Second}
)

// member is an instance whose wall clock is off by skew.
type member struct {
	name    string
	skew    time.Duration
	counter *Counter
	now     *time.Time
}

func newMember(name string, skew time.Duration, now *time.Time) *member {
	return &member{name, skew, NewCounter(windowLength, func() time.Time { return *now }), now}
}

func (m *member) report(c *Collector, closed int64) {
	windows, until := m.counter.Open()
	c.Report(*m.now, &lilacv1.InstanceReport{
		Instance: m.name, Incarnation: m.name, ClockUnixUs: m.now.Add(m.skew).UnixMicro(), Windows: windows, CountedUntilUnixUs: until,
	})
	if fleet := c.Now(*m.now); fleet > 0 {
		m.counter.SetTime(*m.now, fleet)
	}
	m.counter.Close(closed)
}

// A third of the clocks jump by hours. Guards against usage in the wrong window.
func TestWindowsFollowTheMedianOfClocksThatJump(t *testing.T) {
	for _, jump := range []time.Duration{-3 * time.Hour, -2400 * time.Millisecond, 2400 * time.Millisecond, 40 * time.Minute} {
		is := is.New(t)
		now := start.Add(-4 * time.Second)
		c := NewCollector(now, timing)
		var all []*member
		for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
			m := newMember(name, 0, &now)
			if i < 2 {
				m.skew = jump
			}
			all = append(all, m)
		}
		table := NewTable()
		for now.Before(start.Add(12 * time.Second)) {
			for _, m := range all {
				m.report(c, table.State().Closed)
				if !now.Before(start) && now.Before(start.Add(10*time.Second)) {
					m.counter.Add("team")
				}
			}
			if window := c.ToClose(now, table.State()); window != nil {
				table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: window}})
			}
			now = now.Add(500 * time.Millisecond)
		}
		closed := table.State().Unacknowledged
		is.Equal(len(closed), 2) // both windows with traffic, none else
		for i, window := range closed {
			is.Equal(window.GetWindow(), int64(1000+i))
			is.Equal(Requests(window)["team"], uint64(60))
		}
	}
}

// More than half of the instances are killed, then the leader is. Guards against counts that
// are lost with the instance that made them.
func TestCountsOutliveTheirInstanceAndTheLeader(t *testing.T) {
	is := is.New(t)
	now := start
	table := NewTable()
	first := NewCollector(now.Add(-time.Minute), timing)
	killed, alive := newMember("killed", 0, &now), newMember("alive", 0, &now)
	for _, m := range []*member{killed, alive} {
		m.counter.SetTime(now, now.UnixMicro())
		m.counter.Add("team")
		m.counter.Add("team")
		m.report(first, 0)
	}
	now = now.Add(2 * time.Second)
	alive.report(first, 0)
	for _, checkpoint := range first.Checkpoints(now) {
		table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Checkpoint{Checkpoint: checkpoint}})
		first.MarkSaved(checkpoint)
	}
	is.Equal(len(first.Checkpoints(now)), 0)

	restored := NewTable()
	restored.Restore(table.Snapshot())
	second := NewCollector(now, timing)
	for now.Before(start.Add(2 * time.Second).Add(second.patience())) {
		alive.report(second, restored.State().Closed)
		is.True(second.ToClose(now, restored.State()) == nil) // a new leader waits for silent instances
		now = now.Add(300 * time.Millisecond)
	}
	alive.report(second, 0)
	window := second.ToClose(now, restored.State())
	is.Equal(window.GetWindow(), int64(1000))
	is.Equal(Requests(window)["team"], uint64(4))
}

// A report is delayed, repeated and overtaken. Guards against counting a request twice.
func TestRepeatedReportsCountOnce(t *testing.T) {
	is := is.New(t)
	now := start
	c := NewCollector(now.Add(-time.Minute), timing)
	m := newMember("a", 0, &now)
	m.counter.SetTime(now, now.UnixMicro())
	m.counter.Add("team")
	windows, until := m.counter.Open()
	early := &lilacv1.InstanceReport{Instance: "a", Incarnation: "a", ClockUnixUs: now.UnixMicro(), Windows: windows, CountedUntilUnixUs: until}
	now = now.Add(time.Second)
	m.counter.Add("team")
	m.report(c, 0)
	c.Report(now, early)
	c.Report(now, early)
	now = start.Add(windowLength)
	m.report(c, 0)
	is.Equal(Requests(c.ToClose(now, State{}))["team"], uint64(2))
}

// Two leaders close the same window with different counts. Guards against two reports of one
// window that differ.
func TestWindowIsClosedOnce(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	closeWindow := func(window int64, requests uint64) {
		usage := &lilacv1.WindowUsage{Window: window, Teams: []*lilacv1.TeamUsage{{Team: "t", Requests: requests}}}
		table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: usage}})
	}
	closeWindow(7, 1)
	before := table.Snapshot()
	closeWindow(7, 2)
	closeWindow(6, 3)
	is.True(proto.Equal(before, table.Snapshot()))
	closeWindow(8, 4)
	table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Acknowledged{Acknowledged: 7}})
	pending := table.State().Unacknowledged
	is.Equal(len(pending), 1)
	is.Equal(Requests(pending[0])["t"], uint64(4))
	is.Equal(len(before.GetUnacknowledged()), 1) // a snapshot does not change
}

// The platform is down for a day. Guards against a state that grows without bound.
func TestUnacknowledgedWindowsAreBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for window := range int64(maxUnacknowledged + 5) {
		table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: &lilacv1.WindowUsage{Window: window + 1}}})
	}
	is.Equal(len(table.State().Unacknowledged), maxUnacknowledged)
	is.Equal(table.State().Dropped, uint64(5))
	is.Equal(table.State().Unacknowledged[0].GetWindow(), int64(6))
}

// A lost majority has closed and sent windows that the survivor doesn't know. Guards against
// closing one of them again with other counts.
func TestRecoverySkipsWindowsOfTheLostMajority(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: &lilacv1.WindowUsage{Window: 900}}})
	table.Recover()
	now := start.Add(time.Second)
	c := NewCollector(now.Add(-time.Minute), timing)
	m := newMember("a", 0, &now)
	m.counter.SetTime(now, now.UnixMicro())
	m.counter.Add("team")
	m.report(c, 900)
	is.True(c.ToClose(now, table.State()) == nil) // fixes the first window at 1000
	now = start.Add(11 * time.Second)
	m.report(c, 900)
	window := c.ToClose(now, table.State())
	is.Equal(window.GetWindow(), int64(1000))
	table.Apply(&lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Close{Close: window}})
	is.Equal(table.State().Recovered, false)
}

// All processes were down for an hour and more. Guards against a report for each window of that time.
func TestWindowsOfALongOutageAreSkipped(t *testing.T) {
	is := is.New(t)
	c := NewCollector(start.Add(-time.Minute), timing)
	c.ObserveClock(start, "leader", start.UnixMicro())
	window := c.ToClose(start, State{Closed: 1})
	is.Equal(window.GetWindow(), int64(1000-maxOpenWindows))
}
