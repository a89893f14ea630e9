package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

const (
	simStep = 10 * time.Millisecond
	// maxMessageDelay is the longest one-way message delay, as between distant regions.
	maxMessageDelay = 60 * time.Millisecond
)

// recoverySim simulates a recovered process a and old voters b and c that are restarted,
// over a network that delays messages and loses one in five.
type recoverySim struct {
	random   *rand.Rand
	now      time.Duration
	cores    map[string]*Core
	replaced map[string]bool
	// oldVoterLed is set once an old voter has become leader.
	oldVoterLed bool
	inFlight    []delivery
}

type delivery struct {
	at      time.Duration
	address string
	message *lilacv1.RaftMessage
}

func (r *recoverySim) step(address string, e Event) {
	actions := append([]Action(nil), r.cores[address].Step(r.now, e)...)
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			if r.random.IntN(5) > 0 {
				delay := time.Duration(r.random.Int64N(int64(maxMessageDelay)))
				r.inFlight = append(r.inFlight, delivery{r.now + delay, a.Address, a.Message})
			}
		case Replaced:
			r.replaced[address] = true
		case RoleChanged:
			r.oldVoterLed = r.oldVoterLed || a.Role == Leader && address != "a"
		case Persist:
			synced := Synced{HardTerm: a.Hard.GetTerm()}
			if n := len(a.Entries); n > 0 {
				synced.Index, synced.Term = a.Entries[n-1].GetIndex(), a.Entries[n-1].GetTerm()
			}
			r.step(address, synced)
		}
	}
}

func (r *recoverySim) deliver() {
	queued := r.inFlight
	r.inFlight = nil
	for _, d := range queued {
		if d.at > r.now {
			r.inFlight = append(r.inFlight, d)
			continue
		}
		if r.cores[d.address] != nil && !r.replaced[d.address] {
			r.step(d.address, Received{Message: d.message})
		}
	}
}

func (r *recoverySim) run(until time.Duration) {
	for ; r.now < until; r.now += simStep {
		r.deliver()
		for _, address := range []string{"a", "b", "c"} {
			if r.cores[address] != nil && !r.replaced[address] {
				r.step(address, Tick{})
			}
		}
	}
}

func threeVoterConfig(name string, seed uint64) Config {
	config := Config{Name: name, Address: name, Heartbeat: testHeartbeat, Election: testElection, Seed: seed}
	for _, peer := range []string{"a", "b", "c"} {
		if peer != name {
			config.Peers = append(config.Peers, Peer{Name: peer, Address: peer})
		}
	}
	return config
}

// Two of three voters are presumed lost, the third is recovered, and then both are
// restarted with their old disks: a quorum of the old group. Messages are delayed and
// lost. Neither old voter may ever lead, and both must stop.
func TestReturningQuorumNeverLeads(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		members := testMembers("a2")
		if seed%2 == 0 {
			// The recovery keeps the lost voters as learners, so that their names stay taken.
			members = testMembers("a2", "b", "c")
			members.Members[1].Voter, members.Members[2].Voter = false, false
		}
		r := &recoverySim{random: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{}, replaced: map[string]bool{}}
		r.cores["a"] = NewCore(threeVoterConfig("a", seed), Restored{
			Hard:     &lilacv1.RaftHardState{Id: "a2", Group: "h", Term: 2, Former: []string{"g"}},
			Snapshot: &lilacv1.RaftSnapshotMeta{Index: 9, Term: 2, Members: members},
		}, 0)
		r.run(3 * testElection)
		is.Equal(r.cores["a"].role, Leader)
		for _, name := range []string{"b", "c"} {
			r.cores[name] = NewCore(threeVoterConfig(name, seed+uint64(name[0])<<32), Restored{
				Hard:     &lilacv1.RaftHardState{Id: name, Group: "g", Term: 1},
				Snapshot: &lilacv1.RaftSnapshotMeta{Index: 8, Term: 1, Members: testMembers("a", "b", "c")},
			}, r.now)
			// The second voter starts up to two election timeouts later.
			r.run(r.now + time.Duration(r.random.Int64N(int64(2*testElection))))
		}
		r.run(r.now + 10*testElection)
		if r.oldVoterLed || !r.replaced["b"] || !r.replaced["c"] {
			t.Fatalf("seed %d: an old voter became leader: %t; voters that stopped: %v", seed, r.oldVoterLed, r.replaced)
		}
		is.Equal(r.cores["a"].role, Leader)
	}
}
