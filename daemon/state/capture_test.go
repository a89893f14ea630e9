package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/ledger"
)

// commandsForRound returns the commands of round n. Over several rounds they change every
// part of the state: teams, refused commands, claims, answers, retention, incarnations and
// leases.
func commandsForRound(n int) []*lilacv1.Command {
	now := int64(n) * time.Minute.Milliseconds()
	incarnation := fmt.Sprint("e/", n/7)
	var all []*lilacv1.Command
	for i := range 3 {
		key, attempt := fmt.Sprint("key-", n, "-", i), fmt.Sprint("attempt-", n, "-", i)
		all = append(all, &lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: &lilacv1.ClaimRequest{Team: "coop", Key: key, Digest: digest(1), Instance: "e", Incarnation: incarnation, Attempt: attempt, NowUnixMs: now}}})
		// The second of three claims stays open; the third outcome is that of the
		// previous round.
		if i == 1 {
			continue
		}
		back := n - i/2
		outcome := &lilacv1.OutcomeRequest{Team: "coop", Key: fmt.Sprint("key-", back, "-", i), Attempt: fmt.Sprint("attempt-", back, "-", i), NowUnixMs: now,
			State: lilacv1.ClaimState_CLAIM_STATE_RAN, Answer: &lilacv1.StoredAnswer{Status: 200, Body: make([]byte, 100)}}
		if n%3 == 0 {
			outcome.State, outcome.Answer = lilacv1.ClaimState_CLAIM_STATE_NOT_RUN, nil
		}
		all = append(all, &lilacv1.Command{Op: &lilacv1.Command_Outcome{Outcome: outcome}})
	}
	// Claims a key that did not run again, which reopens it.
	all = append(all, &lilacv1.Command{Op: &lilacv1.Command_Claim{Claim: &lilacv1.ClaimRequest{Team: "coop", Key: fmt.Sprint("key-", n-1, "-0"), Digest: digest(1), Instance: "e", Incarnation: incarnation, Attempt: fmt.Sprint("again-", n), NowUnixMs: now}}})
	change := &lilacv1.Change{Op: &lilacv1.Change_SetTeam{SetTeam: &lilacv1.Team{Name: fmt.Sprint("team-", n%5), Weight: uint32(n + 1)}}}
	all = append(all, &lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: &lilacv1.Proposal{CommandId: fmt.Sprint("c-", n), Who: "awa", Statement: "SET TEAM", Changes: []*lilacv1.Change{change}, ProposedUnixMs: now}}})
	all = append(all, &lilacv1.Command{Op: &lilacv1.Command_Propose{Propose: &lilacv1.Proposal{CommandId: fmt.Sprint("r-", n), Who: "awa", Statement: "nothing", ProposedUnixMs: now}}})
	return append(all, &lilacv1.Command{Op: &lilacv1.Command_Lease{Lease: &lilacv1.LeaseRequest{Name: "orders", Holder: "e", Incarnation: "e/1", DurationMs: 1000}}})
}

// While a captured snapshot is encoded, further commands end, reopen and expire claims. If
// the snapshot contained their effect, a process that starts from it would apply these
// commands twice and silently diverge from the others. The encoded snapshot must contain
// exactly the state at its index.
func TestCaptureIsUnaffectedByLaterCommands(t *testing.T) {
	is := is.New(t)
	m := NewMachine(20, ledger.Limits{Retention: 10 * time.Minute, Entries: 30, TotalAnswerBytes: 500})
	round := 1
	apply := func(rounds int) {
		for end := round + rounds; round < end; round++ {
			for _, c := range commandsForRound(round) {
				data, err := proto.Marshal(c)
				is.NoErr(err)
				m.Apply(uint64(round), data)
			}
		}
	}
	apply(40)
	for range 20 {
		encode := m.Capture()
		want, err := m.Snapshot()
		is.NoErr(err)
		type encoded struct {
			data []byte
			err  error
		}
		early := make(chan encoded)
		go func() { // Races with the commands below, for the race detector.
			data, err := m.Capture()()
			early <- encoded{data, err}
		}()
		apply(9)
		is.NoErr((<-early).err)
		got, err := encode()
		is.NoErr(err)
		is.Equal(string(got), string(want))
		now, err := m.Snapshot()
		is.NoErr(err)
		is.True(string(now) != string(want))
	}
	is.True(m.Counts().Tombstones > 0)
	is.Equal(m.Counts().BrokenInvariants, uint64(0))
}
