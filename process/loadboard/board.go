// Package loadboard lets the instances of a large fleet know within half a second
// what all of them run on each backend server.
//
// Few instances tell each other in their digests. Where digests travel in a tree,
// an instance sees a part of the requests in a hundred, and what it hears is
// seconds old: engines with seconds of prompts to read seem idle to all. So in
// each data centre the instance of the best rank is the collector. The others
// tell it their loads, it exchanges sums with the collectors of the other data
// centres, and answers with what all others run: three steps, of one interval each
// at most.
package loadboard

import (
	"maps"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/member"
)

const (
	// Interval lies between two words to the same instance. Engines read some 10,000
	// tokens meanwhile, less than one long prompt.
	Interval = 250 * time.Millisecond
	// Lifetime is how long a word counts. Loads change within a second or two, and
	// older ones keep requests from engines that are idle again.
	Lifetime = 1200 * time.Millisecond
	// Avoidance is how long a collector that failed is passed over.
	AvoidPeriod = 3 * time.Second
	// answerBudget is how many bytes a second a collector may answer with, a fifth of a
	// link of 10 Mbit/s. Words come more seldom where that takes longer than Interval.
	replyBytesPerSecond = 250_000
	// wordSize and serverSize are the usual bytes of a word and of a server in it.
	reportBytes = 200
	serverBytes = 8
	// longestInterval is the interval beyond which a board is no use: loads would be
	// older than Lifetime after three steps.
	maxInterval = Lifetime / 2
)

// Board is the knowledge of one instance. Calls must not overlap.
type Board struct {
	self member.Peer
	// peers are the other instances that live, neighbours how many of them are in this
	// data centre, servers how many backend servers there are.
	peers               []member.Peer
	localPeers, servers int
	own                 Report
	recentPrefixes      prefixLog
	// parts are the loads of this data centre's other instances, where this one
	// collects them, sums those of other data centres.
	localReports, remoteReports map[string]received
	// others is the last answer of the collector.
	collectorReply received
	lastSent       map[string]time.Time
	avoidedUntil   map[string]time.Time
}

// word is what was heard, and when; its readings are kept as news.
type received struct {
	Report
	at time.Time
}

func (w received) fresh(now time.Time) bool { return w.Loads != nil && now.Sub(w.at) <= Lifetime }

// heard keeps a word's sums.
func receivedReport(now time.Time, w Report) received {
	w.CachedPrefixes = nil
	return received{w, now}
}

// New returns a board that knows nobody else.
func New(self member.Peer) *Board {
	return &Board{
		self: self, localReports: make(map[string]received), remoteReports: make(map[string]received),
		lastSent: make(map[string]time.Time), avoidedUntil: make(map[string]time.Time), recentPrefixes: make(prefixLog),
	}
}

// SetPeers names the other instances that live.
func (b *Board) SetPeers(peers []member.Peer) {
	b.peers, b.localPeers = slices.Clone(peers), 0
	for _, peer := range peers {
		if peer.DataCenter == b.self.DataCenter {
			b.localPeers++
		}
	}
}

// SetOwn gives the own loads, and the shared parts that were sent lately.
func (b *Board) SetOwn(now time.Time, own Report) {
	if own.Servers > 0 {
		b.servers = own.Servers
	}
	own.Instances = 1
	b.own = own
	b.recentPrefixes.add(now, own.CachedPrefixes, origin{b.self.Name, b.self.DataCenter})
}

// Active tells whether the fleet is of the size for a board.
func (b *Board) Active() bool {
	return len(b.peers)+1 > member.MeshLimit && b.interval() <= maxInterval
}

// interval lies between two words to the same instance, so that a collector's answers
// to its neighbours stay within its budget.
func (b *Board) interval() time.Duration {
	replyBytes := float64(b.localPeers * (reportBytes + serverBytes*b.servers))
	return max(Interval, time.Duration(replyBytes/replyBytesPerSecond*float64(time.Second)))
}

// collectors are the instances of the best rank, by data centre.
func (b *Board) collectors(now time.Time) map[string]member.Peer {
	best := map[string]member.Peer{b.self.DataCenter: b.self}
	for _, peer := range b.peers {
		if now.Before(b.avoidedUntil[peer.Name]) {
			continue
		}
		if other, known := best[peer.DataCenter]; !known || member.CompareRank(peer.Name, other.Name) < 0 {
			best[peer.DataCenter] = peer
		}
	}
	return best
}

// Ask is a word to be sent to a peer.
type Outgoing struct {
	Peer   member.Peer
	Report Report
}

// Due returns the words that are to be sent now.
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
		// One of the two begins; the other does where it heard nothing.
		initiates := member.CompareRank(b.self.Name, peer.Name) < 0 || !b.remoteReports[dataCenter].fresh(now)
		if dataCenter != b.self.DataCenter && initiates && b.sendDue(now, peer.Name) {
			due = append(due, Outgoing{peer, b.dataCenterReport(now)})
		}
	}
	return due
}

func (b *Board) sendDue(now time.Time, name string) bool {
	if previous, known := b.lastSent[name]; known && now.Sub(previous) < b.interval() {
		return false
	}
	b.lastSent[name] = now
	return true
}

// collected is what this data centre's instances run, but for the one named.
func (b *Board) sumLocal(now time.Time, except string) Report {
	sum := newReport(b.servers)
	if except != b.self.Name {
		sum.add(b.own)
	}
	for name, local := range b.localReports {
		if name != except && local.fresh(now) {
			sum.add(local.Report)
		}
	}
	return sum
}

// ofDataCenter is the word of this data centre for another one.
func (b *Board) dataCenterReport(now time.Time) Report {
	sum := b.sumLocal(now, "")
	sum.CachedPrefixes = b.recentPrefixes.reportedIn(now, b.self.DataCenter)
	return sum
}

// Receive takes a word and returns the answer: to an instance of the own data
// centre what all others run, to a foreign collector what this one's run.
func (b *Board) Receive(now time.Time, from, dataCenter string, report Report) Report {
	b.recentPrefixes.add(now, report.CachedPrefixes, origin{from, dataCenter})
	if dataCenter != b.self.DataCenter {
		b.remoteReports[dataCenter] = receivedReport(now, report)
		return b.dataCenterReport(now)
	}
	b.localReports[from] = receivedReport(now, report)
	return b.reportExcept(now, from)
}

// without is what all but the instance named run and sent.
func (b *Board) reportExcept(now time.Time, except string) Report {
	sum := b.sumLocal(now, except)
	for _, remote := range b.remoteReports {
		if remote.fresh(now) {
			sum.add(remote.Report)
		}
	}
	sum.CachedPrefixes = b.recentPrefixes.reportedByOthers(now, except)
	return sum
}

// Answered takes the answer of a peer.
func (b *Board) HandleReply(now time.Time, peer member.Peer, report Report) {
	b.recentPrefixes.add(now, report.CachedPrefixes, origin{peer.Name, peer.DataCenter})
	if peer.DataCenter != b.self.DataCenter {
		b.remoteReports[peer.DataCenter] = receivedReport(now, report)
		return
	}
	b.collectorReply = receivedReport(now, report)
}

// Failed passes the peer over for some time.
func (b *Board) MarkFailed(now time.Time, peer member.Peer) {
	b.avoidedUntil[peer.Name] = now.Add(AvoidPeriod)
}

// Others is what all other instances run and sent lately; false while that isn't
// known.
func (b *Board) Others(now time.Time) (Report, bool) {
	if !b.Active() {
		return Report{}, false
	}
	if b.collectors(now)[b.self.DataCenter].Name == b.self.Name {
		return b.reportExcept(now, b.self.Name), true
	}
	others := b.collectorReply.Report
	others.CachedPrefixes = b.recentPrefixes.reportedByOthers(now, b.self.Name)
	return others, b.collectorReply.fresh(now)
}

// Forget drops what no longer counts.
func (b *Board) Expire(now time.Time) {
	stale := func(_ string, w received) bool { return !w.fresh(now) }
	maps.DeleteFunc(b.localReports, stale)
	maps.DeleteFunc(b.remoteReports, stale)
	maps.DeleteFunc(b.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	b.recentPrefixes.expire(now)
	maps.DeleteFunc(b.lastSent, func(_ string, at time.Time) bool { return now.Sub(at) > Lifetime })
}
