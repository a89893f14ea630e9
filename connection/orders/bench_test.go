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
	// benchSeconds of a holder's life, after as many in which the readings that
	// were saved up are made.
	benchSeconds = 60
	// What an engine has: a model and some adapters.
	benchAnswer = `{"models":["asistente-lm"],"adapters":["es","fr","pt","wo","cy"],"fencing":12}`
)

// benchEngines answers readings at every address of the loopback network, without
// the echo of request ids: each gets a connection of its own, as all do that are
// read less often than connections are kept. It returns the port.
func benchEngines(b *testing.B) int {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, benchAnswer)
	})}
	go server.Serve(listener)
	b.Cleanup(func() { server.Close() })
	return listener.Addr().(*net.TCPAddr).Port
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// holder carries a core's readings out, in a time that is only counted.
type holder struct {
	core    *orders.Core
	engines engines
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
	for range seconds * int(time.Second/tick) {
		h.now = h.now.Add(tick)
		h.step(b, orders.LeaseHeld{Fencing: 1})
	}
}

// BenchmarkReadings gives what the lease holder's readings of engines cost a
// second: bytes of the connections for control, the headers of their packets and
// processor time of both sides, by engines. From
// 500 on there are more than the readings of a minute.
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
			h := &holder{core: orders.NewCore(defaultLoads, orders.OrderTimeout), now: time.Unix(1, 0),
				engines: newEngines(client, func(uint64) bool { return true }, time.Second)}
			h.step(b, orders.Configured{Engines: list})
			h.run(b, benchSeconds)
			bytes, headers, spent := controlBytes(client), controlHeaders(client), processorTime()
			h.run(b, benchSeconds)
			bytes, headers = controlBytes(client)-bytes, controlHeaders(client)-headers
			b.ReportMetric(float64(bytes)/benchSeconds, "read-B/s")
			b.ReportMetric(float64(bytes+headers)/benchSeconds, "wire-B/s")
			b.ReportMetric(100*(processorTime()-spent).Seconds()/benchSeconds, "core-%")
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
