package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases["banned"] = banned }

// lookupOrBooking takes longer for a lookup than for a booking.
func lookupOrBooking(w http.ResponseWriter, q *http.Request, _ []byte) {
	work := 40 * time.Millisecond
	if q.Method == http.MethodGet {
		work = 400 * time.Millisecond
	}
	time.Sleep(work)
	body := wholeBody(q.Header.Get("Attempt-Id"))[:800]
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// banned crashes two of nine replicas at the same moment while a tenant asks for one page again and
// again. No request causes these crashes.
func banned(c *setting) bool {
	p := startPlatform("127.0.0.1")
	var replicas []*replica
	var entries []any
	for i := range 9 {
		r := startReplica(c.rec, "127.0.0.1", fmt.Sprintf("i-desk%d", i), "desk", zones[i%3], 6, 100, nil)
		r.answer = func(w http.ResponseWriter, q *http.Request, body []byte) {
			if q.Method == http.MethodGet {
				r.lookups.Add(1)
				defer r.lookups.Add(-1)
			}
			lookupOrBooking(w, q, body)
		}
		replicas = append(replicas, r)
		entries = append(entries, r.entry())
	}
	p.set(entries)
	f := newFleet(c.root, c.dir, c.rec, p.address(), 3, 4)
	defer f.stopAll()
	f.startAll()
	config := serviceConfig(1, map[string]string{"look": "idempotent", "book": "non_idempotent"}, 2000)
	config["tenants"] = []any{
		map[string]any{"name": "display", "apiKeys": []any{"key-display"}, "priority": 1},
		map[string]any{"name": "office", "apiKeys": []any{"key-office"}, "priority": 1},
	}
	putConfig(f, config)
	if !f.awaitReady(f.fronts...) {
		fatal(fmt.Errorf("the fronts did not become ready"))
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	stop := began.Add(90 * time.Second)
	type count struct{ sent, served int }
	counts := map[string]*count{"display": {}, "office": {}}
	late := map[string]*count{"display": {}, "office": {}}
	reasons := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func(tenant string, q request) {
		target := f.pick()
		c.rec.note("send %s %s %s of %s to %s", q.id, q.method, q.path, tenant, target.name)
		got := do(f.front(target), q)
		c.rec.note("answer to %s: %d, %d bytes, %v", q.id, got.status, len(got.body), got.err)
		mu.Lock()
		defer mu.Unlock()
		for _, n := range []map[string]*count{counts, late} {
			if got.at.Sub(began) < 60*time.Second && n["office"] == late["office"] {
				continue
			}
			n[tenant].sent++
			if got.status == 200 {
				n[tenant].served++
			}
		}
		if got.status != 200 {
			reasons[fmt.Sprintf("%s %d %.60s", tenant, got.status, got.body)]++
		}
	}
	for range 24 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				ask("display", request{id: newID(), method: http.MethodGet, host: "h.example", path: "/look/tides", key: "key-display", deadline: 1900 * time.Millisecond})
				time.Sleep(200*time.Millisecond + rand.N(200*time.Millisecond))
			}
		})
	}
	for range 24 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				ask("office", request{id: newID(), method: http.MethodPost, host: "h.example", path: "/book/x", key: "key-office", deadline: 1900 * time.Millisecond, body: []byte("booking " + newID())})
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	time.Sleep(10 * time.Second)
	if c.trouble {
		// Any two may crash; these are two that answer the tenant just then.
		slices.SortFunc(replicas, func(a, b *replica) int { return int(b.lookups.Load() - a.lookups.Load()) })
		down := replicas[:2]
		c.say("%.0f s: %s crash and are back after 2 s", time.Since(began).Seconds(), ids(down))
		for _, r := range down {
			r.crash()
		}
		time.Sleep(2 * time.Second)
		for _, r := range down {
			r.restart()
		}
	}
	wg.Wait()
	all := count{counts["display"].sent + counts["office"].sent, counts["display"].served + counts["office"].served}
	share := func(n *count) float64 { return float64(n.served) / float64(max(n.sent, 1)) }
	for _, tenant := range []string{"display", "office"} {
		c.say("%s: %d of %d served (%.3f); of those sent in the last 30 s, %d of %d", tenant, counts[tenant].served, counts[tenant].sent, share(counts[tenant]), late[tenant].served, late[tenant].sent)
	}
	for reason, n := range reasons {
		c.say("not served: %d times %s", n, reason)
	}
	c.say("all: %.3f; a quarter of that: %.3f", share(&all), share(&all)/4)
	if share(counts["office"]) < 0.5 {
		fatal(fmt.Errorf("the fleet did not serve"))
	}
	return share(counts["display"]) < share(&all)/4
}
