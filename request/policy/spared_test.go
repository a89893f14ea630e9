package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller leaves, or its deadline passes, in the middle of an answer. What the
// engine need not make any more is counted; of one that waits nothing is.
func TestSparedTokensAreCounted(t *testing.T) {
	is := is.New(t)
	c := newCore()
	longAnswer(t, c, longPrompt(1))
	late := longPrompt(2)
	late.Deadline = epoch.Add(time.Second)
	c.Step(epoch, late)
	c.Step(epoch, Tokens{ID: 2, Attempt: 1, Count: 1})
	c.Step(epoch.Add(400*time.Millisecond), Canceled{ID: 1})
	left := c.Stats().SavedTokens.Canceled
	is.True(left > 100 && left <= 200) // the estimate before any answer was seen is 200
	c.Step(epoch.Add(2*time.Second), Tick{})
	is.True(c.Stats().SavedTokens.Expired > 100)
	c.Step(epoch.Add(2*time.Second), Canceled{ID: 1})
	is.Equal(c.Stats().SavedTokens.Canceled, left)
}
