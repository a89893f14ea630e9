package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// longAnswer starts a request, returns the first tokens of its answer, and returns the
// name of the server.
func longAnswer(t *testing.T, c *core, a Arrival) string {
	t.Helper()
	start := only[Start](t, c.Step(epoch, a))
	c.Step(epoch.Add(300*time.Millisecond), Tokens{ID: a.ID, Attempt: 1, Count: 3})
	return start.Server
}

// runUntilStart sends ticks, and a token of the answer every 50 ms, until the first Start
// or until to. It returns the time of the Start, with it, or nil.
func runUntilStart(c *core, id ID, from, to time.Time) (time.Time, *Start) {
	for now := from; now.Before(to); now = now.Add(TickInterval) {
		if now.Sub(from)%(50*time.Millisecond) == 0 {
			c.Step(now, Tokens{ID: id, Attempt: 1, Count: 1})
		}
		for _, action := range c.Step(now, Tick{}) {
			if start, ok := action.(Start); ok {
				return now, &start
			}
		}
	}
	return to, nil
}

func longPrompt(id ID) Arrival {
	a := arrival(id, "alerts")
	a.PromptTokens = 2000
	return a
}

// The platform reclaims a server in the middle of a long answer. Unless the answer moves
// before the server is gone, its whole prompt is computed again elsewhere.
func TestAnswerMovesBeforeItsServerVanishes(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	noticeAt := epoch.Add(400 * time.Millisecond)
	c.Step(noticeAt, ServerState{Server: from, Leaving: true})
	at, start := runUntilStart(c, 1, noticeAt, noticeAt.Add(initialNotice))
	is.True(start != nil)
	is.Equal(start.ResumeFrom, from)
	is.True(start.Server != from)
	is.True(at.Sub(noticeAt) > initialNotice-2*moveWindow) // it makes progress where it is until then
	c.Step(at.Add(120*time.Millisecond), Tokens{ID: 1, Attempt: 2, Count: 1})
	stats := c.Stats()
	is.Equal(stats.MovedByKV, uint64(1))
	is.True(stats.SavedTokens.Moved > 2000)
}

// The old engine no longer has the KV cache of the answer, so the prompt is computed again
// after the move. That must not count as saved, and must raise the estimated cost of moves.
func TestFailedMoveSavesNoTokens(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	noticeAt := epoch.Add(400 * time.Millisecond)
	c.Step(noticeAt, ServerState{Server: from, Leaving: true})
	at, start := runUntilStart(c, 1, noticeAt, noticeAt.Add(initialNotice))
	before := c.kv.near.expect(at, 2000)
	c.Step(at.Add(100*time.Millisecond), Recomputed{ID: 1, Attempt: start.Attempt})
	c.Step(at.Add(500*time.Millisecond), Tokens{ID: 1, Attempt: start.Attempt, Count: 1})
	is.Equal(c.Stats().SavedTokens, SavedTokens{})
	is.True(c.kv.near.expect(at, 2000) > before)
	is.Equal(c.servers[start.Server].ownBacklog.total(), 0.0)
}

// The target is slow to receive KV caches, so that a move is overdue and abandoned before
// its first token. Its duration must still be learned.
func TestAbandonedMoveIsLearned(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	noticeAt := epoch.Add(400 * time.Millisecond)
	c.Step(noticeAt, ServerState{Server: from, Leaving: true})
	at, start := runUntilStart(c, 1, noticeAt, noticeAt.Add(initialNotice))
	before := c.kv.near.expect(at, 2000)
	c.Step(at.Add(2*time.Second), Failed{ID: 1, Attempt: start.Attempt, Refused: true})
	is.True(c.kv.near.expect(at, 2000) > 2*before)
}

// Answers stay if a move does not help or must not happen: a short prompt, a booking, and
// all answers on a server that operators drain.
func TestAnswersThatStayOnALeavingServer(t *testing.T) {
	for name, a := range map[string]Arrival{"short prompt": arrival(1, "alerts"), "booking": longPrompt(1), "drained": longPrompt(1)} {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			a.Idempotent = name != "booking"
			from := longAnswer(t, c, a)
			noticeAt := epoch.Add(400 * time.Millisecond)
			if name == "drained" {
				c.Step(noticeAt, Configured{View: drainedView(from)})
			} else {
				c.Step(noticeAt, ServerState{Server: from, Leaving: true})
			}
			_, start := runUntilStart(c, 1, noticeAt, noticeAt.Add(2*initialNotice))
			is := is.New(t)
			is.Equal(start, nil)
			is.Equal(c.requests[1].server.name, from)
		})
	}
}

func drainedView(server string) *model.View {
	old := testView()
	snapshot := &lilacv1.Snapshot{Revision: 2}
	for _, class := range old.Classes {
		snapshot.Classes = append(snapshot.Classes, class)
	}
	for _, team := range old.Teams {
		snapshot.Teams = append(snapshot.Teams, team)
	}
	for _, s := range old.Servers {
		s.Draining = s.GetName() == server
		snapshot.Servers = append(snapshot.Servers, s)
	}
	return model.NewView(snapshot)
}

// Servers go two seconds after the notice. Answers that are moved at the end of the longer
// default notice period would always be moved too late.
func TestNoticePeriodIsLearned(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	noticeAt := epoch.Add(400 * time.Millisecond)
	c.Step(noticeAt, ServerState{Server: from, Leaving: true})
	c.Step(noticeAt.Add(2*time.Second), Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
	is.Equal(c.noticePeriod, 2*time.Second)
}

// Slow moves raise the estimate, and it decays so that moving is tried again once the
// measurement is old.
func TestCostOfMovingIsLearnedAndForgotten(t *testing.T) {
	is := is.New(t)
	k := newKVCost()
	before := k.near.expect(epoch, 2000)
	for range 20 {
		k.near.observe(epoch, 2000, 5*time.Second)
	}
	is.True(k.near.expect(epoch, 2000) > 20*before)
	is.Equal(k.far, newKVCost().far)
	is.True(k.near.expect(epoch.Add(10*kvHalfLife), 2000) < before+before/10)
}
