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

// majorityLoss drives a majority's machine with operators, callers and holders of a
// lease, loses it, recovers from a survivor that is behind and may have written
// an end of its own, and goes on.
type majorityLoss struct {
	is      *is.I
	random  *rand.Rand
	machine *Machine
	index   uint64
	nowMs   int64
	number  int
	// log holds all commands that the majority accepted.
	log [][]byte
	// classes are those of accepted changes; contents what each revision stands for.
	classes  []string
	contents map[uint64]string
	// staleConfig is what an entry holds that is cut off since some revision.
	staleConfig *lilacv1.Snapshot
	keys        []string
	runs        map[string]int
	fencing     uint64
	// Promises that were broken.
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
	// The caller's clock is up to a minute off.
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

// claim runs the request if it is granted, unless it is given up unsent.
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

// lease lets another holder take over once the last renewal has run out.
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

// survivorState leaves the survivor with a part of the log, and an end of its own at times.
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

// recover asks an entry that is up to date, or only one that is behind: changes
// that nobody who answers holds are then lost.
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

// A majority is lost at any moment; the survivor lacks any part of what was
// accepted and may hold an end that never was; the entries that are asked hold all
// revisions, or in every third history only some.
// Callers send all their keys again. No accepted change may be lost, no number
// of a revision stand for two contents, no key run twice, no fencing number fall.
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
		// Past the margin, and past the retention of keys without a time.
		h.nowMs += (2 * time.Hour).Milliseconds()
		for range steps {
			h.step()
		}
		h.checkChanges()
		if h.duplicateRuns+h.lostChanges+h.wrongFencing+h.reusedRevisions > 0 {
			t.Fatalf("seed %d: %d double runs, %d changes lost, %d wrong fencing numbers, %d numbers of revisions reused", seed, h.duplicateRuns, h.lostChanges, h.wrongFencing, h.reusedRevisions)
		}
		changes, runs, granted = changes+len(h.classes), runs+len(h.runs), granted+len(h.runs)-before
		h.is.Equal(h.machine.Counts().BrokenInvariants, uint64(0))
	}
	t.Logf("%d histories: %d accepted changes, %d requests ran, %d of them after the recovery", seeds, changes, runs, granted)
	is.New(t).True(granted > 0)
}
