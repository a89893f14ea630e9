package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func testView() *model.View {
	return model.NewView(&lilacv1.Snapshot{
		Revision: 1,
		Classes: []*lilacv1.Class{
			{Name: "alerts", Tier: 0, FirstTokenMs: 420, BetweenTokensMs: 65},
			{Name: "batch", Tier: 3, FirstTokenMs: 5000, BetweenTokensMs: 200},
		},
		Teams: []*lilacv1.Team{{Name: "a"}, {Name: "b"}},
		Servers: []*lilacv1.Server{
			{Name: "r1", DataCenter: "dakar-a", Serves: []string{"redaction"}, Slots: 2},
			{Name: "r2", DataCenter: "dakar-a", Serves: []string{"redaction"}, Slots: 2},
		},
	})
}

func newCore() *core {
	c := New(Options{Instance: "e1", DataCenter: "dakar-a", Seed: 1, Weights: settings.Policy{RetryShare: 0.1}}).(*core)
	c.Step(epoch, Configured{View: testView()})
	return c
}

func arrival(id ID, class string) Arrival {
	return Arrival{ID: id, Class: class, Team: "a", Target: "redaction", Digest: string(rune('a' + id)), PromptTokens: 10, Idempotent: true}
}

// only returns the single action of type A and fails the test if there is not exactly
// one.
func only[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	var found []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d actions of the type, want 1, in %v", len(found), actions)
	}
	return found[0]
}

func TestArrivalStartsOnAServerWithRoom(t *testing.T) {
	is := is.New(t)
	c := newCore()
	actions := c.Step(epoch, arrival(1, "alerts"))
	is.Equal(len(actions), 1)
	start := actions[0].(Start)
	is.Equal(start.ID, ID(1))
	is.Equal(start.Attempt, 1)
}

func TestUnknownClassIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	c := newCore()
	refusal := c.Step(epoch, arrival(1, "nosuch"))[0].(Refuse)
	is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_UNKNOWN_CLASS)
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_TRUE)
}

// A booking is sent, then its server crashes. A second attempt could book twice, so
// the caller must learn that the outcome is unknown.
func TestNonIdempotentIsNotSentTwice(t *testing.T) {
	is := is.New(t)
	c := newCore()
	a := arrival(1, "alerts")
	a.Idempotent = false
	start := c.Step(epoch, a)[0].(Start)
	c.Step(epoch, Sent{ID: 1, Attempt: start.Attempt})
	refusal := only[Refuse](t, c.Step(epoch, Failed{ID: 1, Attempt: start.Attempt, Sent: true, Crashed: true}))
	is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
	is.Equal(refusal.NotRun, lilacv1.NotRun_NOT_RUN_UNKNOWN)
}

// The connection to a server breaks after two tokens of the answer. The rest must come
// from the other server.
func TestBrokenStreamIsContinuedElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCore()
	start := c.Step(epoch, arrival(1, "alerts"))[0].(Start)
	c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: 2})
	for _, action := range c.Step(epoch, Failed{ID: 1, Attempt: 1, Sent: true, Crashed: true}) {
		_, started := action.(Start)
		is.True(!started) // a suspect waits for reports of the other instances
	}
	again := only[Start](t, c.Step(epoch.Add(ownCrashDelay), Tick{}))
	is.True(again.Server != start.Server)
	is.True(again.Continue)
	is.Equal(len(c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: 1})), 0)
	is.Equal(c.requests[1].tokens, 2) // a late token of the first attempt is ignored
}

// Guards against an attempt that starts after its caller's deadline, since the event that frees a
// server, or the arrival itself, is handled before the tick that ends the request.
func TestNothingStartsAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	c := newCore()
	deadline := epoch.Add(time.Second)
	id := ID(1)
	for ; len(all[Start](c.Step(epoch, arrival(id, "batch")))) > 0; id++ {
		c.Step(epoch, Sent{ID: id, Attempt: 1})
	}
	waiting := arrival(id+1, "batch")
	waiting.Deadline = deadline
	is.Equal(len(all[Start](c.Step(epoch, waiting))), 0)
	c.Step(epoch, Canceled{ID: id})
	refusal := only[Refuse](t, c.Step(deadline, Finished{ID: 1, Attempt: 1}))
	is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT)
	late := arrival(id+2, "batch")
	late.Deadline = deadline
	refusal = only[Refuse](t, c.Step(deadline, late))
	is.Equal(refusal.Kind, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT)
	is.Equal(len(c.stats.Violations), 0)
}
