package state

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

func (c *cluster) options(name string, entries ...string) RecoverOptions {
	return RecoverOptions{
		Folder: c.disks[name], Limits: ledger.Limits{}, KeyMargin: time.Hour, Entries: entries, Dial: dialer(c.t),
		Who: "awa", Confirm: true, Random: func() uint64 { return c.random.Add(1) }, Now: time.Now,
	}
}

// majority returns the names of the leader and another voter, and that of the third voter.
func (c *cluster) majority() (two []string, third string) {
	var leader string
	waitUntil(func() bool {
		for name, m := range c.running {
			if m.running.Status().IsLeader {
				leader = name
			}
		}
		return leader != ""
	})
	for _, peer := range c.peers {
		if peer.Name != leader && third == "" {
			third = peer.Name
			continue
		}
		two = append(two, peer.Name)
	}
	return two, third
}

func encodeCommand(is *is.I, c *lilacv1.Command) []byte {
	data, err := proto.Marshal(c)
	is.NoErr(err)
	return data
}

func timedKey(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

// Two of three data centres lose their disks permanently. Just before, only these two accepted
// an operator's change, a claim and a lease; of these, only an entry still holds the change.
// After the third one's folder is recovered, the change must not be lost, no key run twice and
// no fencing number be reused. Lost voters that return with their old disks must be refused,
// although they form a quorum of the old group.
func TestRecoveryFromALostMajority(t *testing.T) {
	c := newCluster(t, 3)
	is := c.is
	client := newClient(t, c.processes(), "entry-1")
	_, err := client.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	entries := startWatchers(t, c.processes(), 1)
	waitForRevision(entries[0], 1)
	entryAddress, _, _ := serveEntry(t, entries[0].Watcher)
	// The entry caches the configuration that it sends here, as it does when another entry
	// starts.
	early, err := spreadlink.FetchConfig(t.Context(), dialer(t)(entryAddress))
	is.NoErr(err)
	is.Equal(early.GetRevision(), uint64(1))
	lost, survivor := c.majority()
	waitUntil(func() bool { return c.running[survivor].service.machine.Revision() == 1 })
	c.stop(survivor)
	_, err = client.Propose(t.Context(), proposal("two", "dossiers", 0))
	is.NoErr(err)
	made := time.Now()
	for _, key := range []string{"plain", timedKey(made, 1)} {
		reply, err := client.Claim(t.Context(), claimOf(key))
		is.NoErr(err)
		is.True(reply.GetGranted())
	}
	leased, err := client.Lease(t.Context(), &lilacv1.LeaseRequest{Name: "orders", DurationMs: 1000})
	is.NoErr(err)
	is.True(leased.GetGranted())
	waitForRevision(entries[0], 2)

	// A recovery is refused while the other voters are running.
	_, err = Recover(t.Context(), c.options(survivor, entryAddress))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
	oldDisks := maps.Clone(c.disks)
	for _, name := range lost {
		c.stop(name)
		c.disks[name] = memdisk.NewFolder(t)
	}
	dry := c.options(survivor, entryAddress)
	dry.Confirm = false
	plan, err := Recover(t.Context(), dry)
	is.NoErr(err)
	is.True(!plan.Done && plan.Adopted && plan.Revision == 1 && plan.EntryRevision == 2)
	done, err := Recover(t.Context(), c.options(survivor, entryAddress))
	is.NoErr(err)
	is.True(done.Done)
	is.Equal(done.Group, plan.Group) // The dry run changed nothing.
	_, err = Recover(t.Context(), c.options(survivor, entryAddress))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))

	is.NoErr(c.start(survivor))
	reply, err := client.Propose(t.Context(), proposal("three", "berths", 0))
	is.NoErr(err)
	is.Equal(reply.GetRevision(), done.NewRevision+1)
	is.Equal(len(waitForRevision(entries[0], reply.GetRevision()).Classes), 3)
	again, err := client.Propose(t.Context(), proposal("two", "dossiers", 0))
	is.NoErr(err)
	is.True(again.GetRepeatedCommand())
	for _, key := range []string{"plain", timedKey(made, 1)} {
		reply, err := newClient(t, c.processes(), "entry-2").Claim(t.Context(), claimOf(key))
		is.NoErr(err)
		is.True(!reply.GetGranted() && reply.GetInDoubt())
	}
	leased, err = client.Lease(t.Context(), &lilacv1.LeaseRequest{Name: "orders", DurationMs: 1000})
	is.NoErr(err)
	is.True(!leased.GetGranted() && leased.GetFencing() > 1000)

	for _, name := range lost {
		is.NoErr(c.start(name))
	}
	waitUntil(func() bool { return len(c.running[survivor].service.Status().GetVoters()) == 3 })
	status := c.running[lost[0]].service.Status()
	waitUntil(func() bool {
		status = c.running[lost[0]].service.Status()
		return status.GetGroup() == done.NewGroup
	})
	is.Equal(status.GetRecoveries(), uint32(1))

	// Both lost voters return with their old disks and form a quorum of the old group.
	for _, name := range lost {
		c.stop(name)
		c.disks[name] = oldDisks[name]
	}
	for _, name := range lost {
		is.NoErr(c.start(name))
	}
	for _, name := range lost {
		err = <-c.running[name].done
		is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
		c.stop(name)
		is.True(fault.Is(c.start(name), lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
	}
}

// Both lost voters return with their old disks, unreachable from the recovered group, and
// continue the old group. An entry that knows the recovered group reaches both. The old group
// must refuse its claims, lease requests and changes.
func TestEntryThatKnowsTheRecoveredGroupRefusesTheOldOne(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	client := newClient(t, all, "entry-1")
	_, err := client.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	var known uint32
	client = newClientWithRecoveries(t, all, "entry-1", func() uint32 { return known })
	reply, err := client.Claim(t.Context(), claimOf("before"))
	is.NoErr(err)
	is.True(reply.GetGranted())
	known = 1
	_, err = client.Claim(t.Context(), claimOf("after"))
	is.True(err != nil)
	is.Equal(fault.NotRunOf(err), notRunTrue)
	_, err = client.Lease(t.Context(), &lilacv1.LeaseRequest{Name: "orders", DurationMs: 1000})
	is.True(err != nil)
	_, err = client.Propose(t.Context(), proposal("two", "dossiers", 0))
	is.True(err != nil)
}

// The survivor was a leader that lost its quorum and wrote a change that was never accepted.
// The others then used the same revision number for another change. If both the survivor's
// folder and an entry hold that number, the entry's content must be used.
func TestEntryConfigOverridesUncommittedRevisions(t *testing.T) {
	is := is.New(t)
	accepted, own := NewMachine(0, ledger.Limits{}), NewMachine(0, ledger.Limits{})
	apply := func(m *Machine, index uint64, id, class string) []byte {
		command := encodeCommand(is, &lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal(id, class, 0)}})
		m.Apply(index, command)
		return command
	}
	first := apply(accepted, 2, "one", "alerts")
	apply(accepted, 3, "two", "dossiers")
	state := &wal.State{Hard: &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 2}, Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1}}
	for i, command := range [][]byte{first, apply(NewMachine(0, ledger.Limits{}), 3, "two'", "never")} {
		state.Entries = append(state.Entries, &lilacv1.RaftEntry{Index: uint64(i + 2), Term: 2, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, Data: command})
	}
	found, err := own.replay(state, accepted.Config())
	is.NoErr(err)
	is.True(found.diverged)
	is.Equal(found.revision, uint64(2))
	is.Equal(found.committed, uint64(0))
}
