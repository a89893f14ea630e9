package state

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/internal/memdisk"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/secret"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/process/wal"
)

// replicatedGroup starts three state processes with the real log over loopback.
func replicatedGroup(t testing.TB) []*stateProcess {
	c := newCluster(t, 3)
	var all []*stateProcess
	for _, peer := range c.peers {
		all = append(all, c.running[peer.Name])
	}
	return all
}

func processes(all []*stateProcess) []*process {
	var list []*process
	for _, m := range all {
		list = append(list, &m.process)
	}
	return list
}

// The leader stops while operators and callers are active. Accepted changes must be kept, a
// granted claim must not be granted again, and entries must find the new leader by
// themselves.
func TestCommittedStateSurvivesLossOfTheLeader(t *testing.T) {
	is := is.New(t)
	all := replicatedGroup(t)
	c := newClient(t, processes(all), "entry-1")
	for i := range 20 {
		_, err := c.Propose(t.Context(), proposal(fmt.Sprint(i), fmt.Sprint("class-", i), 0))
		is.NoErr(err)
	}
	first, err := c.Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	is.True(first.GetGranted())
	leader := slices.IndexFunc(all, func(m *stateProcess) bool { return m.running.Status().IsLeader })
	is.NoErr(all[leader].running.Close())
	all[leader].server.Close()

	reply, err := c.Propose(t.Context(), proposal("19", "class-19", 0))
	is.NoErr(err)
	is.True(reply.GetRepeatedCommand())
	is.Equal(reply.GetRevision(), uint64(20))
	second, err := newClient(t, processes(all), "entry-2").Claim(t.Context(), claimOf("k"))
	is.NoErr(err)
	is.True(!second.GetGranted())
	is.Equal(second.GetState(), lilacv1.ClaimState_CLAIM_STATE_CLAIMED)
	for _, w := range startWatchers(t, processes(all), 2) {
		is.Equal(len(waitForRevision(w, 20).Classes), 20)
	}
}

// Two of three data centres are unreachable. The third must refuse new claims with not_run,
// at once after the first refusal, and still serve stored answers, the audit trail and the
// configuration.
func TestMinorityRefusesClaimsAndServesReads(t *testing.T) {
	is := is.New(t)
	all := replicatedGroup(t)
	c := newClient(t, processes(all), "entry-1")
	_, err := c.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	ended := claimOf("ended")
	_, err = c.Claim(t.Context(), ended)
	is.NoErr(err)
	_, err = c.Outcome(t.Context(), &lilacv1.OutcomeRequest{Team: "coop", Key: "ended", Attempt: ended.GetAttempt(), State: lilacv1.ClaimState_CLAIM_STATE_RAN})
	is.NoErr(err)
	left := all[0]
	again := claimOf("ended")
	again.Instance, again.Incarnation, again.Attempt = "e", "e", "a"
	seen := func() bool {
		_, final := left.service.machine.FinalReply(again)
		return final
	}
	for left.service.machine.Revision() < 1 || !seen() {
		time.Sleep(time.Millisecond)
	}
	for _, m := range all[1:] {
		m.running.Close()
		m.server.Close()
	}
	for range 3 {
		_, err = c.Claim(t.Context(), claimOf("k"))
		is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM))
		is.Equal(fault.NotRunOf(err), notRunTrue)
	}
	first, err := c.Claim(t.Context(), claimOf("ended"))
	is.NoErr(err)
	is.Equal(first.GetState(), lilacv1.ClaimState_CLAIM_STATE_RAN)
	audit, err := c.Audit(t.Context(), &lilacv1.AuditRequest{})
	is.NoErr(err)
	is.Equal(len(audit.GetRevisions()), 1)
	for _, w := range startWatchers(t, processes(all), 2) {
		is.Equal(len(waitForRevision(w, 1).Classes), 1)
	}
}

func TestDaemonServesAndStops(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	key := filepath.Join(folder, "key")
	is.NoErr(os.WriteFile(key, testKey, 0o600))
	yaml := "name: a\ndata_center: dakar-a\nlink: 127.0.0.1:0\nadmin: 127.0.0.1:0\nlink_key_file: " + key +
		"\ndata: " + filepath.Join(folder, "data") + "\nbootstrap: true\nheartbeat: 20ms\nelection: 200ms\n"
	s := &settings.State{}
	is.NoErr(settings.Parse("test.yaml", []byte(yaml), s))
	open := func(s *settings.State, machine *Machine, mux *link.Mux, id link.Identity, logger hclog.Logger, registry prometheus.Registerer) (RunningLog, error) {
		return openReplica(memdisk.New(), s, machine, mux, id, logger, registry)
	}
	daemon, err := NewDaemon(s, hclog.NewNullLogger(), open, Control{})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	peer := settings.Peer{Name: "a", DataCenter: "dakar-a", Address: settings.Address{Value: daemon.listener.Addr().String()}}
	c := newClient(t, []*process{{peer: peer}}, "entry-1")
	_, err = c.Propose(t.Context(), proposal("one", "alerts", 0))
	is.NoErr(err)
	stop()
	is.NoErr(<-done)
	_, err = NewDaemon(&settings.State{Common: settings.Common{LinkKeyFile: "none"}}, hclog.NewNullLogger(), OpenReplica, Control{})
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST))
}

// Guards against a state process that keeps its log elsewhere than in the data folder of its
// settings, where a restart would not find it.
func TestOpenReplicaKeepsItsLogInTheDataFolder(t *testing.T) {
	is := is.New(t)
	s := &settings.State{Common: settings.Common{Name: "a", DataCenter: "dakar-a", Link: settings.Address{Value: "127.0.0.1:0"}},
		Data: filepath.Join(t.TempDir(), "data"), Bootstrap: true,
		Heartbeat: settings.Duration{Duration: 20 * time.Millisecond}, Election: settings.Duration{Duration: 200 * time.Millisecond}}
	open := func() RunningLog {
		id := link.Identity{Peer: link.Peer{Process: "a"}, Keys: secret.StaticKeys(testKey)}
		log, err := OpenReplica(s, NewMachine(0, ledger.Limits{}), link.NewMux(), id, hclog.NewNullLogger(), prometheus.NewRegistry())
		is.NoErr(err)
		return log
	}
	log := open()
	waitUntil(func() bool { return log.Status().IsLeader })
	group := log.Status().Status.GetGroup()
	is.NoErr(log.Close())
	report, err := wal.Inspect(wal.ReadOnlyFolder(s.Data))
	is.NoErr(err)
	is.Equal(report.Group, group)
	log = open()
	is.Equal(log.Status().Status.GetGroup(), group)
	is.NoErr(log.Close())
}

// BenchmarkClaims compares claims, which are synced by a quorum of three processes with
// real files, with calls over the same links that replicate nothing.
func BenchmarkClaims(b *testing.B) {
	all := replicatedGroup(b)
	c := newClient(b, processes(all), "entry-1")
	if _, err := c.Propose(b.Context(), proposal("one", "alerts", 0)); err != nil {
		b.Fatal(err)
	}
	leader := all[slices.IndexFunc(all, func(m *stateProcess) bool { return m.running.Status().IsLeader })]
	plain := dialer(b)(leader.peer.Address.Value)
	run := 0
	for _, workers := range []int{1, 16, 128, 512} {
		b.Run(fmt.Sprintf("claim/workers=%d", workers), func(b *testing.B) {
			run++
			measure(b, workers, func(i int) error {
				_, err := c.Claim(b.Context(), claimOf(fmt.Sprint(run, "/", i)))
				return err
			})
		})
		b.Run(fmt.Sprintf("nothing/workers=%d", workers), func(b *testing.B) {
			measure(b, workers, func(int) error {
				return plain.Call(b.Context(), "test.nothing", &lilacv1.StateStatusRequest{}, &lilacv1.StateStatus{})
			})
		})
	}
}

// measure runs b.N calls with the given number of workers and reports their rate and
// latency percentiles.
func measure(b *testing.B, workers int, call func(i int) error) {
	times := make([]time.Duration, b.N)
	next := make(chan int, workers)
	var wg sync.WaitGroup
	start := time.Now()
	for range workers {
		wg.Go(func() {
			for i := range next {
				began := time.Now()
				if err := call(i); err != nil {
					b.Error(err)
				}
				times[i] = time.Since(began)
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
	slices.Sort(times)
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
	b.ReportMetric(float64(times[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[b.N*99/100].Microseconds())/1000, "p99-ms")
}
