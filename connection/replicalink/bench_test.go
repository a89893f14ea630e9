package replicalink

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/process/replica"
)

// countingListener adds up the bytes, in both directions, of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func nodeNames(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprint("state-", i))
	}
	return all
}

func (f *fleet) leader() *replica.Node {
	for {
		for _, p := range f.running {
			if p.node.Status().Role == replica.Leader {
				return p.node
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkPropose reports throughput and latency percentiles of proposals, by number of
// voters, number of concurrent callers, and whether proposals share a sync.
func BenchmarkPropose(b *testing.B) {
	for _, c := range []struct{ voters, callers, batch int }{
		{3, 1, 0}, {3, 16, 0}, {3, 256, 0}, {3, 16, 1}, {3, 256, 1}, {1, 256, 0}, {5, 256, 0}, {7, 256, 0},
	} {
		batch := "shared"
		if c.batch == 1 {
			batch = "alone"
		}
		b.Run(fmt.Sprintf("voters=%d/callers=%d/sync=%s", c.voters, c.callers, batch), func(b *testing.B) {
			f := newFleetWithBatch(b, c.batch, nodeNames(c.voters)...)
			f.propose("first")
			node := f.leader()
			command := make([]byte, 200)
			var mu sync.Mutex
			var times []time.Duration
			var left atomic.Int64
			left.Store(int64(b.N))
			var wg sync.WaitGroup
			b.ResetTimer()
			for range c.callers {
				wg.Go(func() {
					for left.Add(-1) >= 0 {
						started := time.Now()
						if _, err := node.Propose(b.Context(), command); err != nil {
							b.Error(err)
							return
						}
						mu.Lock()
						times = append(times, time.Since(started))
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(len(times))/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}

// defaultHeartbeats is the default number of heartbeats per second to each follower.
const defaultHeartbeats = 5

// BenchmarkHeartbeat reports the bytes that an idle group exchanges, on all connections
// together, for one heartbeat to one follower and its answer.
func BenchmarkHeartbeat(b *testing.B) {
	for _, voters := range []int{3, 5, 7, 9} {
		b.Run(fmt.Sprint("idle/voters=", voters), func(b *testing.B) {
			f := newFleetWithBatch(b, 0, nodeNames(voters)...)
			f.propose("first")
			time.Sleep(5 * testHeartbeat)
			before := f.bytes.Load()
			started := time.Now()
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * testHeartbeat)
			heartbeats := float64(time.Since(started)) / float64(testHeartbeat) * float64(voters-1)
			each := float64(f.bytes.Load()-before) / heartbeats
			b.ReportMetric(each, "bytes/heartbeat")
			b.ReportMetric(each*float64(voters-1)*defaultHeartbeats, "leader-B/s")
		})
	}
}
