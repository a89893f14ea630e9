package state

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/connection/stateclient"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// sharedLog simulates the replicated log of a group: it applies each command to all
// machines at once.
type sharedLog struct {
	mu       sync.Mutex
	index    uint64
	machines []*Machine
	leader   string
}

func (g *sharedLog) apply(command []byte) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	var result []byte
	for _, machine := range g.machines {
		result = machine.Apply(g.index, command)
	}
	return result
}

// memberLog is one process's view of a sharedLog. before is called ahead of each command
// and may fail or block it. after is called once the command is applied; its error
// simulates a lost answer.
type memberLog struct {
	group   *sharedLog
	address string
	before  func(ctx context.Context) error
	after   func() error
}

// leader returns the leader's address and whether it is this process.
func (l *memberLog) leader() (address string, leads bool) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	return l.group.leader, l.group.leader == l.address
}

func (l *memberLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if leader, leads := l.leader(); !leads {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "ask the leader",
			fault.WithLeader(leader), fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
	}
	if l.before != nil {
		if err := l.before(ctx); err != nil {
			return nil, err
		}
	}
	result := l.group.apply(command)
	l.group.mu.Lock()
	after := l.after
	l.group.mu.Unlock()
	if after != nil {
		return result, after()
	}
	return result, nil
}

func (l *memberLog) setAfter(after func() error) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	l.after = after
}

func (l *memberLog) Barrier(ctx context.Context) error {
	if leader, leads := l.leader(); !leads {
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "ask the leader", fault.WithLeader(leader))
	}
	return nil
}

func (l *memberLog) Status() LogStatus {
	leader, leads := l.leader()
	return LogStatus{IsLeader: leads, Status: &lilacv1.StateStatus{Leader: leader, Process: l.address, Term: 1}}
}

// process is a state process that serves the real link protocol.
type process struct {
	peer    settings.Peer
	log     *memberLog
	service *Service
	server  *link.Server
}

// group starts n state processes with a sharedLog, the first of which leads.
func group(t testing.TB, n int) (*sharedLog, []*process) { return groupWithRetention(t, n, 0) }

// groupWithRetention is group with the given audit retention, in revisions.
func groupWithRetention(t testing.TB, n, retention int) (*sharedLog, []*process) {
	shared := &sharedLog{}
	var all []*process
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		address := listener.Addr().String()
		machine := NewMachine(retention, ledger.Limits{})
		shared.machines = append(shared.machines, machine)
		log := &memberLog{group: shared, address: address}
		service := NewService(machine, log, hclog.NewNullLogger())
		mux := link.NewMux()
		service.Register(mux)
		server := link.NewServer(link.Identity{Keys: secret.StaticKeys(testKey)}, mux)
		go server.Serve(listener)
		name := string(rune('a' + i))
		p := &process{peer: settings.Peer{Name: name, Address: settings.Address{Value: address}, DataCenter: "dc-" + name}, log: log, service: service, server: server}
		all = append(all, p)
		t.Cleanup(func() {
			service.Close()
			listener.Close()
			server.Close()
		})
	}
	shared.leader = all[0].peer.Address.Value
	return shared, all
}

var testKey = []byte("one key for all tests")

func newClient(t testing.TB, all []*process, name string) *stateclient.Client {
	return newClientWithRecoveries(t, all, name, nil)
}

// newClientWithRecoveries is newClient for an instance that knows the given number of
// recoveries.
func newClientWithRecoveries(t testing.TB, all []*process, name string, recoveries func() uint32) *stateclient.Client {
	dialed := dialer(t)
	var peers []settings.Peer
	for _, p := range all {
		peers = append(peers, p.peer)
	}
	return stateclient.New(stateclient.Options{Instance: name, DataCenter: "dc-b", Peers: peers, Dial: dialed, Recoveries: recoveries})
}

func dialer(t testing.TB) func(string) link.Caller {
	var mu sync.Mutex
	clients := make(map[string]*link.Client)
	return func(address string) link.Caller {
		mu.Lock()
		defer mu.Unlock()
		if clients[address] == nil {
			client := link.NewClient(address, link.Identity{Peer: link.Peer{Process: "entry"}, Keys: secret.StaticKeys(testKey)})
			clients[address] = client
			t.Cleanup(func() { client.Close() })
		}
		return clients[address]
	}
}

func proposal(id, name string, tier uint32) *lilacv1.Proposal {
	change := &lilacv1.Change{Op: &lilacv1.Change_SetClass{SetClass: &lilacv1.Class{Name: name, Tier: tier, FirstTokenMs: 420}}}
	return &lilacv1.Proposal{CommandId: id, Who: "awa", Statement: "SET CLASS " + name, Changes: []*lilacv1.Change{change}, ProposedUnixMs: time.Now().UnixMilli()}
}

// serveEntry serves the watcher's revisions to others. It returns the address, a function
// that simulates a crash and the traffic of the followers.
func serveEntry(t testing.TB, w *spreadlink.Watcher) (address string, kill func(), traffic *link.Traffic) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	mux := link.NewMux()
	served := spreadlink.NewServer(w, hclog.NewNullLogger())
	served.Register(mux, "entry")
	traffic = &link.Traffic{}
	server := link.NewServer(link.Identity{Keys: secret.StaticKeys(testKey), Traffic: traffic}, mux)
	go server.Serve(listener)
	kill = func() {
		served.Close()
		listener.Close()
		server.Close()
	}
	t.Cleanup(kill)
	return listener.Addr().String(), kill, traffic
}
