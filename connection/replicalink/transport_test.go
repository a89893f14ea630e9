package replicalink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/internal/loopback"
	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/replica"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// recorder is a state machine that records all commands in order.
type recorder struct {
	mu       sync.Mutex
	commands []string
}

func (j *recorder) Apply(_ uint64, command []byte) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, string(command))
	return fmt.Appendf(nil, "%d", len(j.commands))
}

func (j *recorder) Capture() func() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := []byte{1}
	for _, command := range j.commands {
		b = append(append(b, command...), 0)
	}
	return func() ([]byte, error) { return b, nil }
}

func (j *recorder) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = nil
	start := 1
	for i := 1; i < len(data); i++ {
		if data[i] == 0 {
			j.commands = append(j.commands, string(data[start:i]))
			start = i + 1
		}
	}
	return nil
}

// all returns the commands in order. A command that was proposed more than once, as after a
// change of leader, is listed once; a proposal that was applied twice is listed twice.
func (j *recorder) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var commands []string
	applied := map[string]bool{}
	for _, attempt := range j.commands {
		command, _, _ := strings.Cut(attempt, "#")
		if applied[attempt] || !slices.Contains(commands, command) {
			commands = append(commands, command)
		}
		applied[attempt] = true
	}
	return commands
}

const (
	testHeartbeat = 30 * time.Millisecond
	testElection  = 200 * time.Millisecond
)

// election is the election timeout: short in tests, the settings' default in benchmarks.
func (f *fleet) election() time.Duration {
	if _, ok := f.t.(*testing.B); ok {
		return time.Second
	}
	return testElection
}

// snapshotEvery is small in tests, so that snapshots are taken; 0 is the default, used in
// benchmarks.
func (f *fleet) snapshotEvery() uint64 {
	if _, ok := f.t.(*testing.B); ok {
		return 0
	}
	return 100
}

// process is a state process without its daemon.
type process struct {
	name     string
	listener net.Listener
	server   *link.Server
	out      *Transport
	node     *replica.Node
	machine  *recorder
}

type fleet struct {
	t     testing.TB
	is    *is.I
	bytes atomic.Int64
	batch int
	// disks are by the process's name; a test replaces the one that a process loses.
	disks     map[string]wal.Folder
	addresses map[string]string
	running   map[string]*process
}

var key = []byte("the key that all share")

func newFleet(t testing.TB, names ...string) *fleet {
	return newFleetWithBatch(t, 0, names...)
}

// newFleetWithBatch starts processes that let up to batch proposals share a sync; 0 is the
// default.
func newFleetWithBatch(t testing.TB, batch int, names ...string) *fleet {
	f := &fleet{t: t, is: is.New(t), batch: batch, disks: map[string]wal.Folder{}, addresses: map[string]string{}, running: map[string]*process{}}
	for _, name := range names {
		listener, err := loopback.Listen()
		f.is.NoErr(err)
		f.addresses[name] = listener.Addr().String()
		f.is.NoErr(listener.Close())
		f.disks[name] = memdisk.NewFolder(t)
	}
	for _, name := range names {
		f.start(name, true)
	}
	t.Cleanup(func() {
		for name := range f.running {
			f.stop(name)
		}
	})
	return f
}

func (f *fleet) start(name string, bootstrap bool) *process {
	listener, err := net.Listen("tcp", f.addresses[name])
	f.is.NoErr(err)
	identity := link.Identity{Peer: link.Peer{Process: name}, Keys: secret.StaticKeys(key)}
	p := &process{name: name, listener: listener, machine: &recorder{}}
	p.out = New(func(address string) link.Caller { return link.NewClient(address, identity) }, f.election())
	var peers []replica.Peer
	for other, address := range f.addresses {
		if other != name {
			peers = append(peers, replica.Peer{Name: other, Address: address})
		}
	}
	p.node, err = replica.Open(replica.Options{Name: name, Address: f.addresses[name], Peers: peers, Bootstrap: bootstrap,
		Heartbeat: testHeartbeat, Election: f.election(), Folder: f.disks[name], Machine: p.machine, Transport: p.out, SnapshotEvery: f.snapshotEvery(), MaxBatch: f.batch})
	f.is.NoErr(err)
	mux := link.NewMux()
	Handle(mux, p.node)
	p.server = link.NewServer(identity, mux)
	go p.server.Serve(countingListener{listener, &f.bytes})
	f.running[name] = p
	return p
}

func (f *fleet) stop(name string) {
	p := f.running[name]
	delete(f.running, name)
	f.is.NoErr(p.node.Close())
	f.is.NoErr(p.listener.Close())
	f.is.NoErr(p.server.Close())
	f.is.NoErr(p.out.Close())
}

// propose proposes the command to the current leader until it is accepted.
func (f *fleet) propose(command string) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		for _, p := range f.running {
			if p.node.Status().Role != replica.Leader {
				continue
			}
			if _, err := p.node.Propose(ctx, fmt.Appendf(nil, "%s#%d %s", command, attempt, p.name)); err == nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("%s was not accepted", command)
}

func (f *fleet) waitUntil(what string, holds func() bool) {
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			for name, p := range f.running {
				f.t.Logf("%s: %+v", name, p.node.Status())
			}
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Three empty processes with the bootstrap setting form one group, and all of them apply
// the accepted commands in the same order.
func TestProcessesApplySameCommands(t *testing.T) {
	f := newFleet(t, "state-a", "state-b", "state-c")
	var want []string
	for i := range 250 {
		want = append(want, fmt.Sprint("change ", i))
		f.propose(want[i])
	}
	for _, p := range f.running {
		f.waitUntil("all commands on "+p.name, func() bool { return len(p.machine.all()) >= len(want) })
		f.is.Equal(p.machine.all(), want)
	}
}

// A process that loses its disk comes back empty and still has the bootstrap setting. It
// must join the existing group as a new member and become a voter again, rather than
// bootstrap a group of its own.
func TestLostDiskRejoinsWithNewIdentity(t *testing.T) {
	f := newFleet(t, "state-a", "state-b", "state-c")
	f.propose("before")
	f.waitUntil("members", func() bool { return len(f.running["state-b"].node.Status().Voters()) == 3 })
	lost := f.running["state-b"].node.Status()
	f.stop("state-b")
	for i := range 300 {
		f.propose(fmt.Sprint("while away ", i))
	}
	f.disks["state-b"] = memdisk.NewFolder(t)
	back := f.start("state-b", true)
	f.waitUntil("repair", func() bool {
		s := back.node.Status()
		return len(s.Voters()) == 3 && len(s.Learners()) == 0 && s.Group == lost.Group && s.ID != lost.ID && isVoter(s)
	})
	f.stop("state-c")
	f.propose("with the repaired one only")
	f.waitUntil("all commands", func() bool { return len(back.machine.all()) == 302 })
}

// isVoter reports whether the process's current identity is a voter. Its name alone may
// still refer to the lost identity.
func isVoter(s replica.Status) bool {
	for _, member := range s.Members {
		if member.GetId() == s.ID {
			return member.GetVoter()
		}
	}
	return false
}

// All processes stop at the same time after many commands; each must restore all commands
// from its own files.
func TestRestartOfAllKeepsCommands(t *testing.T) {
	f := newFleet(t, "state-a", "state-b", "state-c")
	for i := range 150 {
		f.propose(fmt.Sprint("change ", i))
	}
	names := []string{"state-a", "state-b", "state-c"}
	for _, name := range names {
		f.stop(name)
	}
	for _, name := range names {
		f.start(name, true)
	}
	f.propose("after")
	for _, p := range f.running {
		f.waitUntil("all commands on "+p.name, func() bool { return len(p.machine.all()) == 151 })
	}
}

// Without a quorum, the remaining process must refuse proposals with an error that states
// that nothing was executed.
func TestProposalWithoutQuorumIsRefused(t *testing.T) {
	f := newFleet(t, "state-a", "state-b", "state-c")
	f.propose("before")
	f.stop("state-a")
	f.stop("state-b")
	left := f.running["state-c"].node
	// The last messages of the others may make it follow one of them, or lead for a moment.
	f.waitUntil("no leader", func() bool {
		s := left.Status()
		return s.Role != replica.Leader && s.Leader == "" && s.Staleness > 5*testElection
	})
	_, err := left.Propose(t.Context(), []byte("alone"))
	f.is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM))
	f.is.Equal(fault.NotRunOf(err), lilacv1.NotRun_NOT_RUN_TRUE)
	f.is.True(fault.Is(left.Barrier(t.Context()), lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM))
}

// failingCaller is a caller whose first calls fail, as if its process were still starting.
type failingCaller struct {
	link.Caller
	failures atomic.Int64
	calls    atomic.Int64
}

func (f *failingCaller) Call(context.Context, string, proto.Message, proto.Message) error {
	f.calls.Add(1)
	if f.failures.Add(-1) >= 0 {
		return errors.New("connection refused")
	}
	return nil
}

// The first vote request of an election waited for its connection, and the answer for a
// connection back: 0.3 s between regions. Connections must be opened in advance, also to a
// process that starts slightly later.
func TestConnectDialsBeforeFirstMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := &failingCaller{}
		caller.failures.Store(3)
		transport := New(func(string) link.Caller { return caller }, testElection)
		defer transport.Close()
		transport.Connect([]string{"a:1"})
		time.Sleep(connectTimeout)
		synctest.Wait()
		is.Equal(caller.calls.Load(), int64(4)) // no further calls once connected
	})
}

// silentCaller is a caller whose connection is silent until it is renewed.
type silentCaller struct {
	link.Caller
	renewed  chan struct{}
	answered atomic.Int64
}

func (s *silentCaller) Renew(time.Duration) { close(s.renewed) }

func (s *silentCaller) Call(ctx context.Context, _ string, _, _ proto.Message) error {
	select {
	case <-s.renewed:
		s.answered.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a group that has no leader for seconds because its open connections went silent.
func TestSilentConnectionIsRenewedBeforeAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := &silentCaller{renewed: make(chan struct{})}
		transport := New(func(string) link.Caller { return caller }, testElection)
		defer transport.Close()
		transport.Send("a:1", []*lilacv1.RaftMessage{{}})
		time.Sleep(testElection - testHeartbeat)
		synctest.Wait()
		is.Equal(caller.answered.Load(), int64(1))
	})
}
