package faultsoak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	// revocation is the bound in the settings. slack is added to bounds for scheduling
	// delays on a busy machine.
	revocation = 5 * time.Second
	slack      = 3 * time.Second
	// drainBound is how long a draining server may get new requests.
	drainBound = 4 * time.Second
	// appliedWithin is the bound in the settings on how long an entry may lack a document.
	appliedWithin = 3 * time.Second
	// fillerRoutes is three times the number of routes that operators add at once.
	fillerRoutes = 4200
	// callTimeout is the timeout of a caller.
	callTimeout = 3 * time.Second
)

// run is one seeded run of the test.
type run struct {
	fleet   *fleet
	started time.Time
	checked atomic.Int64
	lastID  atomic.Int64
	stop    chan struct{}
	callers sync.WaitGroup
	faults  sync.WaitGroup
	// putMu serializes put.
	putMu sync.Mutex

	mu       sync.Mutex
	problems []string
	busy     map[*process]bool
	calls    map[string]*call
	stops    []gracefulStop
	document documentState
	// limited are the servers that currently advertise a limit, limits the periods that
	// have ended.
	limited map[*standin.Server]bool
	limits  []limitPeriod
	outages []*outage
	// calm are the periods without faults, runs what servers ran, by attempt id.
	calm []calmPeriod
	runs map[string][]serverRun
}

// stopTime is a graceful stop of an entry.
type gracefulStop struct {
	entry *process
	at    time.Time
}

// call is one request as its caller saw it.
type call struct {
	id, route, key string
	entry          *process
	sent, ended    time.Time
	status         int
	interrupted    bool
	// resumes is the call whose stream the caller resumes after the event number after.
	resumes *call
	after   int
	// unnamed is set if the caller does not name that call, received is the number of events
	// that a caller of streams has got.
	unnamed  bool
	received int
	// ofChain is set for calls that resume a stream that its caller broke off.
	ofChain bool
	// parts are the parts of its prompt, bad is true if one of them crashes servers.
	parts string
	bad   bool
	// routeKnownBy is when every entry must know the route.
	routeKnownBy time.Time
	// uri and body are what was sent, if not the usual.
	uri, body string
}

func (c *call) sentURI() string { return cmp.Or(c.uri, "/"+c.route+"/x") }

func (c *call) sentBody() string { return cmp.Or(c.body, "body of "+c.id) }

// documentState holds the document that the operator sent and what was acknowledged.
type documentState struct {
	version, acked uint64
	// added are the routes added by the versions, and fillerRoutes others that make documents
	// large enough for processes to soon discard their history of single revisions.
	added []string
	// newest is the route added by the last acknowledged version. It was acknowledged at
	// ackedAt.
	newest  string
	ackedAt time.Time
	// keys are valid. revoked holds the others with the time of the acknowledgement.
	keys    []string
	revoked map[string]time.Time
}

func newRun(f *fleet) *run {
	added := make([]string, fillerRoutes)
	source := rand.New(rand.NewPCG(1, fillerRoutes))
	for i := range added {
		added[i] = strconv.FormatUint(source.Uint64(), 36)
	}
	return &run{
		fleet: f, started: time.Now(), stop: make(chan struct{}), busy: make(map[*process]bool), limited: make(map[*standin.Server]bool), calls: make(map[string]*call),
		document: documentState{keys: []string{"key-0", "key-1", "key-2", "key-3"}, revoked: make(map[string]time.Time), added: added},
	}
}

func (r *run) violation(check, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, check+": "+fmt.Sprintf(format, args...))
}

// check counts a check of a guarantee and records a violation unless it holds.
func (r *run) check(holds bool, name, format string, args ...any) {
	r.checked.Add(1)
	if !holds {
		r.violation(name, format, args...)
	}
}

// acquire reserves a process for one fault. It returns false if it is already reserved.
func (r *run) acquire(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[p] {
		return false
	}
	r.busy[p] = true
	return true
}

func (r *run) release(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, p)
}

func (r *run) background(do func()) {
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
		r.violation("harness", "%s does not start: %v", p.name, err)
	}
}

func (r *run) recordStop(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, gracefulStop{p, time.Now()})
}

// text encodes the current document. The order of the teams is not deterministic, so it is
// called once for each version.
func (d *documentState) text() ([]byte, error) {
	teams := make(map[string][]string)
	for i, key := range d.keys {
		teams[fmt.Sprint("team-", i)] = []string{key}
	}
	return standin.Document(d.version, d.added, teams)
}

// change sends a new version of the document until it is acknowledged.
func (r *run) change() { r.background(func() { r.put(func(*documentState) {}) }) }

// revoke removes the last key from the document, unless it is the only one.
func (r *run) revoke() {
	r.background(func() {
		revoked := ""
		r.put(func(d *documentState) {
			if n := len(d.keys); n > 1 {
				revoked, d.keys = d.keys[n-1], d.keys[:n-1]
			}
		})
		if revoked != "" {
			r.mu.Lock()
			r.document.revoked[revoked] = time.Now()
			r.mu.Unlock()
		}
	})
}

// put sends a new version to the state processes in turn until one acknowledges it.
func (r *run) put(edit func(*documentState)) {
	r.putMu.Lock()
	defer r.putMu.Unlock()
	r.mu.Lock()
	edit(&r.document)
	r.document.version += 1 + uint64(rand.IntN(3))
	version, added := r.document.version, fmt.Sprint("v", r.document.version)
	r.document.added = append(r.document.added, added)
	text, err := r.document.text()
	r.mu.Unlock()
	if err != nil {
		r.violation("harness", "%v", err)
		return
	}
	client := &http.Client{Timeout: time.Second}
	for attempt := 0; ; attempt++ {
		select {
		case <-r.stop:
			return
		default:
		}
		p := r.fleet.states[attempt%len(r.fleet.states)]
		req, _ := http.NewRequest(http.MethodPut, "http://"+p.control+standin.ControlPath, bytes.NewReader(text))
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.mu.Lock()
				r.document.acked = max(r.document.acked, version)
				r.document.newest, r.document.ackedAt = added, time.Now()
				r.mu.Unlock()
				return
			}
			r.check(resp.StatusCode >= 500, "acknowledged", "version %d refused with %d", version, resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// readBack checks that a state process shows no document older than the one acknowledged
// before the request.
func (r *run) readBack(p *process) (version uint64, ok bool) {
	r.mu.Lock()
	acked := r.document.acked
	r.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.control + standin.ControlPath)
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
	r.check(document.Version >= acked, "older document", "%s shows version %d although %d was acknowledged", p.name, document.Version, acked)
	return document.Version, true
}

// sendRequests sends requests to one entry over keep-alive connections until the run ends.
func (r *run) sendRequests(entry *process, pause time.Duration) {
	defer r.callers.Done()
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}}
	routes := []string{"book", "look", "plan", "review"}
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(pause):
		}
		r.sendOne(client, entry, r.pickRoute(routes[rand.IntN(len(routes))]))
	}
}

// pickRoute returns the usual route or, once in newestRouteInterval, the newest one.
func (r *run) pickRoute(usual string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.document.newest == "" || rand.IntN(newestRouteInterval) != 0 {
		return usual
	}
	return r.document.newest
}

const newestRouteInterval = 8

func (r *run) sendOne(client *http.Client, entry *process, route string) {
	r.mu.Lock()
	key := r.document.keys[0]
	// Sometimes use a revoked key, with which no request may run.
	for revoked := range r.document.revoked {
		if rand.IntN(4) == 0 {
			key = revoked
		}
	}
	routeKnownBy := r.document.ackedAt.Add(appliedWithin + slack)
	r.mu.Unlock()
	c := &call{id: r.newID(), route: route, routeKnownBy: routeKnownBy, key: key, entry: entry}
	if route == "plan" || route == "review" {
		c.parts = soundParts()
	}
	events := r.send(client, c)
	if c.interrupted && c.route == "review" && events > 0 {
		// Callers resume at any entry, also at one that does not run.
		again := &call{id: r.newID(), route: route, routeKnownBy: routeKnownBy, key: key, entry: r.fleet.entries[rand.IntN(len(r.fleet.entries))], resumes: c, after: events, parts: c.parts}
		r.send(&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, again)
	}
}

func (r *run) newID() string { return fmt.Sprintf("id-%d", r.lastID.Add(1)) }

// send sends the call and returns the number of complete events received.
func (r *run) send(client *http.Client, c *call) (events int) {
	r.mu.Lock()
	c.sent = time.Now()
	r.calls[c.id] = c
	r.mu.Unlock()
	req, err := standin.NewRequest(c.entry.callers, c.route, c.id, c.key, c.route == "plan" || c.route == "review")
	if err != nil {
		r.violation("harness", "%v", err)
		return 0
	}
	if c.parts != "" {
		standin.SetParts(req, c.parts)
	}
	if c.resumes != nil {
		standin.Resume(req, c.resumes.id, c.after)
	}
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		events = strings.Count(string(body), "\n\n")
		if err == nil {
			r.checkAnswer(c, resp, string(body))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.status, c.interrupted, c.ended = status, err != nil, time.Now()
	return events
}

// checkAnswer checks that a successful response is complete and belongs to its request.
func (r *run) checkAnswer(c *call, resp *http.Response, body string) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	want := standin.ResponseBody(c.id)
	if c.route == "plan" || c.route == "review" {
		want = ""
		for number := c.after; number < streamEvents; number++ {
			want += standin.Event(number + 1)
		}
	}
	r.check(body == want && standin.Signed(resp.Header, c.id), "correct answer", "%s on %s got %q", c.id, c.route, body)
}

// waitForRecovery waits until nearly all requests are served again and all entries know each other.
func (r *run) waitForRecovery() {
	end := time.Now().Add(settleTime * 2)
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		if r.servingRecently() && r.fleet.joined() {
			return
		}
	}
	r.violation("recovery", "fewer than 9 in 10 requests are served %v after the last fault, or entries don't know each other (%v)", settleTime*2, r.fleet.joined())
}

func (r *run) servingRecently() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked, served := 0, 0
	for _, c := range r.calls {
		_, revoked := r.document.revoked[c.key]
		// Not every stream can be resumed; checkResumed checks how many are.
		if !revoked && !c.bad && !c.ofChain && !c.ended.IsZero() && time.Since(c.sent) < 2*time.Second {
			asked++
			if c.status == http.StatusOK && !c.interrupted {
				served++
			}
		}
	}
	return asked > 10 && served*10 >= asked*9
}

// removeData deletes the data folder of a state process.
func removeData(p *process) error {
	if p.data == "" {
		return nil
	}
	return os.RemoveAll(p.data)
}
