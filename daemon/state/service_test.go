package state

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

const (
	notRunTrue    = lilacv1.NotRun_NOT_RUN_TRUE
	notRunUnknown = lilacv1.NotRun_NOT_RUN_UNKNOWN
)

func digest(b byte) []byte {
	d := make([]byte, 32)
	d[0] = b
	return d
}

func claimOf(key string) *lilacv1.ClaimRequest {
	return &lilacv1.ClaimRequest{Team: "coop", Key: key, Digest: digest(1)}
}

// All methods of the client must work in a group in which only one process leads.
func TestClientCalls(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 3)
	c := newClient(t, all, "entry-1")

	reply, err := c.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	is.Equal(reply.GetRevision(), uint64(1))
	again, err := c.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	is.True(again.GetRepeatedCommand())

	stale := proposal("two", "alerts", 2)
	stale.IfRevision = proto.Uint64(7)
	lost, err := c.Propose(t.Context(), stale)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
	is.Equal(lost.GetWinner().GetNumber(), uint64(1))
	_, err = c.Propose(t.Context(), proposal("three", "alerts", 9))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE))
	is.Equal(fault.NotRunOf(err), notRunTrue)
	dry := proposal("four", "reports", 1)
	dry.DryRun = true
	preview, err := c.Propose(t.Context(), dry)
	is.NoErr(err)
	is.Equal(preview.GetRevision(), uint64(2))

	claim := claimOf("k")
	granted, err := c.Claim(t.Context(), claim)
	is.NoErr(err)
	is.True(granted.GetGranted())
	done := &lilacv1.OutcomeRequest{Team: "coop", Key: "k", Attempt: claim.GetAttempt(), State: lilacv1.ClaimState_CLAIM_STATE_RAN, Answer: &lilacv1.StoredAnswer{Status: 200, Body: []byte("filed")}}
	_, err = c.Outcome(t.Context(), done)
	is.NoErr(err)
	second, err := newClient(t, all, "entry-2").Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	is.Equal(string(second.GetAnswer().GetBody()), "filed")

	audit, err := c.Audit(t.Context(), &lilacv1.AuditRequest{})
	is.NoErr(err)
	is.Equal(len(audit.GetRevisions()), 1)
	is.Equal(audit.GetRevisions()[0].GetWho(), "awa")
	for _, answer := range c.Status(t.Context()) {
		is.NoErr(answer.Err)
		is.Equal(answer.Status.GetRevision(), uint64(1))
		is.Equal(answer.Status.GetClaims(), uint64(1))
	}
}

// For each way in which a call can fail, the client must return the right kind of error and
// report whether the command is certainly not in the log (not_run) or may be in it.
func TestCallFaultsAndNotRun(t *testing.T) {
	noLeader := func(s *sharedLog, _ []*process) { s.leader = "" }
	for _, c := range []struct {
		name   string
		fault  func(*sharedLog, []*process)
		kind   fault.Kind
		notRun fault.NotRun
	}{
		{"nothing", func(*sharedLog, []*process) {}, 0, 0},
		{"leader moved", func(s *sharedLog, all []*process) { s.leader = all[2].peer.Address.Value }, 0, 0},
		{"one follower down", func(_ *sharedLog, all []*process) { all[1].server.Close() }, 0, 0},
		{"no leader known", noLeader, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, notRunTrue},
		{"answer lost once", func(_ *sharedLog, all []*process) {
			lost := false
			all[0].log.after = func() error {
				if lost {
					return nil
				}
				lost = true
				return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "answer lost")
			}
		}, 0, 0},
		{"every answer lost", func(_ *sharedLog, all []*process) {
			all[0].log.after = func() error { return errors.New("answer lost") }
		}, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, notRunUnknown},
		{"leader frozen", func(_ *sharedLog, all []*process) {
			all[0].log.before = func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, notRunUnknown},
		{"disk full", func(_ *sharedLog, all []*process) {
			all[0].log.before = func(context.Context) error {
				return fault.New(lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, "make room", fault.WithNotRun(notRunTrue))
			}
		}, lilacv1.ErrorKind_ERROR_KIND_DISK_FULL, notRunTrue},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			shared, all := group(t, 3)
			c.fault(shared, all)
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			reply, err := newClient(t, all, "entry-1").Propose(ctx, proposal("one", "alerts", 0))
			is.Equal(fault.KindOf(err), c.kind)
			if c.kind == 0 {
				is.Equal(reply.GetRevision(), uint64(1))
				is.Equal(all[1].service.machine.Revision(), uint64(1))
				return
			}
			is.Equal(fault.NotRunOf(err), c.notRun)
		})
	}
}

// The reply to a claim is lost, so the entry can't know whether it was granted. It does not
// send the request and reports not_run to its caller. Once the connection is restored, the
// client must release the claim by itself, so that the caller's retry runs.
func TestClaimWithLostReplyIsReleased(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	all[0].log.setAfter(func() error { return errors.New("answer lost") })
	c := newClient(t, all, "entry-1")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := c.Claim(ctx, claimOf("k"))
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM))
	is.Equal(fault.NotRunOf(err), notRunTrue)
	is.Equal(all[0].service.machine.Counts().OpenClaims, 1)
	all[0].log.setAfter(nil)
	running, stop := context.WithCancel(t.Context())
	defer stop()
	go c.Run(running)
	for all[0].service.machine.Counts().OpenClaims > 0 {
		time.Sleep(time.Millisecond)
	}
	granted, err := newClient(t, all, "entry-2").Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	is.True(granted.GetGranted())
}

// An entry sends nothing for longer than livenessTimeout, so the leader considers it dead and
// the outcome of its claim becomes unknown. If the entry was only unreachable, it must be able
// to claim again without a restart.
func TestTimedOutEntryLosesItsClaimsAndClaimsAgain(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	service := all[0].service
	now := time.Now()
	service.liveness.now = func() time.Time { return now }
	c := newClient(t, all, "entry-1")
	_, err := c.Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	service.expireIncarnations(t.Context())
	now = now.Add(livenessTimeout)
	service.expireIncarnations(t.Context())
	is.Equal(service.machine.Counts().OpenClaims, 1)
	now = now.Add(time.Second)
	service.expireIncarnations(t.Context())
	is.Equal(service.machine.Counts().OpenClaims, 0)
	old, err := newClient(t, all, "entry-2").Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	is.Equal(old.GetState(), lilacv1.ClaimState_CLAIM_STATE_UNKNOWN)
	fresh, err := c.Claim(t.Context(), claimOf("k2"))
	is.NoErr(err)
	is.True(fresh.GetGranted())
}

func TestMachineRestoresFromItsSnapshot(t *testing.T) {
	is := is.New(t)
	shared, all := group(t, 1)
	c := newClient(t, all, "entry-1")
	_, err := c.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	_, err = c.Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	_, err = c.Lease(t.Context(), &lilacv1.LeaseRequest{Name: "orders", DurationMs: 1000})
	is.NoErr(err)
	for days, kind := range map[int]lilacv1.ErrorKind{6: lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, 8: 0} {
		before := time.Now().AddDate(0, 0, -days).UnixMilli()
		forget := &lilacv1.Change{Op: &lilacv1.Change_ForgetKeysBeforeUnixMs{ForgetKeysBeforeUnixMs: before}}
		_, err = c.Propose(t.Context(), &lilacv1.Proposal{CommandId: fmt.Sprint("forget-", days), Who: "awa", Changes: []*lilacv1.Change{forget}})
		is.Equal(fault.KindOf(err), kind)
	}
	data, err := shared.machines[0].Snapshot()
	is.NoErr(err)
	restored := NewMachine(0, shared.machines[0].ledger.Limits())
	is.NoErr(restored.Restore(data))
	same, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(data, same)
	is.True(restored.Restore([]byte("no snapshot")) != nil)
}

// follower is an entry that only follows revisions.
type follower struct {
	*spreadlink.Watcher
	name    string
	kill    func()
	traffic *link.Traffic
}

// startWatchers starts n entries in one data centre.
func startWatchers(t testing.TB, all []*process, n int) []*follower {
	var state []settings.Peer
	for _, p := range all {
		state = append(state, p.peer)
	}
	var entries []settings.Peer
	var started []*follower
	for i := range n {
		name := string(rune('1' + i))
		w := spreadlink.NewWatcher(spreadlink.Options{Instance: name, DataCenter: "dakar-a", StatePeers: state, Dial: dialer(t)})
		address, kill, traffic := serveEntry(t, w)
		entries = append(entries, settings.Peer{Name: name, DataCenter: "dakar-a", Address: settings.Address{Value: address}})
		started = append(started, &follower{w, name, kill, traffic})
	}
	for _, w := range started {
		w.SetEntries(entries)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		t.Cleanup(func() {
			stop()
			<-done
		})
	}
	return started
}

// revisionWatcher is the part of an entry that waitForRevision needs.
type revisionWatcher interface {
	Changed() <-chan struct{}
	Current() *model.View
	Revision() uint64
}

func waitForRevision(w revisionWatcher, revision uint64) *model.View {
	for {
		changed := w.Changed()
		if w.Current() != nil && w.Revision() >= revision {
			return w.Current()
		}
		<-changed
	}
}

func TestRevisionsReachAllEntries(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 3)
	entries := startWatchers(t, all, 4)
	for _, w := range entries {
		waitForRevision(w, 0)
	}
	c := newClient(t, all, "entry-1")
	_, err := c.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	_, err = c.Propose(t.Context(), proposal("two", "alerts", 3))
	is.NoErr(err)
	for _, w := range entries {
		is.Equal(waitForRevision(w, 2).Classes["alerts"].GetTier(), uint32(3))
	}
}

// The relay of a data centre dies. Without an operator's help, the other entries must follow
// the next one in rank, and that one must follow a state process.
func TestEntriesFailOverWhenTheirRelayDies(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 3)
	entries := startWatchers(t, all, 4)
	for _, w := range entries {
		waitForRevision(w, 0)
	}
	slices.SortFunc(entries, func(a, b *follower) int { return member.CompareRank(a.name, b.name) })
	entries[0].kill()
	_, err := newClient(t, all, "entry-1").Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	for _, w := range entries {
		is.Equal(len(waitForRevision(w, 1).Classes), 1)
	}
}

// An entry starts after more changes than the audit trail holds. Neither the state processes
// nor the relay can send them one by one, so the entry must receive a snapshot, and then each
// later change in order.
func TestEntryBeyondTheAuditTrailGetsASnapshot(t *testing.T) {
	is := is.New(t)
	_, all := groupWithRetention(t, 1, 5)
	c := newClient(t, all, "entry-1")
	for i := range 20 {
		_, err := c.Propose(t.Context(), proposal(fmt.Sprint(i), fmt.Sprint("class-", i), 0))
		is.NoErr(err)
	}
	entries := startWatchers(t, all, 3)
	for _, w := range entries {
		is.Equal(len(waitForRevision(w, 20).Classes), 20)
	}
	_, err := c.Propose(t.Context(), proposal("20", "class-20", 0))
	is.NoErr(err)
	for _, w := range entries {
		is.Equal(len(waitForRevision(w, 21).Classes), 21)
		newest, _ := w.LatestKnown()
		is.Equal(newest, uint64(21))
	}
}

// An entry that already has the current members must receive only their version, until another
// entry appears.
func TestMembersAreSentOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	ask := func(name string, have uint64) *lilacv1.StateMembers {
		reply, err := all[0].service.members(t.Context(), link.Peer{}, &lilacv1.StateMembersRequest{Entry: &lilacv1.StateMember{Name: name}, Have: have})
		is.NoErr(err)
		return reply
	}
	first := ask("entry-1", 0)
	is.Equal(len(first.GetEntries()), 1)
	is.Equal(len(ask("entry-1", first.GetVersion()).GetEntries()), 0)
	is.Equal(len(ask("entry-2", first.GetVersion()).GetEntries()), 2)
}
