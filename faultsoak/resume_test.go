package faultsoak

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// streamEvents is the number of events of a stream.
	streamEvents = 8
	// streamCallers is the number of callers that break streams off, streamPause the pause between
	// two streams of a caller.
	streamCallers = 2
	streamPause   = 60 * time.Millisecond
	// streamPatience is the time within which a caller wants a stream, over all its tries.
	streamPatience = 20 * time.Second
	// calmTime is the time without faults at the end of a run.
	calmTime = 1000 * time.Millisecond
)

// stream is a stream that its caller breaks off and resumes.
type stream struct {
	first *call
	have  int
}

// streamClient opens a connection for each call.
var streamClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// beginStream begins a stream at the entry and breaks it off after so many events. It returns nil if
// no event came.
func (r *run) beginStream(entry *process, events int) *stream {
	c := &call{id: r.newID(), route: "review", key: "key-0", entry: entry, parts: soundParts()}
	r.sendStream(c, events)
	if c.received == 0 {
		return nil
	}
	return &stream{c, c.received}
}

// resumeStream goes on with the stream at the entry, and breaks it off after so many events more.
func (r *run) resumeStream(s *stream, entry *process, named bool, events int) *call {
	c := &call{id: r.newID(), route: "review", key: "key-0", entry: entry, parts: s.first.parts, resumes: s.first, after: s.have, unnamed: !named, ofChain: true}
	r.sendStream(c, events)
	return c
}

// sendStream sends the call, and breaks the answer off after so many events.
func (r *run) sendStream(c *call, events int) {
	r.mu.Lock()
	c.sent = time.Now()
	r.calls[c.id] = c
	r.mu.Unlock()
	req, err := standin.NewRequest(c.entry.callers, c.route, c.id, c.key, true)
	if err != nil {
		r.violation("harness", "%v", err)
		return
	}
	req.Header.Set("Deadline-Ms", strconv.FormatInt(streamPatience.Milliseconds(), 10))
	standin.SetParts(req, c.parts)
	if c.resumes != nil {
		standin.Resume(req, c.resumes.id, c.after)
	}
	if c.unnamed {
		req.Header.Del("Resumes")
	}
	status, text := 0, ""
	resp, err := streamClient.Do(req)
	if err == nil {
		status = resp.StatusCode
		text, err = readEvents(resp.Body, events)
		resp.Body.Close()
	}
	received := 0
	if status == http.StatusOK {
		received = strings.Count(text, "\n\n")
		want := ""
		for number := c.after; number < streamEvents; number++ {
			want += standin.Event(number + 1)
		}
		r.check(strings.HasPrefix(want, text) && (err != nil || received == min(events, streamEvents-c.after)), "correct answer", "%s on %s got %q after event %d", c.id, c.route, text, c.after)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.status, c.interrupted, c.ended, c.received = status, err != nil, time.Now(), received
}

// readEvents reads until there are so many events, or to the end.
func readEvents(body io.Reader, events int) (text string, err error) {
	buffer := make([]byte, 512)
	for {
		n, err := body.Read(buffer)
		text += string(buffer[:n])
		if strings.Count(text, "\n\n") >= events {
			// The caller has the rest of what was read, but counts whole events only up to here.
			parts := strings.SplitAfterN(text, "\n\n", events+1)
			return strings.Join(parts[:events], ""), nil
		}
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return text, err
		}
	}
}

// resumeStreams begins streams until the run ends. Each is broken off and resumed, several times in a
// row, at once or later, at any entry.
func (r *run) resumeStreams() {
	defer r.callers.Done()
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(streamPause):
		}
		r.callers.Add(1)
		go func() {
			defer r.callers.Done()
			r.followStream()
		}()
	}
}

func (r *run) followStream() {
	s := r.beginStream(r.anyEntry(), 1+rand.IntN(streamEvents-2))
	if s == nil {
		return
	}
	for range 1 + rand.IntN(4) {
		switch rand.IntN(4) {
		case 0:
			r.sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
		case 1:
			r.sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
		}
		select {
		case <-r.stop:
			return
		default:
		}
		if s.have >= streamEvents {
			return
		}
		s.have += r.resumeStream(s, r.anyEntry(), rand.IntN(4) > 0, 1+rand.IntN(streamEvents)).received
	}
}

func (r *run) anyEntry() *process { return r.fleet.entries[rand.IntN(len(r.fleet.entries))] }

// checkVersions checks that streams go on only at the software version that brought their first
// event, in one answer and over their callers' tries.
func (r *run) checkVersions(runs map[string][]serverRun) {
	for _, c := range r.calls {
		first := c
		if c.resumes != nil {
			first = c.resumes
		}
		began, ok := beginning(runs[first.id])
		for _, one := range runs[c.id] {
			if one.LastEvent != "" && ok {
				r.check(one.version == began.version, "one software version",
					"%s began at %s of %s by %s and went on as %s after event %s at %s of %s by %s, %v later (names the call: %v; under way: %s)",
					first.id, began.server, began.version, first.entry.name, c.id, one.LastEvent, one.server, one.version, c.entry.name,
					one.Started.Sub(began.Started), !c.unnamed, r.underWay(c))
			}
		}
	}
}

// beginning returns the run that brought the first event.
func beginning(runs []serverRun) (began serverRun, ok bool) {
	for _, one := range runs {
		if one.LastEvent == "" && (!ok || one.Started.After(began.Started)) {
			began, ok = one, true
		}
	}
	return began, ok
}

// calmPeriod is a time without faults.
type calmPeriod struct{ from, to time.Time }

func (r *run) startCalm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calm = append(r.calm, calmPeriod{from: time.Now()})
}

func (r *run) endCalm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := &r.calm[len(r.calm)-1]; last.to.IsZero() {
		last.to = time.Now()
	}
}

const calm = "calm"

// underWay names what was under way from the beginning of the stream to the end of the call.
func (r *run) underWay(c *call) string {
	for _, p := range r.calm {
		if c.resumes != nil && c.resumes.sent.After(p.from) && c.ended.Before(p.to) {
			return calm
		}
	}
	kinds := make(map[string]bool)
	for _, o := range r.outages {
		if c.resumes != nil && o.overlaps(c.resumes.sent, c.ended) {
			kinds[string(o.kind)] = true
		}
	}
	return cmp.Or(strings.Join(slices.Sorted(maps.Keys(kinds)), "+"), "other faults")
}

// tally counts resumed streams.
type tally struct{ resumed, wentOn, notRun int }

func (t tally) String() string {
	return fmt.Sprintf("%d resumed, %d went on, %d refused with 503 as not run", t.resumed, t.wentOn, t.notRun)
}

// wentOn reports whether the resumed stream went on until its end, or until its caller broke it off.
func (c *call) wentOn() bool { return c.status == http.StatusOK && !c.interrupted }

// count counts the resumed streams that the filter selects.
func (r *run) count(selected func(c *call) bool) (t tally) {
	for _, c := range r.calls {
		if !c.ofChain || c.ended.IsZero() || !selected(c) {
			continue
		}
		t.resumed++
		if c.wentOn() {
			t.wentOn++
		}
		if c.status == http.StatusServiceUnavailable && len(r.runs[c.id]) == 0 {
			t.notRun++
		}
	}
	return t
}

// checkResumed prints how many of the resumed streams went on, by what was under way, and checks that
// most go on while nothing is. Callers that don't name their call can only be served while there is
// one version.
func (r *run) checkResumed(t *testing.T) {
	kinds := make(map[string]bool)
	for _, c := range r.calls {
		if c.ofChain {
			kinds[r.underWay(c)] = true
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		for _, unnamed := range []bool{false, true} {
			if counted := r.count(func(c *call) bool { return c.unnamed == unnamed && r.underWay(c) == kind }); counted.resumed > 0 {
				t.Logf("streams, %s, named %v: %v", kind, !unnamed, counted)
			}
		}
	}
	for _, c := range r.calls {
		if c.ofChain && !c.unnamed && !c.wentOn() && r.underWay(c) == calm {
			t.Logf("streams, calm: %s resumed %s of %s at %s on %s, got %d", c.id, c.resumes.id, c.resumes.entry.name, c.sent.UTC().Format("15:04:05.000"), c.entry.name, c.status)
		}
	}
	many := r.fleet.versionsListed("engines") > 1
	quiet := r.count(func(c *call) bool { return r.underWay(c) == calm && !(c.unnamed && many) })
	r.checkMostGoOn("while the fleet is calm", quiet)
}

// checkMostGoOn checks that nine tenths of the streams went on.
func (r *run) checkMostGoOn(when string, t tally) {
	r.check(t.resumed > 0 && 10*t.wentOn >= 9*t.resumed, "resumed streams", "%s: %v", when, t)
}
