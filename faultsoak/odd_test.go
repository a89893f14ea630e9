package faultsoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

// usedWithin is the time from the first list that shows a server to its first request.
const usedWithin = 6 * time.Second

// oddSteps draws when the list contains odd entries, beside and before those of servers.
func oddSteps(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 85))
	var steps []step
	for at := warmUp + time.Duration(random.IntN(2000))*time.Millisecond; at < length; at += time.Duration(1000+random.IntN(6000)) * time.Millisecond {
		drawn, count, duration := random.Uint64(), 1+random.IntN(12), time.Duration(2000+random.IntN(8000))*time.Millisecond
		steps = append(steps, step{at, fmt.Sprintf("%d odd entries in the list for %v", count, duration), func(r *run) { r.listOddEntries(drawn, count, duration) }})
	}
	return steps
}

func (r *run) listOddEntries(drawn uint64, count int, duration time.Duration) {
	r.background(func() {
		r.fleet.setOdd(standin.OddEntries(rand.New(rand.NewPCG(drawn, 1)), r.fleet.list())[:count])
		r.sleep(duration)
		r.fleet.setOdd(nil)
	})
}

// setOdd replaces the odd entries of the list. If two overlap, the end of the first ends both.
func (f *fleet) setOdd(odd []json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.odd = odd
}

// writeList writes the list with the current odd entries. The order of servers changes with each
// read, so that any of them is beside an odd entry.
func (f *fleet) writeList(w http.ResponseWriter) {
	list := f.list()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	f.mu.Lock()
	odd := slices.Clone(f.odd)
	f.mu.Unlock()
	// A client that fails to read the list requests it again.
	_ = standin.WriteServerList(w, list, odd...)
}

// checkListFollowed checks that no process ended by itself, and that each server that the list has
// shown for a while got requests.
func (r *run) checkListFollowed() {
	for _, p := range r.fleet.processes() {
		ends := p.endsByItself()
		r.check(len(ends) == 0, "processes run", "%s ended by itself %d times: %q", p.name, len(ends), ends)
	}
	for _, b := range r.fleet.allServers() {
		if until := r.fleet.listedUntil(b); until.Sub(b.since) > usedWithin {
			r.check(len(b.Arrivals()) > 0, "listed servers are used", "%s was listed for %v and got no request", b.Identity, until.Sub(b.since))
		}
	}
}

// listedUntil returns until when the list showed the server as one that takes requests.
func (f *fleet) listedUntil(b *backend) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := time.Now()
	if since := f.drainingSince[b.Identity]; !since.IsZero() {
		until = since
	}
	for _, d := range f.drains {
		if d.server == b.Identity && d.from.Before(until) {
			until = d.from
		}
	}
	return until
}
