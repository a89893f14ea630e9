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

func init() { cases["listing"] = listing }

const drainTime = 4 * time.Second

// plainAnswer works for a while and sends its body whole.
func plainAnswer(work time.Duration) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, q *http.Request, _ []byte) {
		time.Sleep(work)
		body := wholeBody(q.Header.Get("Attempt-Id"))[:800]
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// listing drains a replica while another writer's entry, with fields missing, names it too.
func listing(c *setting) bool {
	p := startPlatform("127.0.0.1")
	var replicas []*replica
	var entries []any
	for i := range 9 {
		r := startReplica(c.rec, "127.0.0.1", fmt.Sprintf("i-desk%d", i), "desk", zones[i%3], 6, 100, plainAnswer(200*time.Millisecond))
		replicas = append(replicas, r)
		entries = append(entries, r.entry())
	}
	leaving := replicas[0]
	other := map[string]any{"identifier": leaving.id, "service": "desk", "address": leaving.address(), "zone": leaving.zone, "state": "ready"}
	list := func() []any {
		if c.trouble {
			return append(append([]any{}, entries...), other)
		}
		return entries
	}
	p.set(list())
	f := newFleet(c.root, c.dir, c.rec, p.address(), 3, 3)
	defer f.stopAll()
	f.startAll()
	putConfig(f, serviceConfig(1, map[string]string{"look": "idempotent", "book": "non_idempotent"}, 2000))
	if !f.awaitReady(f.fronts...) {
		fatal(fmt.Errorf("the fronts did not become ready"))
	}
	time.Sleep(2 * time.Second)
	stop := time.Now().Add(25 * time.Second)
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	for range 24 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				target := f.pick()
				q := request{id: newID(), method: http.MethodPost, host: "h.example", path: "/book/x", key: "key1", deadline: 1900 * time.Millisecond, body: []byte("booking")}
				c.rec.note("send %s book to %s", q.id, target.name)
				got := do(f.front(target), q)
				c.rec.note("answer to %s: %d, %d bytes, complete %v, %v", q.id, got.status, len(got.body), got.complete, got.err)
				if got.status == 200 && got.complete && bytes.Equal(got.body, wholeBody(q.id)[:800]) {
					served.Add(1)
				} else {
					failed.Add(1)
					c.say("not served: book %s to %s: %d, %v %s", q.id, target.name, got.status, got.err, bytes.TrimSpace(got.body))
				}
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	time.Sleep(5 * time.Second)
	draining := leaving.entry()
	draining["state"] = "draining"
	entries = append([]any{draining}, entries[1:]...)
	p.set(list())
	shown := time.Now()
	c.say("the list shows %s as draining", leaving.id)
	// It serves for drainMs and a little longer, and then ends.
	time.Sleep(drainTime + 5*time.Second)
	before := len(leaving.allRuns())
	c.say("%s ends", leaving.id)
	leaving.http.Close()
	entries = entries[1:]
	p.set(list())
	wg.Wait()
	late := 0
	for _, r := range leaving.allRuns()[:before] {
		if r.at.Sub(shown) > drainTime {
			late++
		}
	}
	c.say("%d served, %d not; %d requests reached %s later than %v after the list showed it as draining", served.Load(), failed.Load(), late, leaving.id, drainTime)
	if served.Load() == 0 {
		fatal(fmt.Errorf("the fleet did not serve"))
	}
	return late > 0
}
