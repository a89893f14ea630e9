package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller disconnects, or its deadline passes, during an answer. The tokens that the engine need
// not generate are counted; for a waiting request none are.
func TestSavedTokensAreCounted(t *testing.T) {
	is := is.New(t)
	c := newCore()
	longAnswer(t, c, longPrompt(1))
	late := longPrompt(2)
	late.Deadline = epoch.Add(time.Second)
	c.Step(epoch, late)
	c.Step(epoch, Tokens{ID: 2, Attempt: 1, Count: 1})
	c.Step(epoch.Add(400*time.Millisecond), Canceled{ID: 1})
	left := c.Stats().SavedTokens.Canceled
	is.True(left > 100 && left <= 200) // the initial estimate is 200
	c.Step(epoch.Add(2*time.Second), Tick{})
	is.True(c.Stats().SavedTokens.Expired > 100)
	c.Step(epoch.Add(2*time.Second), Canceled{ID: 1})
	is.Equal(c.Stats().SavedTokens.Canceled, left)
}
