package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// longAnswer has begun on a server whose name is returned.
func longAnswer(t *testing.T, c *core, a Arrival) string {
	t.Helper()
	start := only[Start](t, c.Step(epoch, a))
	c.Step(epoch.Add(300*time.Millisecond), Tokens{ID: a.ID, Attempt: 1, Count: 3})
	return start.Server
}

// runFor sends ticks, and a token of the answer now and then; it returns the
// time of the first Start, with it, or nil.
func runFor(c *core, id ID, from, to time.Time) (time.Time, *Start) {
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

// The platform takes a server back in the middle of a long answer. The server
// vanishes seconds later, and the whole prompt was computed again elsewhere.
func TestAnswerMovesBeforeItsServerVanishes(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	told := epoch.Add(400 * time.Millisecond)
	c.Step(told, ServerState{Server: from, Leaving: true})
	at, start := runFor(c, 1, told, told.Add(initialNotice))
	is.True(start != nil)
	is.Equal(start.ResumeFrom, from)
	is.True(start.Server != from)
	is.True(at.Sub(told) > initialNotice-2*moveWindow) // it gets on where it is till then
	c.Step(at.Add(120*time.Millisecond), Tokens{ID: 1, Attempt: 2, Count: 1})
	stats := c.Stats()
	is.Equal(stats.MovedByKV, uint64(1))
	is.True(stats.SavedTokens.Moved > 2000)
}

// The old engine no longer holds the answer, so that its prompt is computed
// again after all. That must not count as spared, and makes moving dearer.
func TestFailedMoveIsNoSparedToken(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	told := epoch.Add(400 * time.Millisecond)
	c.Step(told, ServerState{Server: from, Leaving: true})
	at, start := runFor(c, 1, told, told.Add(initialNotice))
	before := c.kv.near.expect(at, 2000)
	c.Step(at.Add(100*time.Millisecond), Recomputed{ID: 1, Attempt: start.Attempt})
	c.Step(at.Add(500*time.Millisecond), Tokens{ID: 1, Attempt: start.Attempt, Count: 1})
	is.Equal(c.Stats().SavedTokens, SavedTokens{})
	is.True(c.kv.near.expect(at, 2000) > before)
	is.Equal(c.servers[start.Server].ownBacklog.total(), 0.0)
}

// Another server is slow to take KV caches, so that each move is overdue and
// goes on elsewhere before its first token. Nothing was learned from such moves.
func TestSlowMoveIsLearnedThoughItIsGivenUp(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	told := epoch.Add(400 * time.Millisecond)
	c.Step(told, ServerState{Server: from, Leaving: true})
	at, start := runFor(c, 1, told, told.Add(initialNotice))
	before := c.kv.near.expect(at, 2000)
	c.Step(at.Add(2*time.Second), Failed{ID: 1, Attempt: start.Attempt, Refused: true})
	is.True(c.kv.near.expect(at, 2000) > 2*before)
}

// What moving an answer would not help, or must not be done twice, stays: a
// short prompt, a booking, and all on a server that operators drain.
func TestAnswersThatStayOnALeavingServer(t *testing.T) {
	for name, a := range map[string]Arrival{"short prompt": arrival(1, "alerts"), "booking": longPrompt(1), "drained": longPrompt(1)} {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			a.Idempotent = name != "booking"
			from := longAnswer(t, c, a)
			told := epoch.Add(400 * time.Millisecond)
			if name == "drained" {
				c.Step(told, Configured{View: drainedView(from)})
			} else {
				c.Step(told, ServerState{Server: from, Leaving: true})
			}
			_, start := runFor(c, 1, told, told.Add(2*initialNotice))
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

// Servers here go two seconds after the word that they leave. Answers that were
// moved at the end of the longer usual notice came too late, each time anew.
func TestNoticeIsLearned(t *testing.T) {
	is := is.New(t)
	c := newCore()
	from := longAnswer(t, c, longPrompt(1))
	told := epoch.Add(400 * time.Millisecond)
	c.Step(told, ServerState{Server: from, Leaving: true})
	c.Step(told.Add(2*time.Second), Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true})
	is.Equal(c.noticePeriod, 2*time.Second)
}

// Engines that move answers slowly are found out by measuring, and tried again
// once the measurement is old.
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
