package faultsoak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// scenarioStreams is the number of streams of one part of a test.
	scenarioStreams = 30
	// beginTimeout bounds the wait until streams begin at a version that has just appeared.
	beginTimeout = 12 * time.Second
	// listFollowed is the time after which all processes have followed a change of the list.
	listFollowed = 2500 * time.Millisecond
	// resumeAgain is for how long callers try again, and resumePause the pause between two tries.
	resumeAgain = 3 * time.Second
	resumePause = 250 * time.Millisecond
)

// beginStreams begins streams at the entries in turn, and breaks them off.
func (r *run) beginStreams(count int, entries ...*process) []*stream {
	streams := make([]*stream, count)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() { streams[i] = r.beginStream(entries[i%len(entries)], 1+i%3) })
	}
	callers.Wait()
	var begun []*stream
	for _, s := range streams {
		if s != nil {
			begun = append(begun, s)
		}
	}
	return begun
}

// beginStreamsAt begins streams at the entry until enough have begun at the version.
func (r *run) beginStreamsAt(version string, entry *process) (begun []*stream) {
	for end := time.Now().Add(beginTimeout); time.Now().Before(end) && len(begun) < scenarioStreams; time.Sleep(100 * time.Millisecond) {
		for _, s := range r.beginStreams(6, entry) {
			if r.fleet.versionThatRan(s.first.id) == version {
				begun = append(begun, s)
			}
		}
	}
	r.check(len(begun) >= scenarioStreams, "new version", "only %d streams began at %s", len(begun), version)
	return begun
}

// versionThatRan returns the version of the server that ran the attempt.
func (f *fleet) versionThatRan(attempt string) string {
	for _, b := range f.allServers() {
		for _, one := range b.Runs() {
			if one.AttemptID == attempt {
				return b.version
			}
		}
	}
	return ""
}

// resumeAll resumes the streams to their ends, each at one of the entries that didn't begin it if there
// is one. Every second caller names the call that it resumes, or all do.
func (r *run) resumeAll(streams []*stream, allNamed bool, entries ...*process) []*call {
	calls := make([]*call, len(streams))
	var callers sync.WaitGroup
	for i, s := range streams {
		first := rand.IntN(len(entries))
		if entries[first] == s.first.entry {
			first = (first + 1) % len(entries)
		}
		callers.Go(func() { calls[i] = r.resumeStream(s, entries[first], allNamed || i%2 == 0, streamEvents) })
	}
	callers.Wait()
	return calls
}

// keepResuming resumes the streams again and again.
func (r *run) keepResuming(streams []*stream, entries ...*process) {
	for end := time.Now().Add(resumeAgain); time.Now().Before(end); time.Sleep(resumePause) {
		r.resumeAll(streams, false, entries...)
	}
}

func (r *run) waitUntilServing() {
	for end := time.Now().Add(settleTime); time.Now().Before(end) && !r.servingRecently(); {
		time.Sleep(50 * time.Millisecond)
	}
}

// checkShare checks that most of the calls went on.
func (r *run) checkShare(t *testing.T, when string, calls []*call) {
	counted := make(map[*call]bool)
	for _, c := range calls {
		counted[c] = true
	}
	share := r.count(func(c *call) bool { return counted[c] })
	t.Logf("%s: %v", when, share)
	r.checkMostGoOn(when, share)
}

// Guards against streams that go on at another version after all entries were killed, at the only
// version that is still listed, and against a fleet that then resumes no stream at all.
func TestKilledEntriesDoNotResumeAtTheVersionThatIsLeft(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	buildPrograms(t, folder)
	var before, afterKill []*call
	var lost []*stream
	r := runSteps(t, folder, setup{servers: *servers, version: oneVersion}, []step{
		{time.Second, "streams of the only version are resumed", func(r *run) {
			before = r.resumeAll(r.beginStreams(scenarioStreams, r.fleet.entries...), false, r.fleet.entries...)
		}},
		{1500 * time.Millisecond, "all entries killed, with one version", func(r *run) {
			streams := r.beginStreams(scenarioStreams, r.fleet.entries...)
			r.killEntries(0, 300*time.Millisecond)
			r.faults.Wait()
			r.waitUntilServing()
			afterKill = r.resumeAll(streams, false, r.fleet.entries...)
		}},
		{2 * time.Second, "another version takes the place of v1, all entries killed", func(r *run) {
			lost = r.beginStreams(scenarioStreams, r.fleet.entries...)
			for place := 1; place < *servers; place += 2 {
				r.replaceServer(place, "v2", 500*time.Millisecond, 500*time.Millisecond, true)
			}
			r.faults.Wait()
			time.Sleep(listFollowed)
			r.killEntries(0, 300*time.Millisecond)
			r.faults.Wait()
			r.keepResuming(lost, r.fleet.entries...)
		}},
	})
	r.checkShare(t, "streams of the only version", before)
	r.checkShare(t, "streams of the only version after all entries were killed", afterKill)
	r.check(len(lost) == scenarioStreams, "streams", "only %d began", len(lost))
	for _, problem := range r.problems {
		t.Error(problem)
	}
}

// Guards against an entry that was cut off or stood still while a version joined, and that resumes
// the streams of this version at the one it knows.
func TestEntryOutOfStepDoesNotResumeAtTheOldVersion(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	buildPrograms(t, folder)
	var calmCalls, afterwards []*call
	r := runSteps(t, folder, setup{servers: *servers, version: oneVersion}, []step{
		{time.Second, "streams of the only version are resumed", func(r *run) {
			calmCalls = r.resumeAll(r.beginStreams(scenarioStreams, r.fleet.entries...), false, r.fleet.entries...)
		}},
		{1500 * time.Millisecond, "entry-0 cut off, entry-1 stands still, v2 joins v1", func(r *run) {
			cut, still, sound := r.fleet.entries[0], r.fleet.entries[1], r.fleet.entries[2]
			cutEnded, stillEnded := r.beginOutage(cut, cutOff), r.beginOutage(still, cutOff)
			r.fleet.setCut(cut.host, true)
			still.signal(syscall.SIGSTOP)
			for place := 1; place < *servers; place += 2 {
				if _, err := r.fleet.addServer(place, "v2"); err != nil {
					r.violation("harness", "%v", err)
				}
			}
			streams := r.beginStreamsAt("v2", sound)
			r.resumeAll(streams, false, cut)
			var waiting sync.WaitGroup
			waiting.Go(func() { r.resumeAll(streams, false, still) })
			time.Sleep(300 * time.Millisecond)
			still.signal(syscall.SIGCONT)
			r.fleet.setCut(cut.host, false)
			stillEnded()
			cutEnded()
			r.keepResuming(streams, cut, still)
			waiting.Wait()
		}},
		{2 * time.Second, "streams of two versions are resumed", func(r *run) {
			r.waitUntilServing()
			afterwards = r.resumeAll(r.beginStreams(scenarioStreams, r.fleet.entries...), true, r.fleet.entries...)
		}},
	})
	r.checkShare(t, "streams of the only version", calmCalls)
	r.checkShare(t, "streams of two versions", afterwards)
	for _, problem := range r.problems {
		t.Error(problem)
	}
}
