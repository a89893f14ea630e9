package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// retryShare, retryExtra and retryWindow are the bound on retries in the settings.
	retryShare  = 0.2
	retryExtra  = 12
	retryWindow = 4 * time.Second
)

// outageSteps draws when two thirds of a service's requests fail, and how.
func outageSteps(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 79))
	faults := []standin.Fault{standin.Overloaded, standin.InternalError, standin.ConnReset}
	var steps []step
	for _, service := range []string{"desk", "engines"} {
		at := warmUp + time.Duration(random.Int64N(int64(max(length-warmUp, 1))))
		fault, duration := faults[random.IntN(len(faults))], time.Duration(2+random.IntN(4))*time.Second
		steps = append(steps, step{at, fmt.Sprintf("%s fails with fault %d for %v", service, fault, duration), func(r *run) { r.failService(service, fault, duration) }})
	}
	return steps
}

func (r *run) failService(service string, fault standin.Fault, duration time.Duration) {
	set := func(next func(n int) standin.Fault) {
		for _, s := range r.fleet.allServers() {
			if strings.HasPrefix(s.Identity, service) {
				s.SetFaults(next)
			}
		}
	}
	r.background(func() {
		set(func(n int) standin.Fault {
			if n%3 != 0 {
				return fault
			}
			return standin.None
		})
		r.sleep(duration)
		set(nil)
	})
}

// checkRetries checks that all entries together keep to the bound on retries of each service. An
// entry that starts more than once in a window may make one more retry for each further start.
func (r *run) checkRetries() {
	for _, service := range []string{"desk", "engines"} {
		requests, retries := r.arrivalsOf(service)
		for _, from := range retries {
			made := countFrom(retries, from)
			most := max(countFrom(requests, from), countFrom(requests, from.Add(-retryWindow/2)), countFrom(requests, from.Add(-retryWindow)))
			allowed := retryShare*float64(most) + retryExtra + float64(r.furtherStarts(from))
			r.check(float64(made) <= allowed, "retries", "%s got %d retries in %v, %.1f allowed", service, made, retryWindow, allowed)
		}
	}
}

// arrivalsOf returns when callers sent requests for the service, and when its servers got requests
// that had reached one of them before. Requests that a service got while it had the address of
// another one do not occur, since servers keep their addresses.
func (r *run) arrivalsOf(service string) (requests, retries []time.Time) {
	arrived := make(map[string][]time.Time)
	for _, s := range r.fleet.allServers() {
		if !strings.HasPrefix(s.Identity, service) {
			continue
		}
		for _, a := range s.Arrivals() {
			if r.calls[a.AttemptID] != nil {
				arrived[a.AttemptID] = append(arrived[a.AttemptID], a.At)
			}
		}
	}
	for _, times := range arrived {
		slices.SortFunc(times, time.Time.Compare)
		retries = append(retries, times[1:]...)
	}
	for _, c := range r.calls {
		if engines := c.route == "plan" || c.route == "review"; engines == (service == "engines") {
			requests = append(requests, c.sent)
		}
	}
	return requests, retries
}

// furtherStarts counts the starts of entries in the window, without the first of each entry.
func (r *run) furtherStarts(from time.Time) (further int) {
	for _, entry := range r.fleet.entries {
		further += max(countFrom(entry.startTimes(), from)-1, 0)
	}
	return further
}

// countFrom counts the times in the window from the given one.
func countFrom(times []time.Time, from time.Time) (count int) {
	for _, at := range times {
		if !at.Before(from) && !at.After(from.Add(retryWindow)) {
			count++
		}
	}
	return count
}
