package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["truncated"] = truncated }

// wholeBody is the replica's whole body for an attempt.
func wholeBody(id string) []byte {
	var b bytes.Buffer
	for i := range 60 {
		fmt.Fprintf(&b, "%s line %04d of the schedule of berths and sailings\n", id, i)
	}
	return b.Bytes()
}

// closeShare is the share of answers that bear Connection: close, as occasional answers do.
const closeShare = 0.2

// slowAnswer writes its body in pieces, as it makes them.
func slowAnswer(w http.ResponseWriter, q *http.Request, _ []byte) {
	body := wholeBody(q.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "text/plain")
	if rand.Float64() < closeShare {
		w.Header().Set("Connection", "close")
	}
	writePieces(w, body)
}

func writePieces(w http.ResponseWriter, body []byte) {
	const pieces = 20
	for i := range pieces {
		w.Write(body[len(body)*i/pieces : len(body)*(i+1)/pieces])
		w.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
	}
}

func serviceConfig(version int, kinds map[string]string, timeoutMs int) map[string]any {
	var routes []any
	for name, kind := range kinds {
		routes = append(routes, map[string]any{"name": "r-" + name, "host": "h.example", "pathPrefix": "/" + name + "/", "routeKind": kind,
			"timeoutMs": timeoutMs, "targetLatencyMs": 500, "priority": 1, "service": "desk", "maxAttempts": 2, "public": false,
			"sessionAffinity": false, "streamResumption": false})
	}
	return map[string]any{"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tlsEnabled": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "team1", "apiKeys": []any{"key1"}, "priority": 1}}}
}

// truncated kills an entry that forwards connections of another one.
func truncated(c *setting) bool {
	p := startPlatform("127.0.0.1")
	var replicas []*replica
	var entries []any
	for i, zone := range zones {
		r := startReplica(c.rec, "127.0.0.1", fmt.Sprintf("i-desk%d", i), "desk", zone, 64, 4, slowAnswer)
		replicas = append(replicas, r)
		entries = append(entries, r.entry())
	}
	p.set(entries)
	f := newFleet(c.root, c.dir, c.rec, p.address(), 3, 4)
	defer f.stopAll()
	f.startAll()
	config := serviceConfig(1, map[string]string{"look": "idempotent", "book": "non_idempotent"}, 5000)
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["targetLatencyMs"] = 2000
	}
	putConfig(f, config)
	if !f.awaitReady(f.fronts...) {
		fatal(fmt.Errorf("the fronts did not become ready"))
	}
	time.Sleep(2 * time.Second)
	// The requesters use a front that is never killed.
	target := f.fronts[0]
	stop := time.Now().Add(45 * time.Second)
	var broken, served, failed atomic.Int64
	var wg sync.WaitGroup
	for range 96 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				name, method := "look", http.MethodGet
				if rand.N(2) == 0 {
					name, method = "book", http.MethodPost
				}
				q := request{id: newID(), method: method, host: "h.example", path: "/" + name + "/x", key: "key1", deadline: 4 * time.Second}
				c.rec.note("send %s %s to %s", q.id, name, target.name)
				got := do(f.front(target), q)
				whole := wholeBody(q.id)
				c.rec.note("answer to %s: %d, %d of %d bytes, complete %v, %v", q.id, got.status, len(got.body), len(whole), got.complete, got.err)
				switch {
				case got.status/100 == 2 && got.complete && !bytes.Equal(got.body, whole):
					broken.Add(1)
					c.say("MIXED: %s %s: %d with %s, Content-Length %s, looks complete with %d of %d bytes", name, q.id, got.status, got.signature,
						got.header.Get("Content-Length"), len(got.body), len(whole))
				case got.status/100 == 2 && got.complete:
					served.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(rand.N(20 * time.Millisecond))
			}
		})
	}
	for i := 0; time.Now().Before(stop.Add(-5 * time.Second)); i++ {
		time.Sleep(1200 * time.Millisecond)
		// The queues of new channels are full for a moment, so that the front's opening packets are
		// dropped and it asks other fronts to forward its channels.
		var filling sync.WaitGroup
		for _, r := range replicas {
			filling.Go(func() { r.listen.full(250 * time.Millisecond) })
		}
		filling.Wait()
		time.Sleep(500 * time.Millisecond)
		if c.trouble {
			f.kill(f.fronts[1+i%(len(f.fronts)-1)], time.Second)
		}
	}
	wg.Wait()
	c.say("%d served whole, %d failed, %d looked complete but were not whole", served.Load(), failed.Load(), broken.Load())
	if served.Load() == 0 {
		fatal(fmt.Errorf("the fleet did not serve"))
	}
	return broken.Load() > 0
}
