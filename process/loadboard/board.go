// Package loadboard distributes the load of every backend server to all instances
// of a large fleet within about half a second.
//
// Small fleets exchange loads in their digests. Where digests travel through a
// tree, an instance sees about one request in a hundred and its information is
// seconds old, so engines with seconds of queued prompts seem idle. Therefore the
// highest-ranked instance of each data centre acts as its collector: the others
// report their loads to it, it exchanges sums with the collectors of the other data
// centres, and it replies with the load of all others. That is three steps of at
// most one interval each.
package loadboard

import (
	"maps"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// Interval is the time between two reports to the same instance. An engine
	// prefills about 10,000 tokens in that time, less than one long prompt.
	Interval = 250 * time.Millisecond
	// Lifetime is how long a report is used. Loads change within a second or two,
	// and older ones keep requests away from engines that are idle again.
	Lifetime = 1200 * time.Millisecond
	// AvoidPeriod is how long a failed collector is not used.
	AvoidPeriod = 3 * time.Second
	// replyBytesPerSecond is the reply budget of a collector: a fifth of a 10
	// Mbit/s link. The interval is extended where replies would exceed it.
	replyBytesPerSecond = 250_000
	// reportBytes and serverBytes are the typical encoded sizes of a report and of
	// one server in it.
	reportBytes = 200
	serverBytes = 8
	// maxInterval is the interval beyond which the board is inactive: after three
	// steps, loads would be older than Lifetime.
	maxInterval = Lifetime / 2
)

// Board is the load information of one instance. It is not safe for concurrent use.
type Board struct {
	self member.Peer
	// peers are the other live instances, localPeers the number of them in this
	// data centre, servers the number of backend servers.
	peers               []member.Peer
	localPeers, servers int
	own                 Report
	recentPrefixes      prefixLog
	// localReports holds the reports of this data centre's other instances, if this
	// instance is the collector; remoteReports holds those of other data centres.
	localReports, remoteReports map[string]received
	// collectorReply is the last reply of the collector.
	collectorReply received
	lastSent       map[string]time.Time
	avoidedUntil   map[string]time.Time
}

// received is a report with its time of receipt. Its cached prefixes are kept in
// the prefixLog instead.
type received struct {
	Report
	at time.Time
}

func (r received) isFresh(now time.Time) bool { return r.Loads != nil && now.Sub(r.at) <= Lifetime }

// newReceived stores a report without its cached prefixes.
func newReceived(now time.Time, report Report) received {
	report.CachedPrefixes = nil
	return received{report, now}
}

// New returns the board of the instance self, without peers.
func New(self member.Peer) *Board {
	return &Board{
		self: self, localReports: make(map[string]received), remoteReports: make(map[string]received),
		lastSent: make(map[string]time.Time), avoidedUntil: make(map[string]time.Time), recentPrefixes: make(prefixLog),
	}
}

// SetPeers sets the other live instances.
func (b *Board) SetPeers(peers []member.Peer) {
	b.peers, b.localPeers = slices.Clone(peers), 0
	for _, peer := range peers {
		if peer.DataCenter == b.self.DataCenter {
			b.localPeers++
		}
	}
}

// SetOwn sets the own load and adds the cached prefixes that the report lists.
func (b *Board) SetOwn(now time.Time, own Report) {
	if own.Servers > 0 {
		b.servers = own.Servers
	}
	own.Instances = 1
	b.own = own
	b.recentPrefixes.add(now, own.CachedPrefixes, origin{b.self.Name, b.self.DataCenter})
}

// Active reports whether the fleet has a size for which the board is used.
func (b *Board) Active() bool {
	return len(b.peers)+1 > member.MeshLimit && b.interval() <= maxInterval
}

// interval returns the time between two reports to the same instance, chosen so
// that a collector's replies stay within their budget.
func (b *Board) interval() time.Duration {
	replyBytes := float64(b.localPeers * (reportBytes + serverBytes*b.servers))
	return max(Interval, number.Seconds(replyBytes/replyBytesPerSecond))
}

// collectors returns the highest-ranked usable instance of each data centre.
func (b *Board) collectors(now time.Time) map[string]member.Peer {
	best := map[string]member.Peer{b.self.DataCenter: b.self}
	for _, peer := range b.peers {
		if now.Before(b.avoidedUntil[peer.Name]) {
			continue
		}
		if current, known := best[peer.DataCenter]; !known || member.CompareRank(peer.Name, current.Name) < 0 {
			best[peer.DataCenter] = peer
		}
	}
	return best
}

// Outgoing is a report to be sent to a peer.
type Outgoing struct {
	Peer   member.Peer
	Report Report
}

// Due returns the reports to be sent now.
func (b *Board) Due(now time.Time) []Outgoing {
	if !b.Active() {
		return nil
	}
	collectors := b.collectors(now)
	collector := collectors[b.self.DataCenter]
	if collector.Name != b.self.Name {
		if b.sendDue(now, collector.Name) {
			report := b.own
			report.CachedPrefixes = b.recentPrefixes.reportedBy(now, origin{b.self.Name, b.self.DataCenter})
			return []Outgoing{{collector, report}}
		}
		return nil
	}
	var due []Outgoing
	for _, dataCenter := range slices.Sorted(maps.Keys(collectors)) {
		peer := collectors[dataCenter]
		// The higher-ranked one initiates; the other does if it has received
		// nothing.
		initiates := member.CompareRank(b.self.Name, peer.Name) < 0 || !b.remoteReports[dataCenter].isFresh(now)
		if dataCenter != b.self.DataCenter && initiates && b.sendDue(now, peer.Name) {
			due = append(due, Outgoing{peer, b.dataCenterReport(now)})
		}
	}
	return due
}

func (b *Board) sendDue(now time.Time, peer string) bool {
	if previous, known := b.lastSent[peer]; known && now.Sub(previous) < b.interval() {
		return false
	}
	b.lastSent[peer] = now
	return true
}

// sumLocal returns the load of this data centre's instances, except the named one.
func (b *Board) sumLocal(now time.Time, except string) Report {
	sum := newReport(b.servers)
	if except != b.self.Name {
		sum.add(b.own)
	}
	for name, local := range b.localReports {
		if name != except && local.isFresh(now) {
			sum.add(local.Report)
		}
	}
	return sum
}

// dataCenterReport returns the report of this data centre for another one.
func (b *Board) dataCenterReport(now time.Time) Report {
	sum := b.sumLocal(now, "")
	sum.CachedPrefixes = b.recentPrefixes.reportedIn(now, b.self.DataCenter)
	return sum
}

// Receive stores a peer's report and returns the reply: the load of all others for
// an instance of this data centre, the load of this data centre for another
// collector.
func (b *Board) Receive(now time.Time, from, dataCenter string, report Report) Report {
	b.recentPrefixes.add(now, report.CachedPrefixes, origin{from, dataCenter})
	if dataCenter != b.self.DataCenter {
		b.remoteReports[dataCenter] = newReceived(now, report)
		return b.dataCenterReport(now)
	}
	b.localReports[from] = newReceived(now, report)
	return b.reportExcept(now, from)
}

// reportExcept returns the load and recent prefixes of all instances except the
// named one.
func (b *Board) reportExcept(now time.Time, except string) Report {
	sum := b.sumLocal(now, except)
	for _, remote := range b.remoteReports {
		if remote.isFresh(now) {
			sum.add(remote.Report)
		}
	}
	sum.CachedPrefixes = b.recentPrefixes.reportedByOthers(now, except)
	return sum
}

// HandleReply stores the reply of a peer.
func (b *Board) HandleReply(now time.Time, peer member.Peer, report Report) {
	b.recentPrefixes.add(now, report.CachedPrefixes, origin{peer.Name, peer.DataCenter})
	if peer.DataCenter != b.self.DataCenter {
		b.remoteReports[peer.DataCenter] = newReceived(now, report)
		return
	}
	b.collectorReply = newReceived(now, report)
}

// MarkFailed excludes the peer as a collector for AvoidPeriod.
func (b *Board) MarkFailed(now time.Time, peer member.Peer) {
	b.avoidedUntil[peer.Name] = now.Add(AvoidPeriod)
}

// Others returns the load and recent cached prefixes of all other instances, and
// false if that is not known.
func (b *Board) Others(now time.Time) (Report, bool) {
	if !b.Active() {
		return Report{}, false
	}
	if b.collectors(now)[b.self.DataCenter].Name == b.self.Name {
		return b.reportExcept(now, b.self.Name), true
	}
	others := b.collectorReply.Report
	others.CachedPrefixes = b.recentPrefixes.reportedByOthers(now, b.self.Name)
	return others, b.collectorReply.isFresh(now)
}

// Expire removes outdated information.
func (b *Board) Expire(now time.Time) {
	stale := func(_ string, r received) bool { return !r.isFresh(now) }
	maps.DeleteFunc(b.localReports, stale)
	maps.DeleteFunc(b.remoteReports, stale)
	maps.DeleteFunc(b.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	b.recentPrefixes.expire(now)
	maps.DeleteFunc(b.lastSent, func(_ string, at time.Time) bool { return now.Sub(at) > Lifetime })
}
