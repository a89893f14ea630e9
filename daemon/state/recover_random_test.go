package state

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// majorityLoss simulates a random history: operators, callers and lease holders change a
// majority's machine, the majority is lost, the state is recovered from a survivor that is
// behind and may have uncommitted entries of its own, and the history continues.
type majorityLoss struct {
	is      *is.I
	random  *rand.Rand
	machine *Machine
	index   uint64
	nowMs   int64
	number  int
	// log holds all commands that the majority accepted.
	log [][]byte
	// classes are the classes set by accepted changes; contents maps revisions to them.
	classes  []string
	contents map[uint64]string
	// staleConfig is the configuration of an entry that stopped receiving revisions.
	staleConfig *lilacv1.Snapshot
	keys        []string
	runs        map[string]int
	fencing     uint64
	// Counts of violated guarantees.
	duplicateRuns, lostChanges, wrongFencing, reusedRevisions int
}

func (h *majorityLoss) apply(c *lilacv1.Command) *lilacv1.CommandResult {
	command := encodeCommand(h.is, c)
	h.index++
	h.log = append(h.log, command)
	result := &lilacv1.CommandResult{}
	h.is.NoErr(proto.Unmarshal(h.machine.Apply(h.index, command), result))
	return result
}

func (h *majorityLoss) step() {
	h.nowMs += h.random.Int64N(20_000)
	switch h.random.IntN(8) {
	case 0, 1:
		h.change()
	case 2, 3, 4:
		h.keys = append(h.keys, h.newKey())
		h.claim(h.keys[len(h.keys)-1])
	case 5:
		if len(h.keys) > 0 {
			h.claim(h.keys[h.random.IntN(len(h.keys))])
		}
	case 6, 7:
		h.lease()
	}
}

func (h *majorityLoss) newKey() string {
	h.number++
	if h.random.IntN(2) == 0 {
		return fmt.Sprint("plain-", h.number)
	}
	// The caller's clock deviates by up to a minute.
	return timedKey(time.UnixMilli(h.nowMs+h.random.Int64N(120_000)-60_000), h.number)
}

func (h *majorityLoss) change() {
	h.number++
	class := fmt.Sprint("class-", h.number)
	result := h.apply(&lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal(fmt.Sprint(h.number), class, 0)}})
	revision := result.GetPropose().GetRevision()
	if other, taken := h.contents[revision]; taken && other != class {
		h.reusedRevisions++
	}
	h.contents[revision] = class
	if h.random.IntN(4) == 0 {
		h.staleConfig = h.machine.Config()
	}
	h.classes = append(h.classes, class)
}

// claim claims the key. If the claim is granted, it runs the request or, in one of four
// cases, abandons it unsent; the outcome is stored in two of three cases.
func (h *majorityLoss) claim(key string) {
	h.number++
	attempt := fmt.Sprint("attempt-", h.number)
	request := claimOf(key)
	request.Instance, request.Incarnation, request.Attempt, request.NowUnixMs = "e", fmt.Sprint("e/", h.machine.Recoveries()), attempt, h.nowMs
	result := h.apply(&lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: request}})
	if !result.GetClaim().GetGranted() {
		return
	}
	end := lilacv1.ClaimState_CLAIM_STATE_RAN
	if h.random.IntN(4) == 0 {
		end = lilacv1.ClaimState_CLAIM_STATE_NOT_RUN
	} else if h.runs[key]++; h.runs[key] > 1 {
		h.duplicateRuns++
	}
	if h.random.IntN(3) > 0 {
		h.apply(&lilacv1.Command{Op: &lilacv1.Command_Outcome{Outcome: &lilacv1.OutcomeRequest{Team: "coop", Key: key, Attempt: attempt, State: end, NowUnixMs: h.nowMs}}})
	}
}

// lease requests the lease for a random holder, in half of the cases as expired.
func (h *majorityLoss) lease() {
	holder := fmt.Sprint("h-", h.random.IntN(3))
	held := h.machine.Lease("orders")
	request := &lilacv1.LeaseRequest{Name: "orders", Holder: holder, Incarnation: holder, DurationMs: 1000}
	if h.random.IntN(2) == 0 {
		request.ExpiredRenewal = held.GetRenewal()
	}
	reply := h.apply(&lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: request}}).GetLease()
	if !reply.GetGranted() {
		return
	}
	if reply.GetFencing() < h.fencing || reply.GetFencing() == h.fencing && held.GetHolder() != holder {
		h.wrongFencing++
	}
	h.fencing = max(h.fencing, reply.GetFencing())
}

// survivorState returns the folder content of the survivor: a random prefix of the log,
// followed by up to two changes of its own that were never accepted.
func (h *majorityLoss) survivorState() *wal.State {
	known := h.random.IntN(len(h.log) + 1)
	state := &wal.State{
		Hard:     &lilacv1.RaftHardState{Id: "a", Group: "g", Term: 3},
		Snapshot: &lilacv1.RaftSnapshotMeta{Index: 1, Term: 1, Members: &lilacv1.RaftMembers{}},
	}
	for _, id := range []string{"a", "b", "c"} {
		state.Snapshot.Members.Members = append(state.Snapshot.Members.Members, &lilacv1.RaftMember{Id: id, Name: id, Address: id, Voter: true})
	}
	own := h.log[:known:known]
	for range h.random.IntN(3) {
		h.number++
		own = append(own, encodeCommand(h.is, &lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: proposal(fmt.Sprint(h.number), fmt.Sprint("never-", h.number), 0)}}))
	}
	for i, command := range own {
		state.Entries = append(state.Entries, &lilacv1.RaftEntry{Index: uint64(i + 2), Term: 1, Kind: lilacv1.RaftEntryKind_RAFT_ENTRY_KIND_COMMAND, Data: command})
	}
	return state
}

// recover recovers the survivor with the configuration of an up-to-date entry, or of a stale
// one. In the latter case, changes that neither of them holds are lost.
func (h *majorityLoss) recover(upToDate bool) {
	held := &entryConfig{snapshot: h.machine.Config()}
	if !upToDate {
		held.snapshot = h.staleConfig
	}
	o := RecoverOptions{
		Folder: wal.ReadOnlyFolder("a"), KeyMargin: time.Hour, Random: h.random.Uint64,
		Now: func() time.Time { return time.UnixMilli(h.nowMs) }, Dial: func(string) link.Caller { return unreachable{} },
	}
	plan, err := newRecoveryPlan(context.Background(), o, h.survivorState(), held)
	h.is.NoErr(err)
	h.machine, h.index, h.log = plan.machine, plan.meta.GetIndex(), nil
	if !upToDate {
		h.classes = nil
	}
}

type unreachable struct{}

func (unreachable) Call(context.Context, string, proto.Message, proto.Message) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no answer")
}

func (unreachable) Open(context.Context, string, proto.Message) (link.Stream, error) {
	return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "no answer")
}

func (h *majorityLoss) checkChanges() {
	present := map[string]bool{}
	for _, class := range h.machine.Config().GetClasses() {
		present[class.GetName()] = true
	}
	for _, class := range h.classes {
		if !present[class] {
			h.lostChanges++
		}
	}
}

// A majority is lost at a random point. The survivor lacks a random part of the accepted
// commands and may hold entries that were never accepted. The entries that are asked hold all
// revisions or, in every third history, only some. Callers then send all their keys again. No
// accepted change that an asked entry holds may be lost, no revision number may stand for two
// contents, no key may run twice and no fencing number may decrease.
func TestRecoveryKeepsGuaranteesInRandomHistories(t *testing.T) {
	const seeds, steps = 300, 60
	changes, runs, granted := 0, 0, 0
	for seed := range uint64(seeds) {
		h := &majorityLoss{is: is.New(t), random: rand.New(rand.NewPCG(seed, 1)), machine: NewMachine(0, ledger.Limits{}),
			index: 1, nowMs: 1_764_700_000_000, contents: map[uint64]string{}, runs: map[string]int{}}
		for range steps {
			h.step()
		}
		h.recover(seed%3 > 0)
		before := len(h.runs)
		for _, key := range h.keys {
			h.claim(key)
		}
		for range steps {
			h.step()
		}
		// Moves past the key margin and the retention of keys without a time.
		h.nowMs += (2 * time.Hour).Milliseconds()
		for range steps {
			h.step()
		}
		h.checkChanges()
		if h.duplicateRuns+h.lostChanges+h.wrongFencing+h.reusedRevisions > 0 {
			t.Fatalf("seed %d: %d duplicate runs, %d accepted changes lost, %d wrong fencing numbers, %d revision numbers reused", seed, h.duplicateRuns, h.lostChanges, h.wrongFencing, h.reusedRevisions)
		}
		changes, runs, granted = changes+len(h.classes), runs+len(h.runs), granted+len(h.runs)-before
		h.is.Equal(h.machine.Counts().BrokenInvariants, uint64(0))
	}
	t.Logf("%d histories: %d accepted changes, %d requests ran, %d of them after the recovery", seeds, changes, runs, granted)
	is.New(t).True(granted > 0)
}
