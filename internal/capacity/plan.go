package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// The design size, and the limits on what a node may spend on control.
const (
	Nodes              = 1100
	DataCenters        = 5
	Replicas           = 5900
	Teams              = 45000
	RequestsPerSecond  = 40000
	ChangesPerDay      = 24000
	MaxCorePercent     = 1.7
	MaxMemoryMB        = 128
	MaxBytesPerSecond  = 13000
	MaxInForceSeconds  = 13
	megabyte           = 1 << 20
	secondsPerDay      = 86400
	changesPerSecond   = float64(ChangesPerDay) / secondsPerDay
	nanosecondsPerCore = 1e9
	percent            = 100
	tokensPerRequest   = 8.5e6 / RequestsPerSecond
	requestsPerNode    = float64(RequestsPerSecond) / Nodes
	digestsPerSecond   = 6
	// claimsPerSecond assumes that one request in ten is not idempotent.
	claimsPerSecond = RequestsPerSecond / 10
	// maxRetainedKeys is the largest number of keys in the ledger within their retention.
	maxRetainedKeys = 100000
	// subsetSize is the largest number of servers of a pool that an instance uses.
	subsetSize     = 100
	pollsPerSecond = 8
	// followers is the number of entries that follow a relay entry.
	followers = 8
)

// Line is one row of the capacity table: a metric of a benchmark, scaled to the
// cost for one process of the role.
type Line struct {
	Role     string
	Quantity string
	Bench    string
	Unit     string
	// At is the size at which the fitted line is evaluated.
	At float64
	// Scale converts the value at that size to LimitUnit.
	Scale float64
	// Limit is what a node may spend, in LimitUnit; 0 means no limit.
	Limit     float64
	LimitUnit string
	// Mechanism describes what bounds the cost.
	Mechanism string
}

// Plan lists the rows of docs/CAPACITY.md that are projected from a slope.
var Plan = []Line{
	{"entry", "digests, mean", "Traffic", "mean-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "mesh up to 10 entries, then a tree of fanout 5"},
	{"relay entry", "digests, busiest", "Traffic", "max-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "the same tree, relays exchange sums"},
	{"relay entry", "membership core", "Traffic", "core-%", Nodes, 1, MaxCorePercent, "% of a core", "one exchange per second with each neighbour"},
	{"entry", "digests on the wire, mean", "Wire", "mean-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "the same, with framing and packet headers"},
	{"relay entry", "digests on the wire, busiest", "Wire", "max-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "the same; frames share packets, no pings during traffic"},
	{"relay entry", "liveness messages on the wire", "Signs", "signs-B/s", followers, 1, MaxBytesPerSecond, "B/s", "fanout 8, one per second, none from followers"},
	{"entry", "revisions, within the data centre", "Spread/tree", "near-B/rev", Nodes, changesPerSecond / Nodes, MaxBytesPerSecond, "B/s", "tree of fanout 8 by rank"},
	{"relay entry", "revisions, between data centres", "Spread/tree", "far-B/rev", Nodes, changesPerSecond, MaxBytesPerSecond, "B/s", "one stream into each data centre"},
	{"state", "revisions, sent", "Spread/tree", "state-B/rev", Nodes, changesPerSecond, MaxBytesPerSecond, "B/s", "only relays follow a state process"},
	{"entry", "time until a change is in force everywhere", "Spread/tree", "worst-ms", Nodes, 1e-3, MaxInForceSeconds, "s", "pushed down the tree"},
	{"entry", "full snapshot at start", "Snapshot", "sent-B", Teams, 1.0 / MaxBytesPerSecond, MaxInForceSeconds, "s at 13 KB/s", "parts, compressed, resumed"},
	{"entry", "teams and classes in memory", "ViewHeap/teams", "heap-B", Teams, 1.0 / megabyte, MaxMemoryMB, "MB", "one shared view"},
	{"entry", "backend servers in memory", "ViewHeap/servers", "heap-B", Replicas, 1.0 / megabyte, MaxMemoryMB, "MB", "one shared view"},
	{"entry", "policy core in memory", "CoreHeap", "heap-B", Replicas, 1.0 / megabyte, MaxMemoryMB, "MB", "a subset of the pool for each instance"},
	{"entry", "team change applied", "TeamChange", "ns/op", Teams, changesPerSecond * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "only the changed map is cloned"},
	{"entry", "server selection", "CoreRequest", "ns/op", Replicas, requestsPerNode * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "best of a random sample from a subset"},
	{"entry", "digests received", "CoreDigest", "ns/op", Nodes, digestsPerSecond * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "combined in the tree, at most six per second"},
	{"entry", "polls of backend servers, bytes", "Polls/fresh", "poll-B/s", subsetSize, 1, MaxBytesPerSecond, "B/s", "round robin, at most eight calls per second"},
	{"entry", "polls, processor time of client and server", "Polls/fresh", "ns/op", subsetSize, pollsPerSecond * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "the same"},
	{"entry", "process, resident memory", "Weigh/entry", "rss-MB", Teams, 1, MaxMemoryMB, "MB", "all of the above"},
	{"entry", "process, idle, processor time", "Weigh/entry", "core-%", Teams, 1, MaxCorePercent, "% of a core", "few wake-ups while idle"},
	{"entry", "process, idle, on the wire", "Weigh/entry", "wire-B/s", Teams, 1, MaxBytesPerSecond, "B/s", "all of the above"},
	{"entry", "one query of all requests, 200 at each instance", "Query/all", "gathered-MB", Nodes, 1, MaxMemoryMB, "MB", "filtered at each instance, at most 50,000 rows"},
	{"lease holder", "processor time for orders, all engines to be loaded", "Holder/rollout", "ns/op", Replicas, percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "token bucket of seven readings per second, urgent ones first"},
	{"lease holder", "readings on the wire", "Readings", "wire-B/s", Replicas, 1, MaxBytesPerSecond, "B/s", "the same"},
	{"lease holder", "readings, processor time of client and server", "Readings", "core-%", Replicas, 1, MaxCorePercent, "% of a core", "the same"},
	{"lease holder", "readings per second", "Holder/steady", "reads/s", Replicas, 1, 0, "calls/s", "the same"},
	{"state", "leader, resident memory", "Weigh/leader", "rss-MB", Teams, 1, MaxMemoryMB, "MB", "one copy of the configuration"},
	{"state", "leader, idle, processor time", "Weigh/leader", "core-%", Teams, 1, MaxCorePercent, "% of a core", "one heartbeat to each voter every 200 ms"},
	{"state", "leader of three voters, idle, on the wire", "Weigh/leader", "wire-B/s", Teams, 1, MaxBytesPerSecond, "B/s", "the same"},
	{"state", "follower, idle, processor time", "Weigh/follower", "core-%", Teams, 1, MaxCorePercent, "% of a core", "one response to each heartbeat"},
	{"state", "follower, idle, on the wire", "Weigh/follower", "wire-B/s", Teams, 1, MaxBytesPerSecond, "B/s", "the same"},
	{"state", "follower under claims, processor time (not control)", "Claimed/follower", "core-%", claimsPerSecond, 1, 0, "% of a core", "concurrent claims share one sync"},
	{"state", "follower under claims, on the wire", "Claimed/follower", "wire-B/s", claimsPerSecond, 1e-6, 0, "MB/s", "the same"},
	{"state", "leader of five voters under claims, processor time (not control)", "Claimed/leader", "core-%", claimsPerSecond, 1, 0, "% of a core", "the same"},
	{"state", "leader of five voters under claims, on the wire", "Claimed/leader", "wire-B/s", claimsPerSecond, 1e-6, 0, "MB/s", "the same"},
	{"state", "follower under claims, resident memory, by keys", "Held/follower", "rss-MB", maxRetainedKeys, 1, MaxMemoryMB, "MB", "snapshots encoded in parts"},
	{"state", "leader under claims, resident memory, by keys", "Held/leader", "rss-MB", maxRetainedKeys, 1, MaxMemoryMB, "MB", "the same"},
	{"state", "leader's heartbeats, five voters", "Heartbeat/idle", "leader-B/s", DataCenters, 1, MaxBytesPerSecond, "B/s", "one voter in each data centre"},
	{"entry", "request forwarding, processor time (not control)", "Entry/stream", "cpu-µs/request", tokensPerRequest, requestsPerNode * 1e-4, 0, "% of a core", "one flush and no lock per token"},
	{"state", "state machine in memory, by keys", "Size/teams=45000", "heap-MB", 200000, 1, MaxMemoryMB, "MB", "stored answers bounded, tombstones of 16 bytes"},
	{"state", "log blocked during a snapshot, by keys", "Size/teams=45000", "longest-capture-ms", 200000, 1, 1000, "ms", "captured by reference, encoded outside the log's loop"},
}

// Report evaluates each line of Plan on the samples and writes the table to w.
// It returns the number of lines over their limit and the number of lines with
// too few samples.
func Report(w io.Writer, samples []Sample) (over, missing int) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "role\tquantity\tsizes\tslope\tspread\tat full size\tlimit\tmechanism")
	for _, line := range Plan {
		fit, ok := FitLine(samples, line.Bench, line.Unit)
		if !ok {
			missing++
			fmt.Fprintf(tw, "%s\t%s\tnot measured\t\t\t\t\t%s\n", line.Role, line.Quantity, line.Mechanism)
			continue
		}
		value := fit.At(line.At) * line.Scale
		mark := ""
		if line.Limit > 0 && value > line.Limit {
			over++
			mark = " OVER"
		}
		fmt.Fprintf(tw, "%s\t%s\t%v\t%.3g %s\t%.0f%%\t%.3g %s%s\t%g\t%s\n", line.Role, line.Quantity, fit.Sizes, fit.Slope, line.Unit,
			percent*fit.Spread, value, line.LimitUnit, mark, line.Limit, line.Mechanism)
	}
	tw.Flush()
	fmt.Fprintf(w, "capacity: %d lines, %d over their limit, %d not measured\n", len(Plan), over, missing)
	return over, missing
}
