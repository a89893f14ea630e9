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

func rankedNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint("entry-", i)
	}
	slices.SortFunc(all, member.CompareRank)
	return all
}

// onlyTarget returns the target of the only action.
func onlyTarget(t *testing.T, actions []Follow) Target {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("got %v, want one Follow", actions)
	}
	return actions[0].Target
}

func TestTreeHasOneRelayAndNoCycle(t *testing.T) {
	for _, n := range []int{1, 2, 9, 10, 220} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := rankedNames(n)
			children := make(map[Target]int)
			for i, self := range all {
				target := onlyTarget(t, NewCore(self).Step(start, Entries{all}))
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

// The relay of a data centre crashes, hangs, falls behind or is removed. The instances
// below it would keep an old configuration. Each must switch to the next by rank, and
// the highest of them to a state process. The relay is tried again later.
func TestFailedRelayIsReplaced(t *testing.T) {
	all := rankedNames(6)
	for name, fail := range map[string]func(c *Core, relay Target) []Follow{
		"dies":  func(c *Core, relay Target) []Follow { return c.Step(start, StreamFailed{relay}) },
		"hangs": func(c *Core, _ Target) []Follow { return c.Step(start.Add(silenceTimeout+1), Tick{}) },
		"behind": func(c *Core, relay Target) []Follow {
			return c.Step(start, UpdateReceived{Target: relay, Age: maxAge + 1})
		},
		"removed": func(c *Core, _ Target) []Follow { return c.Step(start, Entries{all[1:]}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i, self := range all[1:] {
				c := NewCore(self)
				relay := onlyTarget(t, c.Step(start, Entries{all}))
				is.Equal(relay, Target{Entry: all[0]})
				next := onlyTarget(t, fail(c, relay))
				if i == 0 {
					is.True(next.IsState())
				} else {
					is.Equal(next, Target{Entry: all[1]})
				}
				if name != "removed" {
					// The new sender works; the relay is tried again nevertheless.
					for now := start.Add(silenceTimeout + 2); now.Before(start.Add(avoidPeriod)); now = now.Add(HeartbeatInterval) {
						is.Equal(len(c.Step(now, UpdateReceived{Target: next, Age: 0})), 0)
						is.Equal(len(c.Step(now, Tick{})), 0)
					}
					is.Equal(onlyTarget(t, c.Step(start.Add(silenceTimeout+avoidPeriod+2), Tick{})).Entry, all[0])
				}
			}
		})
	}
}

func TestFailedStateProcessIsReplaced(t *testing.T) {
	is := is.New(t)
	c := NewCore("only")
	is.True(onlyTarget(t, c.Step(start, Entries{})).IsState())
	is.True(onlyTarget(t, c.Step(start, StreamFailed{Target{}})).IsState())
	is.Equal(len(c.Step(start, StreamFailed{Target{Entry: "unknown"}})), 0)
	is.True(onlyTarget(t, c.Step(start.Add(silenceTimeout+1), Tick{})).IsState())
}

// The sender of revisions becomes silent or falls behind. A document must be in force
// everywhere within 3 s, so an instance with FastTiming must replace the sender well
// before that.
func TestFastTimingReplacesSilentSenders(t *testing.T) {
	is := is.New(t)
	c := NewCoreWithTiming("only", FastTiming)
	first := onlyTarget(t, c.Step(start, Entries{}))
	c.Step(start, UpdateReceived{Target: first})
	is.Equal(len(c.Step(start.Add(FastTiming.SilenceTimeout), Tick{})), 0)
	second := onlyTarget(t, c.Step(start.Add(FastTiming.SilenceTimeout+1), Tick{}))
	is.True(second.IsState() && second != first)
	is.True(FastTiming.SilenceTimeout+2*FastTiming.HeartbeatInterval < 2*time.Second)
	third := onlyTarget(t, c.Step(start.Add(2*time.Second), UpdateReceived{Target: second, Age: FastTiming.MaxAge + 1}))
	is.True(third != second)
}

func largeSnapshot(revision uint64, teams int) *lilacv1.Snapshot {
	s := &lilacv1.Snapshot{Revision: revision, Classes: []*lilacv1.Class{{Name: "alerts"}}}
	for i := range teams {
		s.Teams = append(s.Teams, &lilacv1.Team{Name: fmt.Sprint("team-", i), TokensPerSecond: uint64(i)})
	}
	return s
}

// The transfer of a large snapshot is interrupted. The receiver must resume at the first
// missing part; if the sender has a newer snapshot, the transfer starts over. An
// incomplete snapshot must never be returned.
func TestInterruptedTransferResumes(t *testing.T) {
	is := is.New(t)
	snapshot := largeSnapshot(7, 5000)
	parts, err := Split(snapshot)
	is.NoErr(err)
	is.Equal(len(parts), 4)
	sameParts, err := Split(snapshot)
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
	for _, part := range sameParts[next:] {
		got, err = a.Add(part)
		is.NoErr(err)
	}
	is.True(proto.Equal(got, snapshot))

	newer, err := Split(largeSnapshot(9, 1))
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

// BenchmarkSnapshot measures the bytes and the processor time of the snapshot that an
// entry instance receives at its start.
func BenchmarkSnapshot(b *testing.B) {
	for _, teams := range []int{10, 1000, 10000, 45000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			s := largeSnapshot(1, teams)
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

// A data centre was partitioned and its state process is slow to catch up. Instances that
// follow it must move to the next one, but must not switch continuously while all of
// them are behind.
func TestStaleStateProcessIsReplaced(t *testing.T) {
	is := is.New(t)
	c := NewCore("only")
	now := start.Add(time.Minute)
	first := onlyTarget(t, c.Step(now, Entries{}))
	second := onlyTarget(t, c.Step(now, UpdateReceived{Target: first, Age: maxAge + 1}))
	is.True(second.IsState())
	is.Equal(second.StateIndex, first.StateIndex+1)
	is.Equal(len(c.Step(now.Add(maxAge-1), UpdateReceived{Target: second, Age: maxAge + 1})), 0)
	third := onlyTarget(t, c.Step(now.Add(maxAge), UpdateReceived{Target: second, Age: maxAge + 1}))
	is.Equal(third.StateIndex, second.StateIndex+1)
	is.Equal(len(c.Step(now.Add(maxAge), UpdateReceived{Target: third})), 0)
}

// A field that is missing from the parts would be lost permanently on an instance that
// receives a snapshot, although it holds the newest revision.
func TestSnapshotPartsCarryEveryField(t *testing.T) {
	is := is.New(t)
	snapshot := &lilacv1.Snapshot{}
	fields := snapshot.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fill(snapshot.ProtoReflect(), fields.Get(i))
	}
	parts, err := Split(snapshot)
	is.NoErr(err)
	assembly := Assembly{}
	var assembled *lilacv1.Snapshot
	for _, part := range parts {
		assembled, err = assembly.Add(part)
		is.NoErr(err)
	}
	for i := range fields.Len() {
		field := fields.Get(i)
		t.Run(string(field.Name()), func(t *testing.T) {
			is := is.New(t)
			is.True(snapshot.ProtoReflect().Has(field))
			is.True(assembled.ProtoReflect().Get(field).Equal(snapshot.ProtoReflect().Get(field)))
		})
	}
}

// fill sets the field to a non-default value.
func fill(m protoreflect.Message, field protoreflect.FieldDescriptor) {
	value := func() protoreflect.Value {
		switch field.Kind() {
		case protoreflect.MessageKind:
			message := m.NewField(field)
			if field.IsList() {
				message = message.List().NewElement()
			}
			inner := message.Message()
			for i := range inner.Descriptor().Fields().Len() {
				if one := inner.Descriptor().Fields().Get(i); one.Kind() == protoreflect.StringKind && !one.IsList() {
					inner.Set(one, protoreflect.ValueOfString("x"))
				}
			}
			if one := inner.Descriptor().Fields().ByName("content"); one != nil {
				inner.Set(one, protoreflect.ValueOfBytes([]byte("text")))
			}
			return message
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

// A sender stops in the middle of an update, or keeps sending it without ever finishing.
// Both must be replaced.
func TestStalledSenderIsReplaced(t *testing.T) {
	is := is.New(t)
	receive := func(stopAt, until time.Duration) *Core {
		c := NewCoreWithTiming("only", FastTiming)
		first := onlyTarget(t, c.Step(start, Entries{}))
		c.Step(start, UpdateReceived{Target: first})
		for at := tickInterval; at < until; at += tickInterval {
			if at < stopAt {
				c.Step(start.Add(at), UpdateProgress{Target: first})
			}
			c.Step(start.Add(at), Tick{})
		}
		return c
	}
	is.Equal(receive(3*time.Second, 3*time.Second).Current(), Target{})
	is.Equal(receive(3*time.Second, 3*time.Second+FastTiming.SilenceTimeout+2*tickInterval).Current(), Target{StateIndex: 1})
	is.Equal(receive(time.Minute, FastTiming.TransferTimeout-tickInterval).Current(), Target{})
	is.True(receive(time.Minute, FastTiming.TransferTimeout+FastTiming.SilenceTimeout+2*tickInterval).Current() != Target{})
}
