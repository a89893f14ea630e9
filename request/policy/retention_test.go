package policy

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"
)

// promptOf gives the request a prompt, which is the largest part of what is kept of it.
func promptOf(a *Arrival) weak.Pointer[Block] {
	a.Prefix = make([]Block, 100)
	for i := range a.Prefix {
		a.Prefix[i] = Block{Hash: uint64(a.ID)<<32 | uint64(i), End: i + 1}
	}
	return weak.Make(&a.Prefix[0])
}

func countAlive[T any](pointers []weak.Pointer[T]) int {
	runtime.GC()
	alive := 0
	for _, p := range pointers {
		if p.Value() != nil {
			alive++
		}
	}
	return alive
}

// Guards against requests that stay in memory after they have ended, while one that came before
// them runs.
func TestRequestsThatEndedAreNotKept(t *testing.T) {
	for name, digest := range map[string]func(ID) string{
		"different": func(id ID) string { return string(rune('a' + id)) },
		"copies":    func(ID) string { return "same" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCore()
			var ended []weak.Pointer[Block]
			const count = 200
			var running []Start
			for id := range ID(count) {
				a := arrival(id+1, "batch")
				a.Digest = digest(id + 1)
				ended = append(ended, promptOf(&a))
				running = append(running, all[Start](c.Step(epoch, a))...)
			}
			now := epoch
			for len(running) > 1 {
				start := running[len(running)-1]
				running = running[:len(running)-1]
				now = now.Add(slowTick)
				c.Step(now, Sent{ID: start.ID, Attempt: start.Attempt})
				c.Step(now, Tokens{ID: start.ID, Attempt: start.Attempt, Count: trialTokens})
				running = append(running, all[Start](c.Step(now, Finished{ID: start.ID, Attempt: start.Attempt}))...)
				running = append(running, all[Start](c.Step(now, Tick{}))...)
			}
			for id := range ID(count) {
				if len(running) == 0 || id+1 != running[0].ID {
					c.Step(now, Canceled{ID: id + 1})
				}
			}
			c.Step(now.Add(time.Second), Tick{})
			is.Equal(countAlive(ended), len(c.requests))
			is.True(len(c.requests) <= 1)
		})
	}
}

// Guards against copies that stay in memory because they were set aside once.
func TestCopiesThatWereSetAsideAreNotKept(t *testing.T) {
	is := is.New(t)
	c := newCore()
	const count = 20
	var copies []weak.Pointer[Block]
	for id := range ID(count) {
		a := arrival(id+1, "alerts")
		a.Digest = "same"
		copies = append(copies, promptOf(&a))
		c.Step(epoch, a)
	}
	p := c.requests[1].pool
	is.True(len(p.parked) > 0)
	c.Step(epoch, Tokens{ID: 1, Attempt: 1, Count: trialTokens})
	c.Step(epoch.Add(slowTick), Tick{})
	is.Equal(len(p.parked), 0)
	for id := range ID(count) {
		c.Step(epoch.Add(slowTick), Canceled{ID: id + 1})
	}
	is.Equal(len(c.requests), 0)
	is.Equal(countAlive(copies), 0)
	runtime.KeepAlive(c)
}

// Guards against requests that stay in memory because they waited for a borrowed retry.
func TestRequestsThatBorrowedARetryAreNotKept(t *testing.T) {
	is := is.New(t)
	c := withoutRetries(newCore())
	c.Step(epoch, Fleet{Others: []Instance{{"e2", "dakar-a"}}})
	var prompts []weak.Pointer[Block]
	for id := ID(1); id <= 3; id++ {
		a := arrival(id, "alerts")
		prompts = append(prompts, promptOf(&a))
		c.Step(epoch, a)
		c.Step(epoch, Failed{ID: id, Attempt: 1, Sent: true, ServerError: true})
	}
	c.Step(epoch, Tick{})
	c.Step(epoch, RetriesBorrowed{Pool: "redaction", Count: 1, AskedAt: epoch})
	is.Equal(len(c.pools["redaction"].retryLoans.waiting), 2)
	c.Step(epoch, Canceled{ID: 1})
	is.Equal(countAlive(prompts), 2)
	is.Equal(len(c.requests), 2)
}
