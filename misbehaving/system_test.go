package misbehaving

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/internal/loopback"
	"github.com/lilacbridge/lilacbridge/platform/standin"
)

const (
	key = "key-of-north"
	// callerKey derives the tokens of callers of chat completions.
	callerKey     = "key-of-the-callers-of-chat-completions"
	operatorToken = "token-of-the-operator-alice-in-tests"
	bytesPerMB    = 1_000_000
	pollInterval  = 20 * time.Millisecond
	// attempts bounds how often a caller sends an ordinary request that is refused with a
	// promise, or whose connection is closed unread, as the platform's callers do.
	attempts = 10
	// startTimeout bounds the time until the processes serve.
	startTimeout = 30 * time.Second
	// events is the number of events in a stream.
	events = 3
)

// limits are the limits in the settings of all processes of a system.
type limits struct {
	memoryMB    int64
	descriptors int
}

// programs is the folder of the programs, which TestMain builds without the race detector.
var programs string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "misbehaving")
	if err == nil {
		err = build(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func build(folder string) error {
	out, err := exec.Command("go", "build", "-o", folder+"/", "../cmd/lilacbridge-entry", "../cmd/lilacbridge-state").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// process is an instance of a real program.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	log     string

	mu sync.Mutex
	// descriptors is the highest number of open descriptors seen. Guarded by mu.
	descriptors int
}

// start runs the program with the settings and a limit of descriptors, which the kernel enforces.
func start(t *testing.T, folder, program, settings string, descriptors int) *process {
	is := is.New(t)
	file := filepath.Join(folder, program+".yaml")
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	p := &process{name: program, ended: make(chan struct{}), log: filepath.Join(folder, program+".log")}
	log, err := os.Create(p.log)
	is.NoErr(err)
	defer log.Close()
	p.command = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), filepath.Join(programs, program), "--settings", file)
	p.command.Stdout, p.command.Stderr, p.command.Dir = log, log, folder
	// The kernel kills the process if the test itself is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	is.NoErr(p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	go p.watchDescriptors()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

func (p *process) watchDescriptors() {
	for p.alive() {
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		p.mu.Lock()
		p.descriptors = max(p.descriptors, len(open))
		p.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) openDescriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.descriptors
}

// peakMB returns the highest resident memory of the process so far, in MB.
func (p *process) peakMB() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kib * 1024 / bytesPerMB, err
		}
	}
	return 0, fmt.Errorf("no VmHWM in the status of %s", p.name)
}

// system is one entry with its state process, two backend servers and the platform's list.
type system struct {
	limits limits
	// grace is the entry's, eventGap the time between two events of its backend servers.
	grace, eventGap time.Duration
	// timeout is that of all routes; 0 for that of the stand-in's document.
	timeout time.Duration
	// endless are servers of the service of engines; none for a sound one.
	endless      []standin.Endless
	entry, state *process
	// Addresses of the entry: the gateway's callers and readiness check, callers of the chat
	// completions API, operators, administration and other processes.
	callers, readiness, chat, operators, entryAdmin, entryLink string
	// Addresses of the state process.
	control, stateAdmin, stateLink string
}

// httpServers are the addresses of the HTTP servers of both processes.
var httpServers = map[string]func(s *system) string{
	"callers":                 func(s *system) string { return s.callers },
	"readiness":               func(s *system) string { return s.readiness },
	"chat completions":        func(s *system) string { return s.chat },
	"operators":               func(s *system) string { return s.operators },
	"administration of entry": func(s *system) string { return s.entryAdmin },
	"control":                 func(s *system) string { return s.control },
	"administration of state": func(s *system) string { return s.stateAdmin },
}

// links are the addresses for other processes.
var links = map[string]func(s *system) string{
	"links of entry": func(s *system) string { return s.entryLink },
	"links of state": func(s *system) string { return s.stateLink },
}

// assign sets each address to a loopback address that is free.
func assign(t *testing.T, addresses ...*string) {
	for _, address := range addresses {
		listener, err := loopback.Listen()
		is.New(t).NoErr(err)
		// Open until all are assigned, so that each gets another port.
		defer listener.Close()
		*address = listener.Addr().String()
	}
}

func newSystem(t *testing.T, l limits) *system {
	return newSystemWith(t, &system{limits: l, grace: usualGrace, eventGap: usualEventGap})
}

const (
	usualGrace    = 8 * time.Second
	usualEventGap = time.Millisecond
)

// newSystemWith starts the processes of a system whose first fields are set.
func newSystemWith(t *testing.T, s *system) *system {
	is := is.New(t)
	folder, l := t.TempDir(), s.limits
	assign(t, &s.callers, &s.readiness, &s.chat, &s.operators, &s.entryAdmin, &s.entryLink, &s.control, &s.stateAdmin, &s.stateLink)
	list := s.startServers(t)
	for name, content := range map[string]string{"callers": callerKey, "operators": "alice " + operatorToken + "\n"} {
		is.NoErr(os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600))
	}
	common := fmt.Sprintf("link_key: key-of-the-tests-of-clients\nlimits:\n  memory_mb: %d\n  file_descriptors: %d\n", l.memoryMB, l.descriptors)
	s.state = start(t, folder, "lilacbridge-state", common+fmt.Sprintf(
		"name: state-1\ndata_center: dc-0\nlink: %s\nadmin: %s\ncontrol: %s\nserver_list: %s\ndata: data\nbootstrap: true\nheartbeat: 50ms\nelection: 200ms\n",
		s.stateLink, s.stateAdmin, s.control, list), l.descriptors)
	s.entry = start(t, folder, "lilacbridge-entry", common+fmt.Sprintf(
		"name: entry-1\ndata_center: dc-0\nlink: %s\nadmin: %s\ncallers: %s\noperators: %s\ncaller_key_file: callers\noperator_tokens_file: operators\n"+
			"state:\n  - {name: state-1, address: %q, data_center: dc-0}\ngateway:\n  callers: %s\n  readiness: %s\n  server_list: %s\n  grace: %v\n",
		s.entryLink, s.entryAdmin, s.chat, s.operators, s.stateLink, s.callers, s.readiness, list, s.grace), l.descriptors)
	s.putDocument(t, 1, 0)
	s.await(t, func() bool { return status("http://"+s.readiness+standin.ReadinessPath) == http.StatusOK })
	s.await(t, func() bool { return s.ordinary() == nil })
	return s
}

// startServers starts the backend servers and the platform's list, and returns its address.
func (s *system) startServers(t *testing.T) string {
	is := is.New(t)
	var listed []standin.ListedServer
	services := []string{"desk", "engines"}
	if len(s.endless) > 0 {
		services = services[:1]
	}
	for n := range s.endless {
		server, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { server.Close() })
		go s.endless[n].Serve(server)
		listed = append(listed, standin.ListedServer{Identity: fmt.Sprint("engines-", n), Service: "engines", Address: server.Addr().String(), DataCenter: "dc-0", Slots: 8, Version: "v1"})
	}
	for _, service := range services {
		server := &standin.Server{Identity: service + "-1", Events: events, Gap: s.eventGap}
		is.NoErr(server.Start("127.0.0.1:0"))
		t.Cleanup(func() { server.Close() })
		listed = append(listed, standin.ListedServer{Identity: server.Identity, Service: service, Address: server.Address(), DataCenter: "dc-0", Slots: 8, Version: "v1"})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = standin.WriteServerList(w, listed) }))
	}()
	return listener.Addr().String()
}

// maxHeaderBytes is the limit in the document.
const maxHeaderBytes = 16384

// putDocument sends a version of the document, with some more routes, until it is accepted.
func (s *system) putDocument(t *testing.T, version uint64, routes int) {
	is := is.New(t)
	extra := make([]string, routes)
	for i := range extra {
		extra[i] = fmt.Sprint("route-", i)
	}
	text, err := standin.Document(version, extra, map[string][]string{"north": {key}})
	is.NoErr(err)
	var document map[string]any
	is.NoErr(json.Unmarshal(text, &document))
	document["limits"] = map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	if s.timeout > 0 {
		for _, route := range document["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = s.timeout.Milliseconds()
		}
	}
	text, err = json.Marshal(document)
	is.NoErr(err)
	s.await(t, func() bool {
		req, _ := http.NewRequest(http.MethodPut, "http://"+s.control+standin.ControlPath, bytes.NewReader(text))
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// client sends each request on a new connection.
var client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the status of a GET request, or 0 without an answer.
func status(url string) int {
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// await polls until the condition holds.
func (s *system) await(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			for _, p := range []*process{s.state, s.entry} {
				if p != nil {
					log, _ := os.ReadFile(p.log)
					t.Logf("%s: %s", p.name, log[max(0, len(log)-4096):])
				}
			}
			t.Fatal("the processes do not serve")
		}
	}
}

// ordinary sends an ordinary request, and returns an error unless it is answered in full.
func (s *system) ordinary() error {
	var last error
	for range attempts {
		var again bool
		if again, last = s.sendOrdinary(); last == nil || !again {
			return last
		}
	}
	return last
}

func (s *system) sendOrdinary() (again bool, err error) {
	id := strconv.FormatInt(time.Now().UnixNano(), 16)
	req, err := standin.NewRequest(s.callers, "look", id, key, false)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		time.Sleep(pollInterval)
		return true, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, err
	}
	if resp.StatusCode == http.StatusOK && standin.Signed(resp.Header, id) && string(body) == standin.ResponseBody(id) {
		return false, nil
	}
	err = fmt.Errorf("an ordinary request got %s: %s", resp.Status, body)
	wait, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if parseErr != nil {
		return false, err
	}
	time.Sleep(time.Duration(wait * float64(time.Second)))
	return true, err
}

// check fails the test unless both processes live within their limits.
func (s *system) check(t *testing.T) {
	t.Helper()
	for _, p := range []*process{s.entry, s.state} {
		if !p.alive() {
			log, _ := os.ReadFile(p.log)
			t.Fatalf("%s ended: %s", p.name, log[max(0, len(log)-4096):])
		}
		peak, err := p.peakMB()
		is.New(t).NoErr(err)
		t.Logf("%s: %d of %d MB, %d of %d descriptors", p.name, peak, s.limits.memoryMB, p.openDescriptors(), s.limits.descriptors)
		if peak > s.limits.memoryMB {
			t.Errorf("%s used %d MB of memory, its settings allow %d", p.name, peak, s.limits.memoryMB)
		}
		if p.openDescriptors() >= s.limits.descriptors {
			t.Errorf("%s had all of its %d descriptors open", p.name, s.limits.descriptors)
		}
	}
}

// withstand sends what the crowds send, and checks the system while they hold their connections
// open and once they have left.
func (s *system) withstand(t *testing.T, crowds ...crowd) {
	t.Helper()
	is := is.New(t)
	leave := make(chan struct{})
	var sent, left sync.WaitGroup
	for _, c := range crowds {
		for number := range c.connections {
			sent.Add(1)
			left.Go(func() {
				conn := c.send(number)
				sent.Done()
				if conn != nil {
					<-leave
					conn.Close()
				}
			})
		}
	}
	sent.Wait()
	whileHeld := s.ordinary()
	close(leave)
	left.Wait()
	s.check(t)
	is.NoErr(whileHeld)
	is.NoErr(s.ordinary())
	s.check(t)
}
