package replica

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Status describes a node to operators.
type Status struct {
	// ID is this process's identity and Group its group's; Group is empty while Waiting.
	ID, Group string
	Role      Role
	Term      uint64
	// Leader, LeaderName and LeaderAddress identify the leader; empty if none is known.
	Leader, LeaderName, LeaderAddress string
	CommitIndex, AppliedIndex         uint64
	LastIndex, SnapshotIndex          uint64
	Members                           []*lilacv1.RaftMember
	DiskFull                          bool
	// Recoveries counts the former groups that this one replaced after losing a majority.
	Recoveries int
	// RivalGroup is another group recovered from the same original group; empty if none
	// has been heard from recently.
	RivalGroup string
	// InvariantsChecked and InvariantsViolated count since startup.
	InvariantsChecked, InvariantsViolated uint64
	// Staleness is the time since the applied state was last known to include everything
	// committed; an upper bound on how stale a local read is.
	Staleness time.Duration
	// freshAt is the moment from which Staleness is counted.
	freshAt time.Duration
}

// Voters returns the names of the voting members in force.
func (s Status) Voters() []string { return s.names(true) }

// Learners returns the names of the non-voting members in force.
func (s Status) Learners() []string { return s.names(false) }

func (s Status) names(voter bool) []string {
	var names []string
	for _, member := range s.Members {
		if member.GetVoter() == voter {
			names = append(names, member.GetName())
		}
	}
	return names
}

// Status returns the node's state after the last processed batch. Staleness is
// computed at the time of the call, also while the loop is blocked. It is safe for
// concurrent use.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := n.status
	n.mu.Unlock()
	s.Staleness = n.runner.options.Clock() - s.freshAt
	return s
}

// Status returns the state after the last call of ProcessBatch.
func (r *Runner) Status() Status {
	c := r.core
	members := c.Members()
	leader := findMember(c.members.latest(), c.leader)
	return Status{ID: c.cfg.ID, Group: c.group, Role: c.role, Term: c.term, Leader: c.leader, LeaderName: leader.GetName(), LeaderAddress: c.leaderAddress,
		CommitIndex: c.commit, AppliedIndex: r.applied, LastIndex: c.log.last(), SnapshotIndex: c.snapshot.GetIndex(),
		Members: members, DiskFull: r.diskFull, Recoveries: len(c.lineage.former), RivalGroup: c.rivalGroup(), InvariantsChecked: c.InvariantsChecked, InvariantsViolated: c.InvariantsViolated,
		Staleness: c.now - c.freshAt(), freshAt: c.freshAt()}
}

func (n *Node) publishStatus() {
	s := n.runner.Status()
	n.mu.Lock()
	n.status = s
	n.mu.Unlock()
	n.runner.updateMetrics(s)
}

func (r *Runner) updateMetrics(s Status) {
	r.metrics.term.Set(float64(s.Term))
	r.metrics.commit.Set(float64(s.CommitIndex))
	r.metrics.applied.Set(float64(s.AppliedIndex))
	r.metrics.leader.Set(boolToFloat(s.Role == Leader))
	r.metrics.checked.Set(float64(s.InvariantsChecked))
	r.metrics.ignored.Set(float64(r.core.IgnoredMessages))
	r.metrics.recoveries.Set(float64(s.Recoveries))
	r.metrics.rival.Set(boolToFloat(s.RivalGroup != ""))
	r.metrics.syncs.Set(float64(r.store.Syncs))
}

type metrics struct {
	term, commit, applied, leader, checked, ignored, syncs, diskFull prometheus.Gauge
	sent, dropped, truncatedBytes, installs, snapshots, repairs      prometheus.Counter
	candidacies                                                      prometheus.Counter
	recoveries, rival                                                prometheus.Gauge
	syncSeconds                                                      prometheus.Histogram
	broken, refused                                                  *prometheus.CounterVec
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func newMetrics(registerer prometheus.Registerer, process string) *metrics {
	var all []prometheus.Collector
	labels := prometheus.Labels{"process": process}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "lilacbridge_replica_" + name, Help: help, ConstLabels: labels})
		all = append(all, g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "lilacbridge_replica_" + name, Help: help, ConstLabels: labels})
		all = append(all, c)
		return c
	}
	vector := func(name, label, help string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lilacbridge_replica_" + name, Help: help, ConstLabels: labels}, []string{label})
		all = append(all, v)
		return v
	}
	m := &metrics{
		term:           gauge("term", "Term that the process is in."),
		commit:         gauge("commit_index", "Last log entry known to be committed."),
		applied:        gauge("applied_index", "Last log entry applied to the state machine."),
		leader:         gauge("leader", "1 if the process leads the group."),
		checked:        gauge("invariants_checked", "Invariants checked since the start."),
		ignored:        gauge("messages_ignored", "Messages for another identity or group, or from a candidate nobody needs."),
		syncs:          gauge("log_syncs", "Syncs of the log since the start."),
		diskFull:       gauge("disk_full", "1 while the disk takes no more."),
		recoveries:     gauge("recoveries", "Recoveries of the group from a lost majority."),
		rival:          gauge("rival_group", "1 while another group recovered from the same one is heard; changes are refused."),
		sent:           counter("messages_sent_total", "Messages handed to the transport."),
		dropped:        counter("messages_dropped_total", "Messages dropped because the process was too busy."),
		truncatedBytes: counter("log_cut_bytes_total", "Bytes of torn records cut at the start."),
		installs:       counter("snapshots_installed_total", "Snapshots taken from the leader."),
		snapshots:      counter("snapshots_written_total", "Snapshots written of the own state."),
		repairs:        counter("repairs_total", "Lost voters replaced."),
		candidacies:    counter("candidacies_total", "Candidacies of this process."),
		broken:         vector("invariants_broken_total", "invariant", "Invariants that did not hold; the step was refused."),
		refused:        vector("refused_total", "kind", "Proposals and reads refused, by kind."),
	}
	m.syncSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "lilacbridge_replica_sync_seconds", Help: "Time to write and sync a batch of the log.",
		ConstLabels: labels, Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16)})
	all = append(all, m.syncSeconds)
	if registerer != nil {
		registerer.MustRegister(all...)
	}
	return m
}
