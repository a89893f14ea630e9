package serverpath

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/upstream"
)

// countingServer answers each request with its id and body, and counts the runs by id. Some
// answers end with their connection, some are reset before their end.
type countingServer struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
}

func newCountingServer(t *testing.T) *countingServer {
	s := &countingServer{runs: make(map[string]int)}
	s.Server = httptest.NewServer(http.HandlerFunc(s.answer))
	t.Cleanup(s.Close)
	return s
}

func (s *countingServer) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.RequestIDHeader)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	text := id + "\n" + string(body)
	kind := r.URL.Path
	if kind == "/plain" {
		w.Header().Set(upstream.RequestIDHeader, id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n", upstream.RequestIDHeader, id)
	if kind == "/reset" {
		text = text[:len(text)/2]
	}
	_, _ = buffered.WriteString(text)
	_ = buffered.Flush()
	if kind == "/reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (s *countingServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// seeds returns the first seed and the number of seeds, from FIRST_SEED and SEEDS.
func seeds(t *testing.T) (first, count uint64) {
	read := func(name string, otherwise uint64) uint64 {
		text := os.Getenv(name)
		if text == "" {
			return otherwise
		}
		value, err := strconv.ParseUint(text, 10, 64)
		is.New(t).NoErr(err)
		return value
	}
	return read("FIRST_SEED", 1), read("SEEDS", 3)
}

// Guards against requests that run twice, that run although they count as unsent, or whose
// answers are cut or mixed, while paths come and go, links break and instances drain.
func TestRandomPathFaultsKeepRequestsWhole(t *testing.T) {
	first, count := seeds(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runRandomFaults(t, seed) })
	}
}

const (
	randomInstances = 4
	randomFaults    = 60
	randomCallers   = 3
	maxRandomBody   = 40 << 10
)

func runRandomFaults(t *testing.T, seed uint64) {
	server := newCountingServer(t)
	address := strings.TrimPrefix(server.URL, "http://")
	instances := startInstances(t, randomInstances, address)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, one := range instances {
		one.silent = i%2 == 0
		client := upstream.NewClient()
		t.Cleanup(client.Close)
		client.SetDirect(one.direct)
		client.SetPath(one)
		for caller := range randomCallers {
			random := rand.New(rand.NewPCG(seed, uint64(10*i+caller)))
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						send(t, server, client, random, fmt.Sprintf("%d-%d-%d", i, caller, n))
					}
				}
			})
		}
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for range randomFaults {
		one := instances[random.IntN(randomInstances)]
		switch random.IntN(5) {
		case 0, 1:
			one.lost.Store(!one.lost.Load())
		case 2:
			one.breakLinks()
		case 3:
			one.leaving.Store(!one.leaving.Load())
		}
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	for _, one := range instances {
		one.leaving.Store(false)
		one.lost.Store(one != instances[0])
	}
	last := instances[randomInstances-1]
	waitFor(t, func() bool {
		conn, err := last.Dial(t.Context(), last.direct, "tcp", address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	server.CloseClientConnections()
	for _, one := range instances {
		waitFor(t, func() bool { return one.open.Load() == 0 })
	}
}

// send makes one request and checks its outcome.
func send(t *testing.T, server *countingServer, client *upstream.Client, random *rand.Rand, id string) {
	body := bytes.Repeat([]byte(id+" "), 1+random.IntN(maxRandomBody)/(len(id)+1))
	kind := []string{"/plain", "/plain", "/close", "/reset"}[random.IntN(4)]
	attempt := &upstream.Attempt{}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+kind, bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set(upstream.RequestIDHeader, id)
	resp, err := client.DoRecentConn(req, attempt)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	unsent := attempt.Abandon()
	switch runs := server.count(id); {
	case runs > 1:
		t.Errorf("request %s ran %d times", id, runs)
	case unsent && runs > 0:
		t.Errorf("request %s ran although it counts as unsent", id)
	case err == nil && string(got) != id+"\n"+string(body):
		t.Errorf("request %s (%s) got %d bytes as complete, want %d", id, kind, len(got), len(id)+1+len(body))
	case err == nil && kind == "/reset":
		t.Errorf("request %s got a reset answer as complete", id)
	}
}
