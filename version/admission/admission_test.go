package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/config"
)

const (
	announced = lilacv1.VersionState_VERSION_STATE_ANNOUNCED
	admitted  = lilacv1.VersionState_VERSION_STATE_ADMITTED
	leaving   = lilacv1.VersionState_VERSION_STATE_LEAVING
	unknown   = lilacv1.VersionState_VERSION_STATE_UNSPECIFIED
)

// leader applies the changes of a Core to the configuration.
type leader struct {
	is       *is.I
	core     *Core
	machine  *config.Machine
	now      time.Duration
	term     uint64
	proposed int
}

func newLeader(t *testing.T) *leader {
	return &leader{is: is.New(t), core: NewCore(), machine: config.NewMachine(0), term: 1}
}

// run lets the time pass while the list shows the versions of the service llm; nil stands for a list that
// isn't current.
func (l *leader) run(d time.Duration, listed []string) {
	const interval = 250 * time.Millisecond
	for end := l.now + d; l.now < end; l.now += interval {
		in := Input{Term: l.term, Record: l.machine.Versions(), Current: listed != nil}
		for _, version := range listed {
			in.Listed = append(in.Listed, Version{"llm", version})
		}
		if changes := l.core.Step(l.now, in); len(changes) > 0 {
			l.proposed++
			result := l.machine.Apply(&lilacv1.Proposal{CommandId: l.now.String(), Changes: changes})
			l.is.Equal(result.GetStatus().GetMessage(), "")
		}
	}
}

func (l *leader) state(version string) lilacv1.VersionState {
	for _, known := range l.machine.Versions() {
		if known.GetService() == "llm" && known.GetVersion() == version {
			return known.GetState()
		}
	}
	return unknown
}

// Guards against streams that begin at a new version before each instance has heard of it or may
// infer no origins.
func TestNewVersionIsAdmittedAfterTheWait(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	l.is.Equal(l.state("v1"), admitted)
	l.run(admissionWait, []string{"v1", "v2"})
	l.is.Equal(l.state("v2"), announced)
	l.run(time.Second, []string{"v1", "v2"})
	l.is.Equal(l.state("v2"), admitted)
	l.is.True(admissionWait > InferenceLease)
	l.is.True(copyAfter < InferenceLease)
}

// Guards against a new leader that takes the wait of the one before it for its own.
func TestNewLeaderStartsTheWaitAgain(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	l.run(admissionWait-time.Second, []string{"v1", "v2"})
	l.term = 2
	l.run(admissionWait, []string{"v1", "v2"})
	l.is.Equal(l.state("v2"), announced)
	l.run(time.Second, []string{"v1", "v2"})
	l.is.Equal(l.state("v2"), admitted)
}

// Guards against a version that is taken for gone while its streams may be resumed, or while an
// instance that hasn't heard of it begins others.
func TestVersionCountsUntilItsStreamsAreOver(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	l.run(10*time.Second, []string{"v1", "v2"})
	l.run(absenceWait+time.Second, []string{"v2"})
	l.is.Equal(l.state("v1"), leaving)
	l.run(removalWait-2*time.Second, []string{"v2"})
	l.is.Equal(l.state("v1"), leaving)
	l.run(3*time.Second, []string{"v2"})
	l.is.Equal(l.state("v1"), unknown)
	l.is.Equal(l.state("v2"), admitted)
	l.is.True(removalWait > beginLease+MaxStream)
}

// Guards against changes for each list that lacks entries for a moment, and against a version that
// comes back and may not be used.
func TestVersionThatComesBackIsAdmittedAtOnce(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	l.run(10*time.Second, []string{"v1", "v2"})
	before := l.proposed
	l.run(absenceWait-time.Second, []string{"v2"})
	l.run(time.Minute, nil)
	l.run(absenceWait-time.Second, []string{"v2"})
	l.run(time.Second, []string{"v1", "v2"})
	l.is.Equal(l.proposed, before)
	l.run(absenceWait+time.Second, []string{"v2"})
	l.is.Equal(l.state("v1"), leaving)
	l.run(time.Second, []string{"v1", "v2"})
	l.is.Equal(l.state("v1"), admitted)
}

// Guards against versions that only a lost majority knew and that are taken for none.
func TestRecoveryCountsLostVersions(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	l.machine.Recover(10, "awa", "RECOVER", "recovery", 1)
	follower := config.NewFollower()
	l.is.NoErr(follower.Load(l.machine.Config()))
	l.is.True(RecordOf(follower.Current(), "llm", 0).Lost)
	_, proved := RecordOf(follower.Current(), "llm", 0).Origin()
	l.is.True(!proved)
	l.run(removalWait+time.Second, []string{"v1"})
	follower = config.NewFollower()
	l.is.NoErr(follower.Load(l.machine.Config()))
	version, proved := RecordOf(follower.Current(), "llm", 0).Origin()
	l.is.True(proved)
	l.is.Equal(version, "v1")
}

// Guards against an instance that infers an origin from an old record, or from one that counts
// several versions or none.
func TestRecordProvesAnOrigin(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	one := Record{Counted: l.machine.Versions()}
	version, proved := one.Origin()
	l.is.True(proved)
	l.is.Equal(version, "v1")
	one.Age = InferenceLease
	_, proved = one.Origin()
	l.is.True(!proved)
	l.is.True(one.NeedsCopies())
	l.is.True(one.MayBegin())
	one.Age = beginLease
	l.is.True(!one.MayBegin())
	_, proved = Record{}.Origin()
	l.is.True(!proved)
	l.run(time.Second, []string{"v1", "v2"})
	_, proved = Record{Counted: l.machine.Versions()}.Origin()
	l.is.True(!proved)
}

// Guards against an instance that infers a version which is removed a moment later, when another one
// becomes the service's first.
func TestLeavingVersionIsNotInferred(t *testing.T) {
	l := newLeader(t)
	l.run(time.Second, []string{"v1"})
	l.run(removalWait, []string{})
	l.is.Equal(l.state("v1"), leaving)
	record := Record{Counted: l.machine.Versions()}
	_, proved := record.Origin()
	l.is.True(!proved)
	l.is.True(record.NeedsCopies())
	l.run(absenceWait+time.Second, []string{})
	l.is.Equal(l.state("v1"), unknown)
	l.run(time.Second, []string{"v2"})
	l.is.Equal(l.state("v2"), admitted)
}

// Guards against a follower of the list's versions that proposes changes for ever.
func TestASteadyListIsRecordedOnce(t *testing.T) {
	l := newLeader(t)
	l.run(time.Hour, []string{"v1", "v2", "v2"})
	l.is.Equal(l.state("v2"), admitted)
	l.is.Equal(l.proposed, 2) // v2 first, as it has more servers, and v1 after the wait
	l.term = 0
	l.run(time.Minute, []string{"v3"})
	l.is.Equal(l.proposed, 2)
}

// Guards against two versions that are both taken for a service's first one, by a leader and by the one
// before it whose proposal is committed late.
func TestFormerLeaderAdmitsNoSecondVersion(t *testing.T) {
	l := newLeader(t)
	late := l.core.Step(0, Input{Term: 1, Current: true, Listed: []Version{{"llm", "v2"}}})
	l.term = 2
	l.run(time.Second, []string{"v1"})
	result := l.machine.Apply(&lilacv1.Proposal{CommandId: "late", Changes: late})
	l.is.True(result.GetStatus().GetMessage() != "")
	l.is.Equal(l.state("v2"), unknown)
}

// Guards against a refusal that doesn't tell why nothing could be inferred.
func TestRecordStatesWhyItProvesNothing(t *testing.T) {
	is := is.New(t)
	one := []*lilacv1.ServiceVersion{{Service: "llm", Version: "v1", State: admitted}}
	for doubt, r := range map[Doubt]Record{
		NoDoubt:         {Counted: one},
		TooOld:          {Counted: one, Age: InferenceLease},
		NoVersions:      {Age: InferenceLease},
		SeveralVersions: {Counted: append(one, one...), Age: InferenceLease},
		LostVersions:    {Counted: one, Lost: true},
	} {
		is.Equal(r.Doubt(), doubt)
		_, proved := r.Origin()
		is.Equal(proved, doubt == NoDoubt)
	}
	lost := &lilacv1.ServiceVersion{State: leaving, Lost: true}
	is.Equal(CountStates(append(one, lost)), map[string]int{"announced": 0, "admitted": 1, "leaving": 0, "lost": 1})
}
