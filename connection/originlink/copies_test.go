package originlink

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

// largeFleet returns a Link in a fleet of 1,100 instances that holds 1,000 streams without copies, and
// the switch by which others can't infer their version any more. It keeps copies in its outboxes.
func largeFleet(tb testing.TB) (*Link, *atomic.Bool) {
	is := is.New(tb)
	var several atomic.Bool
	l := New(Options{Self: member.Peer{Name: "x0", DataCenter: "x"}, Versions: func(service string) admission.Record {
		r := admission.Record{Counted: []*lilacv1.ServiceVersion{{Service: service, Version: "v1"}}}
		if several.Load() {
			r.Counted = append(r.Counted, &lilacv1.ServiceVersion{Service: service, Version: "v2"})
		}
		return r
	}})
	l.closed = true
	peers := make([]member.Peer, 1100)
	for i := range peers {
		peers[i] = member.Peer{Name: "x" + strconv.Itoa(i), DataCenter: "x"}
	}
	l.SetPeers(peers)
	for i := range 1000 {
		is.NoErr(l.Record(tb.Context(), strconv.Itoa(i), v1, true, 1, 30*time.Second))
	}
	return l, &several
}

// BenchmarkCopiesOfALargeFleet measures how long copies of 1,000 streams take in a fleet of 1,100
// instances, and the longest time for which a request that arrives meanwhile waits.
func BenchmarkCopiesOfALargeFleet(b *testing.B) {
	var longest time.Duration
	for range b.N {
		b.StopTimer()
		l, several := largeFleet(b)
		several.Store(true)
		b.StartTimer()
		longest = max(longest, longestWait(b, l))
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms-longest-wait")
}

// Guards against requests that wait, and a new document that isn't applied, while an instance of a large
// fleet sends copies of all its streams.
func TestRequestsWaitForCopiesOfALargeFleet(t *testing.T) {
	is := is.New(t)
	l, several := largeFleet(t)
	several.Store(true)
	l.mu.Lock()
	called := make(chan struct{})
	go func() {
		defer close(called)
		l.SendCopies()
	}()
	select {
	case <-called:
	case <-time.After(10 * time.Second):
		t.Error("SendCopies waits for the lock")
	}
	l.mu.Unlock()
	<-called
	is.True(longestWait(t, l) < 250*time.Millisecond)
}

// longestWait runs the Link until it has queued copies of all streams, and returns the longest time for
// which a request waits meanwhile.
func longestWait(tb testing.TB, l *Link) (longest time.Duration) {
	ctx, cancel := context.WithCancel(tb.Context())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	l.SendCopies()
	for queued := 0; queued < 1000; {
		began := time.Now()
		l.mu.Lock()
		longest = max(longest, time.Since(began))
		queued = len(l.copied)
		l.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
	}
	cancel()
	running.Wait()
	return longest
}
