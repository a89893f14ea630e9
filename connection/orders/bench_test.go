package orders

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/packets"
	"github.com/lilacbridge/lilacbridge/connection/upstream"
	"github.com/lilacbridge/lilacbridge/process/orders"
)

const (
	// benchSeconds is the simulated time that is measured, after a warm-up of the same
	// length in which the initial allowance of reads is used up.
	benchSeconds = 60
	// benchReply is the reply of an engine that has a model and some adapters loaded.
	benchReply = `{"models":["asistente-lm"],"adapters":["es","fr","pt","wo","cy"],"fencing":12}`
)

// benchEngines serves reads at every address of the loopback network and returns the port.
// It does not echo request ids, so that each read takes a new connection, as it does for
// engines that are read less often than idle connections are kept.
func benchEngines(b *testing.B) int {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, benchReply)
	})}
	go server.Serve(listener)
	b.Cleanup(func() { server.Close() })
	return listener.Addr().(*net.TCPAddr).Port
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// holder performs the reads of a core in simulated time.
type holder struct {
	core    *orders.Core
	engines engineClient
	now     time.Time
}

func (h *holder) step(b *testing.B, event orders.Event) {
	for _, action := range h.core.Step(h.now, event) {
		if read, ok := action.(orders.Read); ok {
			done := h.engines.read(b.Context(), read)
			if done.Err != nil {
				b.Fatal(done.Err)
			}
			h.step(b, done)
		}
	}
}

func (h *holder) run(b *testing.B, seconds int) {
	for range seconds * int(time.Second/tickInterval) {
		h.now = h.now.Add(tickInterval)
		h.step(b, orders.LeaseHeld{Fencing: 1})
	}
}

// BenchmarkReadings reports what the lease holder's reads of engines cost per second, by
// number of engines: bytes of the control connections, packet headers, and CPU time of both
// sides. From 500 engines on, there are more engines than reads in a minute.
func BenchmarkReadings(b *testing.B) {
	port := benchEngines(b)
	for _, count := range []int{500, 1000, 2000, 5900} {
		b.Run(fmt.Sprint("engines=", count), func(b *testing.B) {
			client := upstream.NewClient()
			defer client.Close()
			var list []orders.Engine
			for i := range count {
				address := fmt.Sprintf("127.%d.%d.%d:%d", 1+i>>16, i>>8&255, i&255, port)
				list = append(list, orders.Engine{Name: fmt.Sprint("r", i), Address: address, ChecksFencing: true,
					Desired: map[orders.Model]bool{{Name: "asistente-lm"}: true}})
			}
			h := &holder{core: orders.NewCore(defaultLoadsPerMinute, orders.OrderTimeout), now: time.Unix(1, 0),
				engines: newEngineClient(client, func(uint64) bool { return true }, time.Second)}
			h.step(b, orders.Configured{Engines: list})
			h.run(b, benchSeconds)
			bytes, headers, cpu := controlBytes(client), controlHeaders(client), cpuTime()
			h.run(b, benchSeconds)
			bytes, headers = controlBytes(client)-bytes, controlHeaders(client)-headers
			b.ReportMetric(float64(bytes)/benchSeconds, "read-B/s")
			b.ReportMetric(float64(bytes+headers)/benchSeconds, "wire-B/s")
			b.ReportMetric(100*(cpuTime()-cpu).Seconds()/benchSeconds, "core-%")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func controlBytes(c *upstream.Client) uint64 {
	sent, received := c.ControlBytes()
	return sent + received
}

func controlHeaders(c *upstream.Client) uint64 {
	sent, received := c.ControlPackets()
	return (sent + received) * packets.HeaderBytes
}
