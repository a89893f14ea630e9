package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// platform is a stand-in for the platform's list of replicas. Entries are written as given.
type platform struct {
	mu      sync.Mutex
	entries []any
	listen  net.Listener
}

func startPlatform(ip string) *platform {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal(err)
	}
	p := &platform{listen: l}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/replicas" {
			http.NotFound(w, r)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"instances": p.entries, "next": nil})
	}))
	return p
}

func (p *platform) address() string { return p.listen.Addr().String() }

func (p *platform) set(entries []any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// queueLength is how many requests a replica keeps waiting beyond its slots.
const queueLength = 24

// replica is a stand-in for a replica, as PROTOCOL.md describes it.
type replica struct {
	id, service, zone string
	slots             int
	rec               *recordFile
	// answer writes the answer to a request that runs.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)

	listen *gateListener
	http   *http.Server
	// present counts the requests that run or wait; room has a place for each that runs.
	present atomic.Int64
	room    chan struct{}
	// lookups counts the lookups among those that run.
	lookups atomic.Int64

	mu   sync.Mutex
	runs []run
}

// run is one request that a replica ran.
type run struct {
	id, replica, uri, tenant string
	at                       time.Time
}

func (r *replica) address() string { return r.listen.Addr().String() }

func (r *replica) entry() map[string]any {
	return map[string]any{"identifier": r.id, "service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "coldRemainingMs": 0}
}

// startReplica starts a replica with the given room in its queue of new channels.
func startReplica(rec *recordFile, ip, id, service, zone string, slots, backlog int, answer func(http.ResponseWriter, *http.Request, []byte)) *replica {
	r := &replica{id: id, service: service, zone: zone, slots: slots, rec: rec, answer: answer, room: make(chan struct{}, slots)}
	r.listen = listenWithBacklog(ip, backlog)
	r.http = &http.Server{Handler: r}
	go r.http.Serve(r.listen)
	return r
}

// crash ends the replica with all its channels.
func (r *replica) crash() { r.http.Close() }

// restart starts it again at its address, under its identifier.
func (r *replica) restart() {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		fatal(err)
	}
	r.http = &http.Server{Handler: r}
	go r.http.Serve(l)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Replica-Id", r.id)
	h.Set("Replica-Load", fmt.Sprintf("%d,%d,%d", len(r.room), max(0, r.present.Load()-int64(r.slots)), r.slots))
	if expected := q.Header.Get("Expected-Replica"); expected != "" && expected != r.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		if q.Method == http.MethodGet && q.URL.Path == "/health" {
			return
		}
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if r.present.Add(1) > int64(r.slots+queueLength) {
		r.present.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.present.Add(-1)
	r.room <- struct{}{}
	defer func() { <-r.room }()
	r.mu.Lock()
	r.runs = append(r.runs, run{id, r.id, q.RequestURI, q.Header.Get("Tenant"), time.Now()})
	r.mu.Unlock()
	r.rec.note("replica %s runs %s", r.id, id)
	h.Set("Replica-Signature", signature(r.id, id))
	r.answer(w, q, body)
}

func signature(replica, attempt string) string { return "sig-" + replica + "-" + attempt }

func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// gateListener is a listener whose queue of new channels can be held full: while it is shut, the
// replica accepts no channel, and channels of other callers take all places of the queue.
type gateListener struct {
	net.Listener
	backlog int
	mu      sync.Mutex
	open    *sync.Cond
	shut    bool
}

func listenWithBacklog(ip string, backlog int) *gateListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		fatal(err)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		fatal(err)
	}
	addr := &syscall.SockaddrInet4{}
	copy(addr.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, addr); err != nil {
		fatal(err)
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	if err != nil {
		fatal(err)
	}
	file.Close()
	g := &gateListener{Listener: l, backlog: backlog}
	g.open = sync.NewCond(&g.mu)
	return g
}

func (g *gateListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		for g.shut {
			g.open.Wait()
		}
		g.mu.Unlock()
		conn, err := g.Listener.Accept()
		return conn, err
	}
}

// full keeps the queue of new channels full for the duration.
func (g *gateListener) full(d time.Duration) {
	g.mu.Lock()
	g.shut = true
	g.mu.Unlock()
	var held []net.Conn
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	// One is taken by the Accept call in progress.
	for range g.backlog + 3 {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", g.Addr().String())
		if err != nil {
			break
		}
		held = append(held, conn)
	}
	time.Sleep(d)
	g.mu.Lock()
	g.shut = false
	g.open.Broadcast()
	g.mu.Unlock()
	for _, conn := range held {
		conn.Close()
	}
}

// operator sends the configuration until it is acknowledged.
func putConfig(f *fleet, config map[string]any) {
	body, _ := json.Marshal(config)
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		n := f.cores[i%len(f.cores)]
		status, _ := send(client, http.MethodPut, "http://"+f.control(n)+"/configuration", body)
		if status == http.StatusOK {
			f.rec.note("config %v acknowledged by %s", config["version"], n.name)
			return
		}
		if i > 400 {
			fatal(fmt.Errorf("the config was not acknowledged; last status %d", status))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func send(client *http.Client, method, url string, body []byte) (int, []byte) {
	for range 3 {
		req, _ := http.NewRequest(method, url, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		c := *client
		c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		resp, err := c.Do(req)
		if err != nil {
			return 0, nil
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, data
		}
		url = resp.Header.Get("Location")
	}
	return 0, nil
}

// awaitReady waits until the fronts answer their readiness question with 200.
func (f *fleet) awaitReady(nodes ...*node) bool {
	client := &http.Client{Timeout: time.Second}
	for range 300 {
		ready := true
		for _, n := range nodes {
			status, _ := send(client, http.MethodGet, "http://"+f.ready(n)+"/readiness", nil)
			ready = ready && status == http.StatusOK
		}
		if ready {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// result is what a requester got for one attempt.
type result struct {
	id, replica string
	status      int
	signature   string
	body        []byte
	// complete is true if the answer looked complete to the requester.
	complete bool
	// unframed is true if the answer has neither a length nor chunks.
	unframed bool
	err      error
	at, end  time.Time
	header   http.Header
}

// request is one requester attempt.
type request struct {
	id, method, host, path, key string
	deadline                    time.Duration
	body                        []byte
	header                      map[string]string
}

var attempts atomic.Uint64

func newID() string {
	return strconv.FormatUint(uint64(time.Now().UnixNano())<<12|attempts.Add(1)&0xfff, 16)
}

// do sends the attempt to a front on a new channel.
func do(address string, q request) result {
	got := result{id: q.id, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, bytes.NewReader(q.body))
	req.Host = q.host
	req.Header.Set("Attempt-Id", q.id)
	req.Header.Set("Deadline-Ms", strconv.Itoa(int(q.deadline.Milliseconds())))
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		got.err, got.end = err, time.Now()
		return got
	}
	defer resp.Body.Close()
	got.status, got.signature, got.header = resp.StatusCode, resp.Header.Get("Replica-Signature"), resp.Header
	got.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	got.body, got.err = io.ReadAll(resp.Body)
	got.complete, got.end = got.err == nil, time.Now()
	return got
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	panic(couldNotRun{err})
}

type couldNotRun struct{ err error }

func ids(replicas []*replica) string {
	var names []string
	for _, r := range replicas {
		names = append(names, r.id)
	}
	return strings.Join(names, ", ")
}
