package queue

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_800_000_000, 0)

func item(id uint64, tier int, team string, due int) *Item {
	return &Item{ID: id, Tier: tier, Class: "c", Team: team, Weight: 1, Cost: 100, Arrived: epoch, Due: epoch.Add(time.Duration(due) * time.Millisecond)}
}

func TestLeastSlackGoesFirst(t *testing.T) {
	is := is.New(t)
	q := New()
	q.Push(item(1, 1, "a", 900))
	q.Push(item(2, 1, "b", 300))
	is.Equal(q.Peek(1, 0, false).ID, uint64(2))
	is.True(q.Peek(0, 0, false) == nil)
}

// One team sends ten times as much as the other. First come, first served would give
// it ten times the service, and the small team's requests would wait behind all of
// the large team's.
func TestTeamsShareByTokens(t *testing.T) {
	is := is.New(t)
	q := New()
	id := uint64(0)
	for n := range 2000 {
		id++
		q.Push(item(id, 1, "large", n))
		if n%10 == 0 {
			id++
			q.Push(item(id, 1, "small", n+5000))
		}
	}
	started := map[string]int{}
	for range 300 {
		next := q.Peek(1, 0, false)
		started[next.Team]++
		q.Started(next)
	}
	is.True(started["small"] >= 130) // half, minus the window
}

func TestLateRequestsDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := New()
	q.Push(item(1, 1, "a", 100))
	q.Push(item(2, 1, "a", 900))
	expired := 0
	q.MarkLate(epoch.Add(500*time.Millisecond), func(*Item) { expired++ })
	is.Equal(expired, 1)
	is.Equal(q.Peek(1, 0, false).ID, uint64(2))
	is.Equal(q.Peek(1, 0, true).ID, uint64(1))
	is.Equal(q.Victim(1).ID, uint64(1))
	q.Remove(q.Peek(1, 0, true))
	is.Equal(q.Len(), 1)
	is.Equal(q.Cost(), 100.0)
}

func TestBegunRequestsAreNotShed(t *testing.T) {
	is := is.New(t)
	q := New()
	begun := item(1, 3, "a", 100)
	begun.Begun = true
	q.Push(begun)
	is.Equal(q.LowestTier(), -1)
	is.True(q.Victim(3) == nil)
}

// Strict priority serves a long burst of one class and starves the other. The waiting
// class accrues credit until its oldest request may start.
func TestGuaranteedShareAccruesUntilAStart(t *testing.T) {
	is := is.New(t)
	q := New()
	q.SetShare("slow", 0.05)
	waiting := item(1, 3, "a", 1000)
	waiting.Class, waiting.Cost = "slow", 400
	q.Push(waiting)
	now := epoch
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		q.AccrueCredit("c", 20, now) // 400 tokens a second
		if next := q.NextByCredit(now); next != nil {
			break
		}
	}
	is.Equal(q.NextByCredit(now), waiting)
	is.True(now.Sub(epoch) < 12*time.Second)
	q.SpendCredit(waiting)
	is.True(q.NextByCredit(now) == nil)
}

// Notes and more urgent queries of the same tier wait together. By slack alone, notes
// that are due sooner would start before the queries.
func TestUrgentRankGoesFirstWithinATier(t *testing.T) {
	is := is.New(t)
	q := New()
	note := item(1, 1, "a", 100)
	note.Rank = 2
	query := item(2, 1, "b", 900)
	q.Push(note)
	q.Push(query)
	is.Equal(q.Peek(1, 0, false), query)
	is.Equal(q.Peek(1, 2, false), note)
	is.Equal(q.Before(query), 1)
	is.Equal(q.Before(note), 2)
	is.Equal(q.Victim(1), note)
	is.Equal(q.TierLen(1), 2)
	is.Equal(q.LowestTier(), 1)
}

// A team's last remaining request is skipped when another request of the team starts.
// It must be back in the queue after RestoreSkipped.
func TestSkippedRequestsAreRestored(t *testing.T) {
	is := is.New(t)
	q := New()
	first, second := item(1, 1, "a", 100), item(2, 1, "a", 900)
	q.Push(first)
	q.Push(second)
	q.Skip(first)
	is.Equal(q.Len(), 2)
	is.Equal(q.Peek(1, 0, false), second)
	q.Started(second)
	is.True(q.Peek(1, 0, false) == nil)
	q.RestoreSkipped()
	is.Equal(q.Peek(1, 0, false), first)
	q.Skip(first)
	q.Remove(first)
	q.RestoreSkipped()
	is.Equal(q.Len(), 0)
	is.True(q.Peek(1, 0, false) == nil)
}

// Guards against requests that stay in memory after they have left the queue.
func TestItemsThatLeftAreNotKept(t *testing.T) {
	is := is.New(t)
	q := New()
	q.Push(item(1, 1, "a", 900))
	var left []weak.Pointer[Item]
	for id := range uint64(1000) {
		i := item(id+2, 1, "a", 900)
		q.Push(i)
		q.Started(i)
		left = append(left, weak.Make(i))
	}
	runtime.GC()
	kept := 0
	for _, p := range left {
		if p.Value() != nil {
			kept++
		}
	}
	is.Equal(kept, 0)
	is.Equal(q.ClassLen("c"), 1)
}

// Guards against a share that is measured by a request that came later: one that returns to the
// queue keeps its place by arrival.
func TestReturnedItemIsTheOldestOfItsClass(t *testing.T) {
	is := is.New(t)
	q := New()
	q.SetShare("c", 1)
	first, second := item(1, 1, "a", 0), item(2, 1, "a", 0)
	second.Arrived = epoch.Add(time.Second)
	q.Push(first)
	q.Started(first)
	q.Push(second)
	q.Push(first)
	now := epoch.Add(2 * time.Second)
	q.AccrueCredit("other", 1000, now)
	is.Equal(q.NextByCredit(now), first)
}
