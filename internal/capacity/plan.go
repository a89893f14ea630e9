package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// The size to design for, and what a node may spend on control.
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
	// claimsPerSecond is the load if one request in ten is non-idempotent.
	claimsPerSecond = RequestsPerSecond / 10
	// heldKeys is how many keys the ledger holds at most within their retention.
	maxRetainedKeys = 100000
	// subsetSize is how many servers of a pool an instance uses at most.
	subsetSize     = 100
	pollsPerSecond = 8
	// followers is how many entries follow one.
	followers = 8
)

// Line is one line of the capacity table: a metric of a benchmark, scaled to
// what one process of the role spends.
type Line struct {
	Role   string
	Metric string
	Bench  string
	Unit   string
	// At is the size that the line is read at.
	At float64
	// Times turns the value at that size into the unit of the cap.
	Scale float64
	// Cap is what a node may spend, or 0 for none; CapUnit names its unit.
	Limit     float64
	LimitUnit string
	// Mechanism carries the load.
	Mechanism string
}

// Plan holds every line of docs/CAPACITY.md that is worked out from a slope.
var Plan = []Line{
	{"entry", "digests, mean", "Traffic", "mean-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "mesh up to 10 entries, then a tree of fanout 5"},
	{"relay entry", "digests, busiest", "Traffic", "max-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "the same tree, relays exchange sums"},
	{"relay entry", "membership core", "Traffic", "core-%", Nodes, 1, MaxCorePercent, "% of a core", "one exchange a second with each neighbour"},
	{"entry", "digests on the wire, mean", "Wire", "mean-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "the same, with framing and packet headers"},
	{"relay entry", "digests on the wire, busiest", "Wire", "max-B/s", Nodes, 1, MaxBytesPerSecond, "B/s", "the same; frames share packets, no pings while messages pass"},
	{"relay entry", "signs of life on the wire", "Signs", "signs-B/s", followers, 1, MaxBytesPerSecond, "B/s", "fanout 8, one a second, none from followers"},
	{"entry", "revisions, inside", "Spread/tree", "near-B/rev", Nodes, changesPerSecond / Nodes, MaxBytesPerSecond, "B/s", "tree of fanout 8 by rank"},
	{"relay entry", "revisions, between data centres", "Spread/tree", "far-B/rev", Nodes, changesPerSecond, MaxBytesPerSecond, "B/s", "one flow into each data centre"},
	{"state", "revisions, out", "Spread/tree", "state-B/rev", Nodes, changesPerSecond, MaxBytesPerSecond, "B/s", "only relays follow a state process"},
	{"entry", "change in force at the last", "Spread/tree", "worst-ms", Nodes, 1e-3, MaxInForceSeconds, "s", "pushed down the tree"},
	{"entry", "snapshot at start, whole", "Snapshot", "sent-B", Teams, 1.0 / MaxBytesPerSecond, MaxInForceSeconds, "s at 13 KB/s", "parts, compressed, resumed"},
	{"entry", "teams and classes in memory", "ViewHeap/teams", "heap-B", Teams, 1.0 / megabyte, MaxMemoryMB, "MB", "one shared view"},
	{"entry", "backend servers in memory", "ViewHeap/servers", "heap-B", Replicas, 1.0 / megabyte, MaxMemoryMB, "MB", "one shared view"},
	{"entry", "policy core in memory", "CoreHeap", "heap-B", Replicas, 1.0 / megabyte, MaxMemoryMB, "MB", "a subset of the pool for each instance"},
	{"entry", "change of a team applied", "TeamChange", "ns/op", Teams, changesPerSecond * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "only the changed map is cloned"},
	{"entry", "choice of a server", "CoreRequest", "ns/op", Replicas, requestsPerNode * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "the best of a sample out of a subset"},
	{"entry", "digests received", "CoreDigest", "ns/op", Nodes, digestsPerSecond * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "combined in the tree: at most six a second"},
	{"entry", "polls of backend servers, bytes", "Polls/fresh", "poll-B/s", subsetSize, 1, MaxBytesPerSecond, "B/s", "a budget of eight calls a second, in turn"},
	{"entry", "polls, processor time of both sides", "Polls/fresh", "ns/op", subsetSize, pollsPerSecond * percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "the same"},
	{"entry", "whole process, resident", "Weigh/entry", "rss-MB", Teams, 1, MaxMemoryMB, "MB", "all of the above"},
	{"entry", "whole process, idle", "Weigh/entry", "core-%", Teams, 1, MaxCorePercent, "% of a core", "few wake-ups while idle"},
	{"entry", "whole process, idle, on the wire", "Weigh/entry", "wire-B/s", Teams, 1, MaxBytesPerSecond, "B/s", "all of the above"},
	{"entry", "one query of all requests, 200 at each instance", "Query/all", "gathered-MB", Nodes, 1, MaxMemoryMB, "MB", "narrowed at each instance, 50,000 rows at most"},
	{"lease holder", "core for orders, all engines to be loaded", "Holder/rollout", "ns/op", Replicas, percent / nanosecondsPerCore, MaxCorePercent, "% of a core", "a bucket of seven readings a second, urgent ones first"},
	{"lease holder", "readings on the wire", "Readings", "wire-B/s", Replicas, 1, MaxBytesPerSecond, "B/s", "the same"},
	{"lease holder", "readings, processor time of both sides", "Readings", "core-%", Replicas, 1, MaxCorePercent, "% of a core", "the same"},
	{"lease holder", "readings a second", "Holder/steady", "reads/s", Replicas, 1, 0, "calls/s", "the same"},
	{"state", "whole leader, resident", "Weigh/leader", "rss-MB", Teams, 1, MaxMemoryMB, "MB", "one copy of the configuration"},
	{"state", "whole leader, idle", "Weigh/leader", "core-%", Teams, 1, MaxCorePercent, "% of a core", "one heartbeat each 200 ms to each voter"},
	{"state", "whole leader, idle, three voters, on the wire", "Weigh/leader", "wire-B/s", Teams, 1, MaxBytesPerSecond, "B/s", "the same"},
	{"state", "whole follower, idle", "Weigh/follower", "core-%", Teams, 1, MaxCorePercent, "% of a core", "an answer to each heartbeat"},
	{"state", "whole follower, idle, on the wire", "Weigh/follower", "wire-B/s", Teams, 1, MaxBytesPerSecond, "B/s", "the same"},
	{"state", "whole follower under claims, no control", "Claimed/follower", "core-%", claimsPerSecond, 1, 0, "% of a core", "claims that wait share a sync"},
	{"state", "whole follower under claims, on the wire", "Claimed/follower", "wire-B/s", claimsPerSecond, 1e-6, 0, "MB/s", "the same"},
	{"state", "whole leader of five under claims, no control", "Claimed/leader", "core-%", claimsPerSecond, 1, 0, "% of a core", "the same"},
	{"state", "whole leader of five under claims, on the wire", "Claimed/leader", "wire-B/s", claimsPerSecond, 1e-6, 0, "MB/s", "the same"},
	{"state", "whole follower under claims, resident, by keys", "Held/follower", "rss-MB", maxRetainedKeys, 1, MaxMemoryMB, "MB", "snapshots encoded in parts"},
	{"state", "whole leader under claims, resident, by keys", "Held/leader", "rss-MB", maxRetainedKeys, 1, MaxMemoryMB, "MB", "the same"},
	{"state", "leader's heartbeats, five voters", "Heartbeat/idle", "leader-B/s", DataCenters, 1, MaxBytesPerSecond, "B/s", "one voter in each data centre"},
	{"entry", "callers' traffic itself, no control", "Entry/stream", "cpu-µs/request", tokensPerRequest, requestsPerNode * 1e-4, 0, "% of a core", "one flush and no lock for a token"},
	{"state", "machine in memory, by keys", "Size/teams=45000", "heap-MB", 200000, 1, MaxMemoryMB, "MB", "answers bounded, tombstones of 16 bytes"},
	{"state", "snapshot holds the log up, by keys", "Size/teams=45000", "longest-capture-ms", 200000, 1, 1000, "ms", "captured by reference, encoded beside the log's loop"},
}

// Report fits each line of the plan to the samples and prints the table. It
// returns how many lines break their cap, and how many had too few samples.
func Report(w io.Writer, samples []Sample) (over, missing int) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "role\twhat\tsizes\tslope\tspread\tat full size\tcap\tmechanism")
	for _, line := range Plan {
		fit, ok := FitLine(samples, line.Bench, line.Unit)
		if !ok {
			missing++
			fmt.Fprintf(tw, "%s\t%s\tnot measured\t\t\t\t\t%s\n", line.Role, line.Metric, line.Mechanism)
			continue
		}
		value := fit.At(line.At) * line.Scale
		mark := ""
		if line.Limit > 0 && value > line.Limit {
			over++
			mark = " OVER"
		}
		fmt.Fprintf(tw, "%s\t%s\t%v\t%.3g %s\t%.0f%%\t%.3g %s%s\t%g\t%s\n", line.Role, line.Metric, fit.Sizes, fit.Slope, line.Unit,
			percent*fit.Spread, value, line.LimitUnit, mark, line.Limit, line.Mechanism)
	}
	tw.Flush()
	fmt.Fprintf(w, "capacity: %d lines, %d over their cap, %d not measured\n", len(Plan), over, missing)
	return over, missing
}
