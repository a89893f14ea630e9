package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/member"
)

var start = time.Unix(1_764_700_000, 0)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint("entry-", i)
	}
	slices.SortFunc(all, member.CompareRank)
	return all
}

func follows(t *testing.T, actions []Follow) Target {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("want one Follow, got %v", actions)
	}
	return actions[0].Target
}

func TestTreeHasOneRelayAndNoCycle(t *testing.T) {
	for _, n := range []int{1, 2, 9, 10, 220} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := names(n)
			children := make(map[Target]int)
			for i, self := range all {
				target := follows(t, NewCore(self).Step(start, Entries{all}))
				children[target]++
				is.True(target.IsState() || slices.Index(all, target.Entry) < i)
			}
			is.Equal(children[Target{}], 1)
			for _, count := range children {
				is.True(count <= Fanout)
			}
		})
	}
}

// The relay of a data centre dies, hangs, or is cut off from the state
// processes without noticing. The entries below it would stand still with an old
// configuration. Each must go to the next in rank, and the first of them to a
// state process; later the relay is tried again.
func TestFailedRelayIsReplaced(t *testing.T) {
	all := names(6)
	for name, fail := range map[string]func(c *Core, relay Target) []Follow{
		"dies":  func(c *Core, relay Target) []Follow { return c.Step(start, StreamFailed{relay}) },
		"hangs": func(c *Core, _ Target) []Follow { return c.Step(start.Add(silence+1), Tick{}) },
		"behind": func(c *Core, relay Target) []Follow {
			return c.Step(start, UpdateReceived{Target: relay, Age: behindLimit + 1})
		},
		"removed": func(c *Core, _ Target) []Follow { return c.Step(start, Entries{all[1:]}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i, self := range all[1:] {
				c := NewCore(self)
				relay := follows(t, c.Step(start, Entries{all}))
				is.Equal(relay, Target{Entry: all[0]})
				next := follows(t, fail(c, relay))
				if i == 0 {
					is.True(next.IsState())
				} else {
					is.Equal(next, Target{Entry: all[1]})
				}
				if name != "removed" {
					// The next sender is in order; the relay is tried again all the same.
					for now := start.Add(silence + 2); now.Before(start.Add(avoidance)); now = now.Add(HeartbeatInterval) {
						is.Equal(len(c.Step(now, UpdateReceived{Target: next, Age: 0})), 0)
						is.Equal(len(c.Step(now, Tick{})), 0)
					}
					is.Equal(follows(t, c.Step(start.Add(silence+avoidance+2), Tick{})).Entry, all[0])
				}
			}
		})
	}
}

func TestBrokenStateProcessIsFollowedAgain(t *testing.T) {
	is := is.New(t)
	c := NewCore("only")
	is.True(follows(t, c.Step(start, Entries{})).IsState())
	is.True(follows(t, c.Step(start, StreamFailed{Target{}})).IsState())
	is.Equal(len(c.Step(start, StreamFailed{Target{Entry: "unknown"}})), 0)
	is.True(follows(t, c.Step(start.Add(silence+1), Tick{})).IsState())
}

// The sender of revisions falls silent, or knows nothing new for long. A document
// must be in force everywhere within 3 s, so an entry with quick timing must have
// left that sender long before.
func TestQuickTimingLeavesSilentSendersInTime(t *testing.T) {
	is := is.New(t)
	c := NewCoreWithTiming("only", FastTiming)
	first := follows(t, c.Step(start, Entries{}))
	c.Step(start, UpdateReceived{Target: first})
	is.Equal(len(c.Step(start.Add(FastTiming.SilenceTimeout), Tick{})), 0)
	second := follows(t, c.Step(start.Add(FastTiming.SilenceTimeout+1), Tick{}))
	is.True(second.IsState() && second != first)
	is.True(FastTiming.SilenceTimeout+2*FastTiming.HeartbeatInterval < 2*time.Second)
	third := follows(t, c.Step(start.Add(2*time.Second), UpdateReceived{Target: second, Age: FastTiming.MaxAge + 1}))
	is.True(third != second)
}

func large(revision uint64, teams int) *lilacv1.Snapshot {
	s := &lilacv1.Snapshot{Revision: revision, Classes: []*lilacv1.Class{{Name: "alerts"}}}
	for i := range teams {
		s.Teams = append(s.Teams, &lilacv1.Team{Name: fmt.Sprint("team-", i), TokensPerSecond: uint64(i)})
	}
	return s
}

// A transfer of a large snapshot breaks in the middle. The receiver goes on from
// the part that it lacks; a sender that has moved on gives a newer snapshot from
// its beginning. Nothing half is ever taken into force.
func TestBrokenTransferResumes(t *testing.T) {
	is := is.New(t)
	whole := large(7, 5000)
	parts, err := Split(whole)
	is.NoErr(err)
	is.Equal(len(parts), 4)
	again, err := Split(whole)
	is.NoErr(err)
	a := &Assembly{}
	for _, part := range parts[:2] {
		got, err := a.Add(part)
		is.NoErr(err)
		is.True(got == nil)
	}
	revision, next := a.Resume()
	is.Equal(revision, uint64(7))
	_, err = a.Add(parts[3])
	is.True(err != nil)
	var got *lilacv1.Snapshot
	for _, part := range again[next:] {
		got, err = a.Add(part)
		is.NoErr(err)
	}
	is.True(proto.Equal(got, whole))

	newer, err := Split(large(9, 1))
	is.NoErr(err)
	_, err = a.Add(parts[0])
	is.NoErr(err)
	for _, part := range newer {
		got, err = a.Add(part)
		is.NoErr(err)
	}
	is.Equal(got.GetRevision(), uint64(9))
	_, err = a.Add(&lilacv1.SnapshotPart{Parts: 1, Data: []byte("torn")})
	is.True(err != nil)
}

// BenchmarkSnapshot gives the bytes and the processor time of a whole snapshot
// at the start of an entry.
func BenchmarkSnapshot(b *testing.B) {
	for _, teams := range []int{10, 1000, 10000, 45000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			s := large(1, teams)
			bytes := 0
			for b.Loop() {
				parts, err := Split(s)
				if err != nil {
					b.Fatal(err)
				}
				a := &Assembly{}
				bytes = 0
				for _, part := range parts {
					bytes += proto.Size(part)
					if _, err := a.Add(part); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(proto.Size(s)), "plain-B")
			b.ReportMetric(float64(bytes), "sent-B")
		})
	}
}

// A data centre was cut off, and its state process takes long to catch up. The
// entries that follow it must go to the next one after a while, and not in turn
// without end while all of them are behind.
func TestStateProcessThatIsBehindIsLeft(t *testing.T) {
	is := is.New(t)
	c := NewCore("only")
	now := start.Add(time.Minute)
	first := follows(t, c.Step(now, Entries{}))
	second := follows(t, c.Step(now, UpdateReceived{Target: first, Age: behindLimit + 1}))
	is.True(second.IsState())
	is.Equal(second.StateIndex, first.StateIndex+1)
	is.Equal(len(c.Step(now.Add(behindLimit-1), UpdateReceived{Target: second, Age: behindLimit + 1})), 0)
	third := follows(t, c.Step(now.Add(behindLimit), UpdateReceived{Target: second, Age: behindLimit + 1}))
	is.Equal(third.StateIndex, second.StateIndex+1)
	is.Equal(len(c.Step(now.Add(behindLimit), UpdateReceived{Target: third})), 0)
}

// Guards against a part of the configuration that a snapshot leaves out: an entry
// that takes one would hold the newest revision without it, for good.
func TestSnapshotPartsCarryEveryField(t *testing.T) {
	is := is.New(t)
	whole := &lilacv1.Snapshot{}
	fields := whole.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fill(whole.ProtoReflect(), fields.Get(i))
	}
	parts, err := Split(whole)
	is.NoErr(err)
	assembly := Assembly{}
	var again *lilacv1.Snapshot
	for _, part := range parts {
		again, err = assembly.Add(part)
		is.NoErr(err)
	}
	for i := range fields.Len() {
		field := fields.Get(i)
		t.Run(string(field.Name()), func(t *testing.T) {
			is := is.New(t)
			is.True(whole.ProtoReflect().Has(field))
			is.True(again.ProtoReflect().Get(field).Equal(whole.ProtoReflect().Get(field)))
		})
	}
}

// fill gives the field a value that is not its default.
func fill(m protoreflect.Message, field protoreflect.FieldDescriptor) {
	value := func() protoreflect.Value {
		switch field.Kind() {
		case protoreflect.MessageKind:
			made := m.NewField(field)
			if field.IsList() {
				made = made.List().NewElement()
			}
			inner := made.Message()
			for i := range inner.Descriptor().Fields().Len() {
				if one := inner.Descriptor().Fields().Get(i); one.Kind() == protoreflect.StringKind && !one.IsList() {
					inner.Set(one, protoreflect.ValueOfString("x"))
				}
			}
			if one := inner.Descriptor().Fields().ByName("content"); one != nil {
				inner.Set(one, protoreflect.ValueOfBytes([]byte("text")))
			}
			return made
		case protoreflect.Uint32Kind:
			return protoreflect.ValueOfUint32(3)
		default:
			return protoreflect.ValueOfUint64(7)
		}
	}()
	if field.IsList() {
		m.Mutable(field).List().Append(value)
		return
	}
	m.Set(field, value)
}

// Guards against an entry that stays with a sender which stops in the middle of an
// update, or which takes for ever to send it.
func TestSenderIsLeftThatStopsInTheMiddleOfAnUpdate(t *testing.T) {
	is := is.New(t)
	receive := func(stops, until time.Duration) *Core {
		c := NewCoreWithTiming("only", FastTiming)
		first := follows(t, c.Step(start, Entries{}))
		c.Step(start, UpdateReceived{Target: first})
		for at := step; at < until; at += step {
			if at < stops {
				c.Step(start.Add(at), UpdateProgress{Target: first})
			}
			c.Step(start.Add(at), Tick{})
		}
		return c
	}
	is.Equal(receive(3*time.Second, 3*time.Second).Current(), Target{})
	is.Equal(receive(3*time.Second, 3*time.Second+FastTiming.SilenceTimeout+2*step).Current(), Target{StateIndex: 1})
	is.Equal(receive(time.Minute, FastTiming.TransferTimeout-step).Current(), Target{})
	is.True(receive(time.Minute, FastTiming.TransferTimeout+FastTiming.SilenceTimeout+2*step).Current() != Target{})
}
