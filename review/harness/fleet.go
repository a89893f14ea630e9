package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type recordFile struct {
	mu      sync.Mutex
	file    *bufio.Writer
	started time.Time
}

func openRecord(path string) (*recordFile, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recordFile{file: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *recordFile) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *recordFile) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Flush()
}

// node is a machine of the deployment with one process of the project.
type node struct {
	name, zone, ip, role string
	words                []string
	settings             string
	log                  string
	env                  []string
	cmd                  *exec.Cmd
	done                 chan struct{}
	// up is false while a case has ended the process.
	up atomic.Bool
}

// fleet is a small deployment: processes of the project with the deploy file's commands and
// templates, on loopback addresses.
type fleet struct {
	root, dir     string
	block         int
	portLink      int
	portFront     int
	portReady     int
	portControl   int
	platform      string
	cores, fronts []*node
	rec           *recordFile
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// freePort returns a port that is free on all of the addresses.
func freePort(ips []string) int {
	for range 100 {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		open, free := []net.Listener{first}, true
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			l.Close()
		}
		if free {
			return port
		}
	}
	fatal(fmt.Errorf("no free port"))
	return 0
}

// freeBlock returns the second byte of loopback addresses on which the port for metrics, which the
// templates name, is free.
func freeBlock() int {
	for range 100 {
		block := 10 + rand.N(240)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:9464", block))
		if err == nil {
			l.Close()
			return block
		}
	}
	fatal(fmt.Errorf("no free addresses"))
	return 0
}

// role is what the deploy file says of one role.
type deployRole struct{ run, template string }

func readDeploy(root string) map[string]deployRole {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		fatal(err)
	}
	roles := map[string]deployRole{}
	name := ""
	header := regexp.MustCompile(`^\[roles\.(\w+)\]`)
	line := regexp.MustCompile(`^(\w+) = "(.*)"`)
	for _, text := range strings.Split(string(data), "\n") {
		if m := header.FindStringSubmatch(text); m != nil {
			name = m[1]
		}
		m := line.FindStringSubmatch(text)
		if m == nil || name == "" {
			continue
		}
		r := roles[name]
		switch m[1] {
		case "run":
			r.run = m[2]
		case "template":
			r.template = m[2]
		}
		roles[name] = r
	}
	return roles
}

// newFleet prepares cores and fronts machines. Nothing runs yet.
func newFleet(root, dir string, rec *recordFile, platform string, cores, fronts int) *fleet {
	f := &fleet{root: root, dir: dir, rec: rec, platform: platform, block: freeBlock()}
	ports := map[int]bool{}
	var ips []string
	for i := range max(cores, fronts) {
		ips = append(ips, fmt.Sprintf("127.%d.1.%d", f.block, i+1), fmt.Sprintf("127.%d.2.%d", f.block, i+1))
	}
	pick := func() int {
		for {
			p := freePort(ips)
			if !ports[p] && !ports[p+1] && !ports[p-1] {
				ports[p] = true
				return p
			}
		}
	}
	f.portLink, f.portFront, f.portReady, f.portControl = pick(), pick(), pick(), pick()
	for i := range cores {
		f.cores = append(f.cores, &node{name: fmt.Sprintf("core-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprintf("127.%d.1.%d", f.block, i+1), role: "state"})
	}
	for i := range fronts {
		f.fronts = append(f.fronts, &node{name: fmt.Sprintf("frontend-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprintf("127.%d.2.%d", f.block, i+1), role: "entry"})
	}
	roles := readDeploy(root)
	var seeds []any
	for i := range min(cores, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.cores[i].ip, f.portControl))
	}
	for _, n := range append(append([]*node{}, f.cores...), f.fronts...) {
		n.settings = filepath.Join(dir, n.name+".yaml")
		n.log = filepath.Join(dir, n.name+".log")
		fields := f.fields(n, seeds)
		text, err := os.ReadFile(filepath.Join(root, roles[n.role].template))
		if err != nil {
			fatal(err)
		}
		if err := os.WriteFile(n.settings, []byte(render(string(text), fields)), 0o600); err != nil {
			fatal(err)
		}
		n.words = strings.Fields(strings.ReplaceAll(roles[n.role].run, "/etc/lilacbridge/boot.toml", n.settings))
	}
	return f
}

// fields are the platform's fields of a machine, with the figures of a small deployment.
func (f *fleet) fields(n *node, seeds []any) map[string]any {
	class, listen := "frontend", map[string]any{"frontend": fmt.Sprintf("%s:%d", n.ip, f.portFront), "ready": fmt.Sprintf("%s:%d", n.ip, f.portReady)}
	memory, disk := 284, 0
	fields := map[string]any{}
	if n.role == "state" {
		class, listen = "core", map[string]any{"controlPlane": fmt.Sprintf("%s:%d", n.ip, f.portControl)}
		memory, disk = 280, 128
		data := filepath.Join(f.dir, n.name+"-data")
		os.MkdirAll(data, 0o700)
		fields["dataDirectory"] = data
	}
	for key, value := range map[string]any{
		"nodeName": n.name, "role": n.role, "machineClass": class, "ipAddress": n.ip, "zone": n.zone, "region": "region-" + n.zone,
		"internalPortRange": []any{f.portLink, f.portLink}, "seedNodes": seeds, "bootstrap": true, "lossCounts": n.role == "state",
		"contracts":       []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"zones":           map[string]any{"zone-a": "region-zone-a", "zone-b": "region-zone-b", "zone-c": "region-zone-c"},
		"listenAddresses": listen,
		"limits":          map[string]any{"cpuFraction": 0.4, "cpuCores": 1, "memoryMb": memory, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": disk},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "settleWindowMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 4000, "gracePeriodS": 8,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerBoundMs": 6000, "revocationStrict": true, "revocationMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56, "recoveryS": 12, "deliveryDelayMs": 400, "reuseWindowS": 10,
		},
		"cloudApi": map[string]any{"address": f.platform, "ratePerS": 44.0, "duties": []any{}, "maxLagMs": 800},
	} {
		fields[key] = value
	}
	return fields
}

// start starts the node's process.
func (f *fleet) start(n *node) {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.root, n.words[0]), n.words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LILACBRIDGE_CONFIG=" + n.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal(err)
	}
	n.cmd, n.done = cmd, make(chan struct{})
	n.up.Store(true)
	done := n.done
	go func() { _ = cmd.Wait(); close(done) }()
	f.rec.note("start %s (pid %d)", n.name, cmd.Process.Pid)
}

func (f *fleet) startAll() {
	for _, n := range append(append([]*node{}, f.cores...), f.fronts...) {
		f.start(n)
	}
}

func (f *fleet) signal(n *node, s syscall.Signal) {
	f.rec.note("signal %s to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the node's process at once, and starts it again after the pause.
func (f *fleet) kill(n *node, pause time.Duration) {
	n.up.Store(false)
	f.signal(n, syscall.SIGKILL)
	<-n.done
	time.Sleep(pause)
	f.start(n)
}

// pick returns a front that runs.
func (f *fleet) pick() *node {
	for {
		if n := f.fronts[rand.N(len(f.fronts))]; n.up.Load() {
			return n
		}
	}
}

// stopAll ends all processes that were started, by their ids.
func (f *fleet) stopAll() {
	for _, n := range append(append([]*node{}, f.cores...), f.fronts...) {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
}

func (f *fleet) front(n *node) string   { return fmt.Sprintf("%s:%d", n.ip, f.portFront) }
func (f *fleet) ready(n *node) string   { return fmt.Sprintf("%s:%d", n.ip, f.portReady) }
func (f *fleet) control(n *node) string { return fmt.Sprintf("%s:%d", n.ip, f.portControl) }
