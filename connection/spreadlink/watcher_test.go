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

// fakeSender is a scripted state process.
type fakeSender struct {
	mu sync.Mutex
	// opened is the number of streams opened so far.
	opened int
	// onView is the watcher's OnView; may be nil.
	onView func(*model.View)
	// epoch is the zero time of the watcher's clock.
	epoch time.Time
	// next returns the next update and how long its transfer takes.
	next func(stream, update int) (*lilacv1.WatchUpdate, time.Duration)
}

func (s *fakeSender) Call(context.Context, string, proto.Message, proto.Message) error {
	return errors.New("Call is not supported")
}

func (s *fakeSender) Open(ctx context.Context, _ string, _ proto.Message) (link.Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return &fakeStream{sender: s, ctx: ctx, number: s.opened, opened: time.Now()}, nil
}

// streams returns the number of streams opened so far.
func (s *fakeSender) streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

type fakeStream struct {
	sender         *fakeSender
	ctx            context.Context
	number, update int
	opened         time.Time
	received       atomic.Uint64
}

func (s *fakeStream) Close() error { return nil }

func (s *fakeStream) Recv(m proto.Message) error {
	update, takes := s.sender.next(s.number, s.update)
	s.update++
	update.SaidAfterMs = uint64(time.Since(s.opened).Milliseconds())
	for started := time.Now(); time.Since(started) < takes; {
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

// arrivalStep is the interval at which bytes of an update arrive.
const arrivalStep = 50 * time.Millisecond

// RequestedAt implements link.Stream, on the watcher's clock.
func (s *fakeStream) RequestedAt() time.Duration { return s.opened.Sub(s.sender.epoch) }

// BytesReceived implements link.Stream.
func (s *fakeStream) BytesReceived() uint64 { return s.received.Load() }

// syncBuffer is a log output that may be read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// runWatcher runs a watcher of the sender until the test ends, inside a synctest bubble.
func runWatcher(t *testing.T, s *fakeSender, logger hclog.Logger) *Watcher {
	return runWatcherBooted(t, s, logger, time.Hour)
}

// runWatcherBooted is like runWatcher on a machine that was booted so long ago.
func runWatcherBooted(t *testing.T, s *fakeSender, logger hclog.Logger, booted time.Duration) *Watcher {
	s.epoch = time.Now().Add(-booted)
	w := NewWatcher(Options{
		Instance: "e1", DataCenter: "a", Timing: spread.FastTiming, Logger: logger, OnView: s.onView,
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

// The log must show which sender an entry follows and when it was behind.
func TestLogNamesSenderAndLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var text syncBuffer
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			switch update {
			case 0:
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			case 1:
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(2)}}, 500 * time.Millisecond
			}
			return &lilacv1.WatchUpdate{Newest: 2}, 300 * time.Millisecond
		}}
		w := runWatcher(t, s, hclog.New(&hclog.LoggerOptions{Output: &text, JSONFormat: true}))
		time.Sleep(time.Second)
		is.Equal(w.Revision(), uint64(2))
		for _, want := range []string{
			`"@message":"following revisions"`, `"reason":"start"`,
			`"@message":"behind the newest revision"`, `"held":1,"newest":2`,
			`"@message":"caught up with the newest revision"`,
		} {
			is.True(strings.Contains(text.String(), want)) // missing from the log
		}
	})
}

// A document may take longer to transfer than the silence timeout of a sender. If the
// entry switched to another sender meanwhile, it would restart the transfer and never
// complete it.
func TestSenderIsKeptDuringLongUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const takes = 3 * time.Second
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			switch update {
			case 0:
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			case 1:
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(2)}}, takes
			}
			return &lilacv1.WatchUpdate{Newest: 2}, 300 * time.Millisecond
		}}
		w := runWatcher(t, s, nil)
		time.Sleep(takes + tickInterval)
		is.Equal(w.Revision(), uint64(2))
		is.Equal(s.streams(), 1)
	})
}

// An entry that knows of a newer revision, but has not received it yet, must not count
// its own revision as confirmed.
func TestAnnouncedRevisionDoesNotConfirmHeldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			switch {
			case update == 0:
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			case update <= 10:
				return &lilacv1.WatchUpdate{Newest: 2}, 300 * time.Millisecond
			}
			return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(2)}}, 300 * time.Millisecond
		}}
		w := runWatcher(t, s, nil)
		time.Sleep(2 * time.Second)
		_, age := w.LatestKnown()
		is.True(age < time.Second)
		is.True(w.Staleness() >= 2*time.Second-tickInterval)
		time.Sleep(2 * time.Second)
		is.True(w.Staleness() < time.Second)
	})
}

// Guards against an entry whose machine has just booted and that takes an old configuration for one
// confirmed at the boot: it would use revoked keys and software versions that have left.
func TestConfigurationOlderThanTheMachineIsNotConfirmedAtItsBoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const old = 10 * time.Minute
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 1, AgeMs: uint32(old.Milliseconds()), Revisions: []*lilacv1.Revision{revision(1)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1, AgeMs: uint32(old.Milliseconds())}, 300 * time.Millisecond
		}}
		w := runWatcherBooted(t, s, nil, time.Second)
		is.True(w.Staleness() >= old)
		time.Sleep(2 * time.Second)
		is.Equal(w.Revision(), uint64(1))
		is.True(w.Staleness() >= old)
		_, age := w.LatestKnown()
		is.True(age >= old)
	})
}

// An update that arrives late, as after a network outage or a suspension, must not be
// treated as current: a key revoked in the meantime would still be accepted.
func TestDelayedUpdateIsDatedBySendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const late = 5 * time.Second
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1}, late
		}}
		w := runWatcher(t, s, nil)
		time.Sleep(late + tickInterval)
		is.True(w.Staleness() >= late)
		_, age := w.LatestKnown()
		is.True(age >= late)
	})
}

// A state process that has just resumed may report an old revision as the newest. An
// entry that holds a newer one must not take that as confirmation.
func TestStaleSenderDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 2, Revisions: []*lilacv1.Revision{revision(1), revision(2)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1}, 300 * time.Millisecond
		}}
		w := runWatcher(t, s, nil)
		time.Sleep(3 * time.Second)
		is.True(w.Staleness() >= 3*time.Second-tickInterval)
	})
}

// An entry that takes long to apply a document, as on a slow machine, must not treat its
// sender as silent meanwhile.
func TestSenderIsKeptWhileUpdateIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeSender{next: func(_, update int) (*lilacv1.WatchUpdate, time.Duration) {
			if update == 0 {
				return &lilacv1.WatchUpdate{Newest: 1, Revisions: []*lilacv1.Revision{revision(1)}}, 0
			}
			return &lilacv1.WatchUpdate{Newest: 1}, 300 * time.Millisecond
		}}
		s.onView = func(*model.View) { time.Sleep(3 * time.Second) }
		runWatcher(t, s, nil)
		time.Sleep(5 * time.Second)
		is.Equal(s.streams(), 1)
	})
}
