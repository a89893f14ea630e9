package spreadlink

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
	"github.com/lilacbridge/lilacbridge/version/spread"
)

// sender is a scripted state process.
type sender struct {
	mu sync.Mutex
	// opened counts the streams of revisions.
	opened int
	// onView is told of each newer revision.
	onView func(*model.View)
	// epoch is when the watcher's clock began.
	epoch time.Time
	// next gives the update that follows, and how long it takes to arrive.
	next func(stream, update int) (*lilacv1.WatchUpdate, time.Duration)
}

func (s *sender) Call(context.Context, string, proto.Message, proto.Message) error {
	return errors.New("no calls here")
}

func (s *sender) Open(ctx context.Context, _ string, _ proto.Message) (link.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return &sending{sender: s, ctx: ctx, number: s.opened, opened: time.Now()}, nil
}

// streams is how many streams of revisions were opened.
func (s *sender) streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

type sending struct {
	sender         *sender
	ctx            context.Context
	number, update int
	opened         time.Time
	received       atomic.Uint64
}

func (s *sending) Close() error { return nil }

func (s *sending) Recv(m proto.Message) error {
	update, takes := s.sender.next(s.number, s.update)
	s.update++
	update.SaidAfterMs = uint64(time.Since(s.opened).Milliseconds())
	for begun := time.Now(); time.Since(begun) < takes; {
		select {
		case <-time.After(arrivalStep):
			s.received.Add(1000)
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	proto.Merge(m, update)
	return nil
}

// arrivalStep is how often bytes of an update arrive.
const arrivalStep = 50 * time.Millisecond

// RequestedAt implements link.Stream, by the clock of the watcher.
func (s *sending) RequestedAt() time.Duration { return s.opened.Sub(s.sender.epoch) }

// BytesReceived implements link.Stream.
func (s *sending) BytesReceived() uint64 { return s.received.Load() }

// lockedText is a log that is read while it is written.
type lockedText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// follows runs a watcher that follows the sender, within a bubble of synctest.
func follows(t *testing.T, s *sender, logger hclog.Logger) *Watcher {
	s.epoch = time.Now().Add(-time.Hour)
	w := NewWatcher(Options{
		Instance: "e1", DataCenter: "a", Timing: spread.Quick, Logger: logger, OnView: s.onView,
		StatePeers: []settings.Peer{{Name: "s1", DataCenter: "a"}},
		Dial:       func(string) link.Caller { return s },
		Clock:      func() time.Duration { return time.Since(s.epoch) },
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return w
}

func revision(number uint64) *lilacv1.Revision {
	return &lilacv1.Revision{Number: number}
}

// Guards against an entry of which the log does not tell whom it followed and that
// it was behind.
func TestLogTellsWhomAnEntryFollowsAndThatItIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var text lockedText
		s := &sender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			switch update {
			case 0:
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			case 1:
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(2)}}, 500 * time.Millisecond
			}
			return &lilacv1.WatchUpdate{Newest: 2}, 300 * time.Millisecond
		}}
		w := follows(t, s, hclog.New(&hclog.LoggerOptions{Output: &text, JSONFormat: true}))
		time.Sleep(time.Second)
		is.Equal(w.Revision(), uint64(2))
		for _, want := range []string{
			`"@message":"following revisions"`, `"reason":"start"`,
			`"@message":"behind the newest revision"`, `"held":1,"newest":2`,
			`"@message":"caught up with the newest revision"`,
		} {
			is.True(strings.Contains(text.String(), want)) // line in the log
		}
	})
}

// Guards against a document that takes longer to arrive than a sender may be
// silent: the entry would leave the sender in the middle, and begin the same
// transfer anew elsewhere, for as long as the document is in force.
func TestSenderIsKeptWhileALongUpdateArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const takes = 3 * time.Second
		s := &sender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			switch update {
			case 0:
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			case 1:
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(2)}}, takes
			}
			return &lilacv1.WatchUpdate{Newest: 2}, 300 * time.Millisecond
		}}
		w := follows(t, s, nil)
		time.Sleep(takes + tick)
		is.Equal(w.Revision(), uint64(2))
		is.Equal(s.streams(), 1)
	})
}

// Guards against an entry that hears of a newer revision, which takes long to
// arrive, and goes by its own as if that were the newest.
func TestWordOfANewerRevisionConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			switch {
			case update == 0:
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			case update <= 10:
				return &lilacv1.WatchUpdate{Newest: 2}, 300 * time.Millisecond
			}
			return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(2)}}, 300 * time.Millisecond
		}}
		w := follows(t, s, nil)
		time.Sleep(2 * time.Second)
		_, age := w.LatestKnown()
		is.True(age < time.Second)
		is.True(w.Staleness() >= 2*time.Second-tick)
		time.Sleep(2 * time.Second)
		is.True(w.Staleness() < time.Second)
	})
}

// Guards against a word that comes late, as after a cut or a suspension, and makes
// old knowledge fresh: a key that was taken away since would be taken.
func TestLateWordIsDatedByWhenItWasSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const late = 5 * time.Second
		s := &sender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1}, late
		}}
		w := follows(t, s, nil)
		time.Sleep(late + tick)
		is.True(w.Staleness() >= late)
		_, age := w.LatestKnown()
		is.True(age >= late)
	})
}

// Guards against a state process that has just woken and calls an old revision the
// newest: an entry that holds a newer one must not take that for a confirmation.
func TestSenderThatKnowsLessConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(1), revision(2)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1}, 300 * time.Millisecond
		}}
		w := follows(t, s, nil)
		time.Sleep(3 * time.Second)
		is.True(w.Staleness() >= 3*time.Second-tick)
	})
}

// Guards against an entry that takes long to bring a document into force, as on a
// slow machine, and takes its sender for silent meanwhile.
func TestSenderIsKeptWhileAnUpdateIsBroughtIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1}, 300 * time.Millisecond
		}}
		s.onView = func(*model.View) { time.Sleep(3 * time.Second) }
		follows(t, s, nil)
		time.Sleep(5 * time.Second)
		is.Equal(s.streams(), 1)
	})
}
