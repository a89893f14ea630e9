package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	coreMachines  = 3
	entryMachines = 3
	// firstCore and firstEntry are the last numbers of the machines' addresses, platformNumber that of
	// the platform's, firstInner those of processes behind proxies, firstReplica those of replicas.
	firstCore      = 11
	firstEntry     = 31
	firstInner     = 51
	firstReplica   = 71
	platformNumber = 200
)

var zones = [coreMachines]string{"zone-a", "zone-b", "zone-c"}

// machine is one machine of the deployment with its process.
type machine struct {
	name, zone, address string
	// inner is the address at which the process listens for others if a proxy listens at address; it
	// is empty otherwise.
	inner string
	core  bool
	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	folder string
	// network is the beginning of all addresses. Ports are the same on all machines.
	network                                      string
	linkPort, controlPort, callerPort, readyPort int
	platform                                     *platform
	cores, entries                               []*machine
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "lilacbridge-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
	for _, port := range []*int{&f.linkPort, &f.controlPort, &f.callerPort, &f.readyPort} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	if f.platform, err = startPlatform(f.network + fmt.Sprint(platformNumber) + ":0"); err != nil {
		return nil, err
	}
	for i := range coreMachines {
		f.cores = append(f.cores, f.machineAt(fmt.Sprintf("core-%s-1", zones[i]), zones[i], firstCore+i, true))
	}
	for i := range entryMachines {
		f.entries = append(f.entries, f.machineAt(fmt.Sprintf("frontend-%s-1", zones[i]), zones[i], firstEntry+i, false))
	}
	return f, nil
}

func (f *fleet) machineAt(name, zone string, number int, core bool) *machine {
	return &machine{name: name, zone: zone, address: f.network + fmt.Sprint(number), core: core}
}

// freePort returns a port below those that the kernel gives to outgoing connections.
func freePort() (int, error) {
	const lowest, ports, tries = 12000, 18000, 100
	var err error
	for range tries {
		port := lowest + rand.IntN(ports)
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return port, listener.Close()
		}
	}
	return 0, err
}

// fields returns the platform's settings of a process, with the values of the small deployments.
func (f *fleet) fields(m *machine, bootstrap bool) map[string]any {
	var seeds []string
	for _, core := range f.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", core.address, f.controlPort))
	}
	regions := make(map[string]any)
	for _, zone := range zones {
		regions[zone] = "region-of-" + zone
	}
	fields := map[string]any{
		"nodeName": m.name, "ipAddress": m.address, "zone": m.zone, "seedNodes": seeds, "bootstrap": bootstrap, "zones": regions,
		"internalPortRange": []int{f.linkPort, f.linkPort}, "dataDirectory": f.dataFolder(m),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"limits":    map[string]any{"memoryMb": 284, "fileDescriptors": 4096},
		"cloudApi":  map[string]any{"address": f.platform.address, "duties": []string{}},
		"bounds": map[string]any{
			"gracePeriodS": 8, "configApplyMs": 3000, "revocationStrict": true, "revocationMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56,
		},
		"listenAddresses": map[string]any{
			"controlPlane": fmt.Sprintf("%s:%d", m.address, f.controlPort),
			"frontend":     fmt.Sprintf("%s:%d", m.address, f.callerPort),
			"ready":        fmt.Sprintf("%s:%d", m.address, f.readyPort),
		},
	}
	return fields
}

func (f *fleet) dataFolder(m *machine) string { return filepath.Join(f.folder, "data-"+m.name) }

// start renders the settings of the machine's process and starts it with the command of the deploy
// file.
func (f *fleet) start(m *machine, bootstrap bool) error {
	program, template := "target/lilacbridge-entry", "deploy/entry.yaml.template"
	if m.core {
		program, template = "target/lilacbridge-state", "deploy/state.yaml.template"
		if err := os.MkdirAll(f.dataFolder(m), 0o755); err != nil {
			return err
		}
	}
	content, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	text, err := render(string(content), f.fields(m, bootstrap))
	if err != nil {
		return err
	}
	if m.inner != "" {
		outside := fmt.Sprintf("link: \"%s:%d\"\n", m.address, f.linkPort)
		behind := fmt.Sprintf("link: \"%s:%d\"\nadvertise: \"%s:%d\"\n", m.inner, f.linkPort, m.address, f.linkPort)
		if !strings.Contains(text, outside) {
			return errors.New("the rendered settings have no link address to replace")
		}
		text = strings.Replace(text, outside, behind, 1)
	}
	settings := filepath.Join(f.folder, m.name+".yaml")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(f.folder, m.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(program, "--settings", settings)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	m.cmd, m.ended = cmd, ended
	f.record.line("%s starts at %s, bootstrap %v", m.name, m.address, bootstrap)
	return nil
}

// proxyCores puts a proxy before the address at which other processes reach each core machine.
func (f *fleet) proxyCores() ([]*proxy, error) {
	var proxies []*proxy
	for i, m := range f.cores {
		m.inner = f.network + strconv.Itoa(firstInner+i)
		p, err := startProxy(fmt.Sprintf("%s:%d", m.address, f.linkPort), fmt.Sprintf("%s:%d", m.inner, f.linkPort))
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// kill ends the machine's process, if it runs, and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.ended
}

// loseDisk puts the machine's data folder aside. The process must not run.
func (f *fleet) loseDisk(m *machine) error {
	return os.Rename(f.dataFolder(m), f.dataFolder(m)+"-lost-"+strconv.FormatInt(time.Now().UnixNano(), 10))
}

// startAll starts all machines for the first time.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine(nil), f.cores...), f.entries...) {
		if err := f.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// checkRunning returns an error if a process has ended by itself.
func (f *fleet) checkRunning() error {
	for _, m := range append(append([]*machine(nil), f.cores...), f.entries...) {
		select {
		case <-m.ended:
			text, _ := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
			return errors.New(m.name + " has ended by itself: " + string(text[max(0, len(text)-1000):]))
		default:
		}
	}
	return nil
}

// stop ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine(nil), f.cores...), f.entries...) {
		m.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

func (f *fleet) since() time.Duration { return time.Since(f.record.began) }

// sleepUntil waits until the time since the start.
func (f *fleet) sleepUntil(at time.Duration) { time.Sleep(at - f.since()) }
