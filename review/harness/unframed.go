package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unframed"] = unframed }

// The largest dose of the site files for answers without a length: half of the replicas, one in
// twenty of their answers.
const unframedShare = 0.05

// unframedAnswer writes its body in pieces as it makes them, now and then without a length.
func unframedAnswer(w http.ResponseWriter, q *http.Request, body []byte) {
	if rand.Float64() < unframedShare {
		// net/http then writes the body as it is, and closes the channel at its end.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	streamAnswer(w, q, body)
}

const (
	events   = 40
	eventGap = 25 * time.Millisecond
)

func event(number int, id string) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", number, number, id)
}

func wholeStream(id string) []byte {
	var b bytes.Buffer
	for number := 1; number <= events; number++ {
		b.WriteString(event(number, id))
	}
	return b.Bytes()
}

// streamAnswer writes the events of a stream as it makes them.
func streamAnswer(w http.ResponseWriter, q *http.Request, _ []byte) {
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= events; number++ {
		if _, err := io.WriteString(w, event(number, q.Header.Get("Attempt-Id"))); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventGap)
	}
}

// streamConfig has one streaming route that may not be resumed.
func streamConfig(version int) map[string]any {
	config := serviceConfig(version, map[string]string{"plan": "streaming"}, 5000)
	config["services"] = []any{map[string]any{"name": "desk", "healthPath": "/health", "connectionLimit": 370, "protocol": "h1", "tlsEnabled": false,
		"inferenceEngine": map[string]any{"slots": 64, "kvCapacityTokens": 579703, "kvBytes": 327680, "linkMbps": 320000.0, "moves": true, "backups": true,
			"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}}}}}
	route := config["routes"].([]any)[0].(map[string]any)
	route["eventGapMs"], route["sessionAffinity"], route["maxAttempts"] = 800, true, 1
	return config
}

// unframed kills entries while they pass on answers without a length.
func unframed(c *setting) bool {
	p := startPlatform("127.0.0.1")
	var entries []any
	for i := range 4 {
		answer := streamAnswer
		if i%2 == 0 {
			answer = unframedAnswer
		}
		r := startReplica(c.rec, "127.0.0.1", fmt.Sprintf("i-desk%d", i), "desk", zones[i%3], 64, 100, answer)
		entries = append(entries, r.entry())
	}
	p.set(entries)
	f := newFleet(c.root, c.dir, c.rec, p.address(), 3, 4)
	defer f.stopAll()
	f.startAll()
	putConfig(f, streamConfig(1))
	if !f.awaitReady(f.fronts...) {
		fatal(fmt.Errorf("the fronts did not become ready"))
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(50 * time.Second)
	var broken, served, failed, without atomic.Int64
	var wg sync.WaitGroup
	for range 96 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				name, method := "plan", http.MethodPost
				target := f.pick()
				q := request{id: newID(), method: method, host: "h.example", path: "/" + name + "/x", key: "key1", deadline: 4 * time.Second,
					header: map[string]string{"Model": "m", "Token-Counts": "400,160", "Prompt-Prefix": "5c1e07a2:200,91bd3f06:200"}}
				c.rec.note("send %s %s to %s", q.id, name, target.name)
				got := do(f.front(target), q)
				whole := wholeStream(q.id)
				c.rec.note("answer to %s: %d, %d of %d bytes, complete %v, %v", q.id, got.status, len(got.body), len(whole), got.complete, got.err)
				if got.status == 200 && got.unframed {
					without.Add(1)
				}
				switch {
				case got.status/100 == 2 && got.complete && !bytes.Equal(got.body, whole):
					broken.Add(1)
					c.say("ORDER: %s %s at %s: %d with %s looks complete with %d of %d bytes", name, q.id, target.name, got.status, got.signature, len(got.body), len(whole))
				case got.status/100 == 2 && got.complete:
					served.Add(1)
				default:
					failed.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(rand.N(20 * time.Millisecond))
			}
		})
	}
	if c.trouble {
		for i := 0; time.Now().Before(stop.Add(-5 * time.Second)); i++ {
			time.Sleep(1500 * time.Millisecond)
			f.kill(f.fronts[i%len(f.fronts)], 2*time.Second)
		}
	}
	wg.Wait()
	c.say("%d served whole (%d answers without a length), %d failed, %d looked complete but were not whole", served.Load(), without.Load(), failed.Load(), broken.Load())
	if served.Load() == 0 {
		fatal(fmt.Errorf("the fleet did not serve"))
	}
	return broken.Load() > 0
}
