package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// lastRelease is the time before the end of fault injection after which no release begins.
const lastRelease = 2 * time.Second

// beginsWithTwo reports whether the services of a run have two versions from its start.
func beginsWithTwo(seed uint64) bool { return rand.New(rand.NewPCG(seed, 84)).IntN(3) == 0 }

func firstVersions(seed uint64) func(place int) string {
	if beginsWithTwo(seed) {
		return twoVersions
	}
	return oneVersion
}

// releaseSteps draws the releases of each service: a new version, or sometimes an earlier one again,
// appears on one server, then on others. The servers that are replaced drain and leave.
func releaseSteps(seed uint64, length time.Duration, servers int) []step {
	random := rand.New(rand.NewPCG(seed, 82))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	var steps []step
	for first := range 2 {
		var places []int
		for place := first; place < servers; place += 2 {
			places = append(places, place)
		}
		latest := 1
		if beginsWithTwo(seed) {
			latest = 2
		}
		for at := warmUp + between(0, 3*time.Second); at < length-lastRelease; {
			version := 1 + random.IntN(latest)
			if random.IntN(3) > 0 {
				latest++
				version = latest
			}
			random.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
			count := len(places)
			if random.IntN(2) == 0 {
				count = (count + 1) / 2
			}
			rest := between(200*time.Millisecond, 2*time.Second)
			overlap := [...]time.Duration{0, between(0, 3*time.Second), between(4500*time.Millisecond, 6*time.Second)}[random.IntN(3)]
			leaving, closes := between(500*time.Millisecond, 3*time.Second), random.IntN(2) == 0
			for i, place := range places[:count] {
				when := at
				if i > 0 {
					when += rest
				}
				description := fmt.Sprintf("server %d is replaced by one of v%d: the old one drains after %v and leaves after %v more", place, version, overlap, leaving)
				steps = append(steps, step{when, description, func(r *run) { r.replaceServer(place, fmt.Sprint("v", version), overlap, leaving, closes) }})
			}
			at += rest + overlap + between(time.Second, 8*time.Second)
		}
	}
	return steps
}

// replaceServer replaces the server at a place by one of the version.
func (r *run) replaceServer(place int, version string, overlap, leaving time.Duration, closes bool) {
	r.background(func() {
		defer r.beginOutage(nil, released)()
		old, err := r.fleet.addServer(place, version)
		if err != nil {
			r.violation("harness", "%v", err)
			return
		}
		r.sleep(overlap)
		r.fleet.setDraining(old.Identity, true)
		r.sleep(leaving)
		r.fleet.removeServer(old)
		if closes {
			old.Close()
		}
	})
}

// outOfStepSteps draws when entries are cut off or stand still for long, and when all are killed.
func outOfStepSteps(seed uint64, length time.Duration, entries int) []step {
	random := rand.New(rand.NewPCG(seed, 83))
	var steps []step
	for at := warmUp + time.Duration(random.IntN(3000))*time.Millisecond; at < length; at += time.Duration(2000+random.IntN(6000)) * time.Millisecond {
		entry, long, short := random.IntN(entries), min(time.Duration(2000+random.IntN(6000))*time.Millisecond, length+settleTime/3-at), time.Duration(300+random.IntN(1500))*time.Millisecond
		switch random.IntN(4) {
		case 0:
			steps = append(steps, step{at, fmt.Sprintf("entry-%d cut off for %v", entry, long), func(r *run) { r.cutOff(r.fleet.entries[entry], long) }})
		case 1:
			steps = append(steps, step{at, fmt.Sprintf("entry-%d stands still for %v", entry, long), func(r *run) { r.standStill(r.fleet.entries[entry], long) }})
		case 2:
			steps = append(steps, step{at, fmt.Sprintf("all entries killed for %v", short), func(r *run) { r.killEntries(0, short) }})
		default:
			steps = append(steps, step{at, fmt.Sprintf("entries killed one by one for %v", short), func(r *run) { r.killEntries(short/2, short) }})
		}
	}
	return steps
}

// cutOff cuts an entry off from all other processes and from the list.
func (r *run) cutOff(p *process, duration time.Duration) {
	r.background(func() {
		defer r.beginOutage(p, cutOff)()
		r.fleet.setCut(p.host, true)
		r.sleep(duration)
		r.fleet.setCut(p.host, false)
	})
}

// standStill pauses an entry for longer than it may be out of date.
func (r *run) standStill(p *process, duration time.Duration) {
	if !r.acquire(p) {
		return
	}
	r.background(func() {
		defer r.release(p)
		defer r.beginOutage(p, cutOff)()
		p.signal(syscall.SIGSTOP)
		r.sleep(duration)
		p.signal(syscall.SIGCONT)
	})
}

// killEntries kills the entries, with a pause between two of them.
func (r *run) killEntries(pause, downFor time.Duration) {
	for i, entry := range r.fleet.entries {
		if i > 0 {
			time.Sleep(pause)
		}
		r.stopAndRestart(entry, syscall.SIGKILL, downFor)
	}
}

// outOfStep reports whether the entry was cut off or stood still for long between the times, or
// shortly before.
func (r *run) outOfStep(entry *process, from, to time.Time) bool {
	for _, o := range r.outages {
		if o.entry == entry && o.kind == cutOff && o.overlaps(from, to) {
			return true
		}
	}
	return false
}
