package faultsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// crashingPart is the id of a part of prompts that ends the engines.
	crashingPart = "bad"
	// engineDownFor is the time until an engine that ended is back.
	engineDownFor = 2 * time.Second
	// badCallsFor and badPause are how long requests with the part come, and the pause between them.
	badCallsFor, badPause = 14 * time.Second, 250 * time.Millisecond
	// partServers is the number of servers, half of them engines.
	partServers = 12
	// crashesUntilBlock is the number of crashes after which a part must be blocked at all entries
	// within partSettle; arrivalsAfterBlock requests with it may still reach servers.
	crashesUntilBlock  = 5
	partSettle         = 4 * time.Second
	arrivalsAfterBlock = 3
)

// soundParts returns the parts of a sound prompt: one of all requests, one of some subjects, and one
// of its own.
func soundParts() string {
	return fmt.Sprintf("c1:50,%x:30,%x:20", 0x100+rand.IntN(12), rand.Uint64())
}

// sendCrashing sends requests with the crashing part, of which no two are alike, to all entries.
func (r *run) sendCrashing() {
	for _, s := range r.fleet.allServers() {
		s.CrashOnPart(crashingPart, engineDownFor)
	}
	r.background(func() {
		for until := time.Now().Add(badCallsFor); time.Now().Before(until); r.sleep(badPause) {
			r.background(func() {
				c := &call{id: r.newID(), route: "review", key: "key-0", entry: r.fleet.entries[rand.IntN(len(r.fleet.entries))], bad: true}
				c.parts = fmt.Sprintf("c1:50,%x:20,%s:20,%x:10", 0x100+rand.IntN(12), crashingPart, rand.Uint64())
				r.send(&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, c)
			})
		}
	})
}

// checkCrashingPart checks that requests with the part stop reaching servers soon after the crash
// after which it must be blocked.
func (r *run) checkCrashingPart() {
	var crashes, arrivals []time.Time
	for _, s := range r.fleet.allServers() {
		crashes = append(crashes, s.Crashes()...)
		arrivals = append(arrivals, s.PartArrivals()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	r.check(len(crashes) >= 3, "crashing part", "only %d engines ended", len(crashes))
	if len(crashes) < crashesUntilBlock {
		return
	}
	late := countAfter(arrivals, crashes[crashesUntilBlock-1].Add(partSettle))
	r.check(late <= arrivalsAfterBlock, "crashing part", "%d requests with it reached servers %v after %d crashes; %d engines ended", late, partSettle, crashesUntilBlock, len(crashes))
}

func countAfter(times []time.Time, from time.Time) (count int) {
	for _, at := range times {
		if at.After(from) {
			count++
		}
	}
	return count
}

// Guards against real processes that send a crashing part to engine after engine while processes
// are killed and restarted.
func TestCrashingPartIsBlockedByRealProcesses(t *testing.T) {
	folder := t.TempDir()
	buildPrograms(t, folder)
	r := runSteps(t, folder, setup{servers: partServers, version: twoVersions}, []step{
		{8 * time.Second, "requests with a crashing part", (*run).sendCrashing},
		{9 * time.Second, "document change", (*run).change},
		{10 * time.Second, "state-0 killed", func(r *run) { r.stopAndRestart(r.fleet.states[0], syscall.SIGKILL, time.Second) }},
		{12 * time.Second, "entry-1 killed", func(r *run) { r.stopAndRestart(r.fleet.entries[1], syscall.SIGKILL, time.Second) }},
		{17 * time.Second, "entry-2 restarted", func(r *run) { r.stopAndRestart(r.fleet.entries[2], syscall.SIGTERM, time.Second) }},
	})
	r.checkCrashingPart()
	for _, problem := range r.problems {
		t.Error(problem)
	}
	crashes := 0
	for _, s := range r.fleet.allServers() {
		crashes += len(s.Crashes())
	}
	t.Logf("%d engines ended, %d checks", crashes, r.checked.Load())
	for _, entry := range r.fleet.entries {
		text, err := os.ReadFile(entry.log)
		if err != nil || !strings.Contains(string(text), "prompt part blocked") {
			t.Errorf("%s: no line of the blocked part (%v)", entry.name, err)
		}
	}
}
