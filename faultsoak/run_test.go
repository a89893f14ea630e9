package faultsoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// revocation is the bound in the settings, slack what a busy machine may add.
	revocation = 5 * time.Second
	slack      = 3 * time.Second
	// drainBound is how long a leaving server may get new work.
	drainBound = 4 * time.Second
	// callTimeout is the longest time that a caller waits.
	callTimeout = 3 * time.Second
)

// run is one seeded run of the soak.
type run struct {
	fleet   *fleet
	begun   time.Time
	checked atomic.Int64
	serial  atomic.Int64
	stop    chan struct{}
	callers sync.WaitGroup
	faults  sync.WaitGroup

	mu       sync.Mutex
	problems []string
	held     map[*process]bool
	calls    map[string]*call
	stops    []stopTime
	document documentState
}

// stopTime is a graceful stop of an entry.
type stopTime struct {
	entry *process
	at    time.Time
}

// call is one request as its caller saw it.
type call struct {
	id, route, key string
	entry          *process
	sent, ended    time.Time
	status         int
	cut            bool
}

// documentState is what the operator sent and what was acknowledged.
type documentState struct {
	version, acked uint64
	// keys are in force, revoked holds when the acknowledgement came.
	keys    []string
	revoked map[string]time.Time
}

func newRun(f *fleet) *run {
	return &run{
		fleet: f, begun: time.Now(), stop: make(chan struct{}), held: make(map[*process]bool), calls: make(map[string]*call),
		document: documentState{keys: []string{"key-0", "key-1", "key-2", "key-3"}, revoked: make(map[string]time.Time)},
	}
}

func (r *run) broken(check, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, check+": "+fmt.Sprintf(format, args...))
}

// check counts a look at a promise.
func (r *run) check(holds bool, name, format string, args ...any) {
	r.checked.Add(1)
	if !holds {
		r.broken(name, format, args...)
	}
}

// busy takes a process for one fault at a time; false while another has it.
func (r *run) busy(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[p] {
		return false
	}
	r.held[p] = true
	return true
}

func (r *run) free(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, p)
}

func (r *run) later(do func()) {
	r.faults.Add(1)
	go func() {
		defer r.faults.Done()
		do()
	}()
}

func (r *run) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.stop:
	}
}

func (r *run) restart(p *process) {
	if err := p.start(r.fleet.folder); err != nil {
		r.broken("harness", "%s does not start: %v", p.name, err)
	}
}

func (r *run) stopping(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stopTime{p, time.Now()})
}

// text is the document of the moment.
func (d *documentState) text() []byte {
	type object = map[string]any
	route := func(name, kind, service string, resume bool) object {
		return object{"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 2500,
			"targetLatencyMs": 500, "eventGapMs": 500, "priority": 1, "service": service, "maxAttempts": 2, "streamResumption": resume}
	}
	var teams []object
	for i, key := range d.keys {
		teams = append(teams, object{"name": fmt.Sprint("team-", i), "apiKeys": []string{key}})
	}
	text, _ := json.Marshal(object{
		"version": d.version,
		"routes": []object{
			route("book", "non_idempotent", "desk", false), route("look", "idempotent", "desk", false),
			route("plan", "streaming", "engines", false), route("review", "streaming", "engines", true),
			route(fmt.Sprint("v", d.version), "idempotent", "desk", false),
		},
		"services": []object{{"name": "desk"}, {"name": "engines", "inferenceEngine": object{"slots": 64, "kvCapacityTokens": 100000, "stride": 3}}},
		"tenants":  teams,
	})
	return text
}

// change sends a new version of the document until it is acknowledged.
func (r *run) change() { r.later(func() { r.put(func(*documentState) {}) }) }

// revoke takes the last key but one away.
func (r *run) revoke() {
	r.later(func() {
		taken := ""
		r.put(func(d *documentState) {
			if n := len(d.keys); n > 1 {
				taken, d.keys = d.keys[n-1], d.keys[:n-1]
			}
		})
		if taken != "" {
			r.mu.Lock()
			r.document.revoked[taken] = time.Now()
			r.mu.Unlock()
		}
	})
}

var putting sync.Mutex

// put sends one version to the state processes in turn, as an operator does.
func (r *run) put(edit func(*documentState)) {
	putting.Lock()
	defer putting.Unlock()
	r.mu.Lock()
	edit(&r.document)
	r.document.version += 1 + uint64(rand.IntN(3))
	version, text := r.document.version, r.document.text()
	r.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	for attempt := 0; ; attempt++ {
		select {
		case <-r.stop:
			return
		default:
		}
		p := r.fleet.states[attempt%len(r.fleet.states)]
		req, _ := http.NewRequest(http.MethodPut, "http://"+p.control+"/configuration", bytes.NewReader(text))
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.mu.Lock()
				r.document.acked = max(r.document.acked, version)
				r.mu.Unlock()
				return
			}
			r.check(resp.StatusCode >= 500, "acknowledged", "version %d refused with %d", version, resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// readBack checks on any state process that no older document is shown than was
// acknowledged before the question.
func (r *run) readBack(p *process) (version uint64, ok bool) {
	r.mu.Lock()
	acked := r.document.acked
	r.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.control + "/configuration")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, false
	}
	var document struct {
		Version uint64 `json:"version"`
	}
	if json.NewDecoder(resp.Body).Decode(&document) != nil {
		return 0, false
	}
	r.check(document.Version >= acked, "older document", "%s shows version %d, %d was acknowledged", p.name, document.Version, acked)
	return document.Version, true
}

// callFrom sends requests to one entry over kept connections until the run ends.
func (r *run) callFrom(entry *process, pause time.Duration) {
	defer r.callers.Done()
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}}
	routes := []string{"book", "look", "plan", "review"}
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(pause):
		}
		r.one(client, entry, routes[rand.IntN(len(routes))])
	}
}

func (r *run) one(client *http.Client, entry *process, route string) {
	r.mu.Lock()
	key := r.document.keys[0]
	// Now and then a key that was taken away, to see that it runs nowhere.
	for taken := range r.document.revoked {
		if rand.IntN(4) == 0 {
			key = taken
		}
	}
	r.mu.Unlock()
	c := &call{id: fmt.Sprintf("id-%d", r.serial.Add(1)), route: route, key: key, entry: entry, sent: time.Now()}
	r.mu.Lock()
	r.calls[c.id] = c
	r.mu.Unlock()
	req, _ := http.NewRequest(http.MethodPost, "http://"+entry.callers+"/"+route+"/x", strings.NewReader("body of "+c.id))
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", "2000")
	if route == "plan" || route == "review" {
		req.Header.Set("Token-Counts", "100,24")
	}
	resp, err := client.Do(req)
	if err == nil {
		c.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			r.checkAnswer(c, resp, string(body))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.cut, c.ended = err != nil, time.Now()
}

// checkAnswer: each caller gets its own, whole answer.
func (r *run) checkAnswer(c *call, resp *http.Response, body string) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	want := standin.Answer(c.id)
	if c.route == "plan" || c.route == "review" {
		want = ""
		for number := range 8 {
			want += standin.Event(number + 1)
		}
	}
	r.check(body == want && resp.Header.Get("Replica-Signature") == "signed."+c.id, "own whole answer", "%s on %s got %q", c.id, c.route, body)
}

// judge checks what only the end of a run shows.
func (r *run) judge() {
	runs := make(map[string][]standin.Run)
	for _, s := range r.fleet.servers {
		for _, one := range s.Runs() {
			runs[one.AttemptID] = append(runs[one.AttemptID], one)
			r.judgeLeaving(s.Identity, one)
		}
	}
	for id, list := range runs {
		r.judgeRuns(r.calls[id], list)
	}
	for _, c := range r.calls {
		if c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
			mayRun := c.route == "look" || c.route == "review"
			r.check(mayRun || len(runs[c.id]) == 0, "not run is true", "%s on %s was answered %d and ran", c.id, c.route, c.status)
		}
		r.judgeStop(c, len(runs[c.id]) > 0)
	}
}

func (r *run) judgeRuns(c *call, list []standin.Run) {
	if c == nil {
		r.broken("own requests", "a server ran %s, which nobody sent", list[0].AttemptID)
		return
	}
	if c.route == "book" || c.route == "plan" {
		r.check(len(list) == 1, "at most once", "%s on %s ran %d times", c.id, c.route, len(list))
	}
	for _, one := range list {
		r.check(one.Body == "body of "+c.id && one.URI == "/"+c.route+"/x", "unchanged", "%s reached a server as %s %q", c.id, one.URI, one.Body)
		r.check(!one.KeySent && one.Team != "", "keys stay here", "%s reached a server with its key or without its team", c.id)
	}
	taken, revoked := r.document.revoked[c.key]
	r.check(!revoked || c.sent.Before(taken.Add(revocation+slack)), "taken keys", "%s ran %v after its key was taken away", c.id, c.sent.Sub(taken))
}

// judgeLeaving: a leaving server gets no new work once all must know that it leaves.
func (r *run) judgeLeaving(server string, one standin.Run) {
	for _, l := range r.fleet.left {
		if l.server == server {
			known := l.from.Add(drainBound + slack)
			r.check(one.Begun.Before(known) || one.Begun.After(l.to), "leaving servers",
				"%s began at %s %v after it began to leave", one.AttemptID, server, one.Begun.Sub(l.from))
		}
	}
}

// judgeStop: a graceful stop cuts off no request that a server had begun.
func (r *run) judgeStop(c *call, ran bool) {
	for _, stop := range r.stops {
		within := c.sent.Before(stop.at) && c.ended.After(stop.at) && c.ended.Before(stop.at.Add(4*time.Second))
		if c.entry == stop.entry && within && ran && c.status != 0 {
			r.check(!c.cut || r.hurt(c), "graceful stop", "%s was cut off while %s stopped", c.id, c.entry.name)
		}
	}
}

// hurt tells whether servers broke answers off themselves while the call ran.
func (r *run) hurt(c *call) bool {
	for _, s := range r.fleet.servers {
		if s.Spoiled(c.sent.Add(-callTimeout), c.ended) {
			return true
		}
	}
	return false
}

// recovered waits until nearly all requests are served again.
func (r *run) recovered() {
	end := time.Now().Add(settle * 2)
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		if r.servedLately() {
			return
		}
	}
	r.broken("recovery", "less than 9 in 10 requests are served %v after the last fault", settle*2)
}

func (r *run) servedLately() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked, served := 0, 0
	for _, c := range r.calls {
		_, revoked := r.document.revoked[c.key]
		if !revoked && !c.ended.IsZero() && time.Since(c.sent) < 2*time.Second {
			asked++
			if c.status == http.StatusOK && !c.cut {
				served++
			}
		}
	}
	return asked > 10 && served*10 >= asked*9
}

// removeData makes a state process begin with an empty folder.
func removeData(p *process) error {
	if p.data == "" {
		return nil
	}
	return os.RemoveAll(p.data)
}
