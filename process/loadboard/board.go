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
	answerBudget = 250_000
	// wordSize and serverSize are the usual bytes of a word and of a server in it.
	wordSize   = 200
	serverSize = 8
	// longestInterval is the interval beyond which a board is no use: loads would be
	// older than Lifetime after three steps.
	longestInterval = Lifetime / 2
)

// Board is the knowledge of one instance. Calls must not overlap.
type Board struct {
	self member.Peer
	// peers are the other instances that live, neighbours how many of them are in this
	// data centre, servers how many backend servers there are.
	peers               []member.Peer
	neighbours, servers int
	own                 Report
	news                news
	// parts are the loads of this data centre's other instances, where this one
	// collects them, sums those of other data centres.
	parts, sums map[string]word
	// others is the last answer of the collector.
	others  word
	asked   map[string]time.Time
	avoided map[string]time.Time
}

// word is what was heard, and when; its readings are kept as news.
type word struct {
	Report
	at time.Time
}

func (w word) fresh(now time.Time) bool { return w.Loads != nil && now.Sub(w.at) <= Lifetime }

// heard keeps a word's sums.
func heard(now time.Time, w Report) word {
	w.CachedPrefixes = nil
	return word{w, now}
}

// New returns a board that knows nobody else.
func New(self member.Peer) *Board {
	return &Board{
		self: self, parts: make(map[string]word), sums: make(map[string]word),
		asked: make(map[string]time.Time), avoided: make(map[string]time.Time), news: make(news),
	}
}

// SetPeers names the other instances that live.
func (b *Board) SetPeers(peers []member.Peer) {
	b.peers, b.neighbours = slices.Clone(peers), 0
	for _, peer := range peers {
		if peer.DataCenter == b.self.DataCenter {
			b.neighbours++
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
	b.news.add(now, own.CachedPrefixes, origin{b.self.Name, b.self.DataCenter})
}

// Active tells whether the fleet is of the size for a board.
func (b *Board) Active() bool {
	return len(b.peers)+1 > member.MeshLimit && b.interval() <= longestInterval
}

// interval lies between two words to the same instance, so that a collector's answers
// to its neighbours stay within its budget.
func (b *Board) interval() time.Duration {
	answers := float64(b.neighbours * (wordSize + serverSize*b.servers))
	return max(Interval, time.Duration(answers/answerBudget*float64(time.Second)))
}

// collectors are the instances of the best rank, by data centre.
func (b *Board) collectors(now time.Time) map[string]member.Peer {
	best := map[string]member.Peer{b.self.DataCenter: b.self}
	for _, peer := range b.peers {
		if now.Before(b.avoided[peer.Name]) {
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
	own := collectors[b.self.DataCenter]
	if own.Name != b.self.Name {
		if b.due(now, own.Name) {
			word := b.own
			word.CachedPrefixes = b.news.of(now, origin{b.self.Name, b.self.DataCenter})
			return []Outgoing{{own, word}}
		}
		return nil
	}
	var asks []Outgoing
	for _, dataCenter := range slices.Sorted(maps.Keys(collectors)) {
		peer := collectors[dataCenter]
		// One of the two begins; the other does where it heard nothing.
		begins := member.CompareRank(b.self.Name, peer.Name) < 0 || !b.sums[dataCenter].fresh(now)
		if dataCenter != b.self.DataCenter && begins && b.due(now, peer.Name) {
			asks = append(asks, Outgoing{peer, b.ofDataCenter(now)})
		}
	}
	return asks
}

func (b *Board) due(now time.Time, name string) bool {
	if last, known := b.asked[name]; known && now.Sub(last) < b.interval() {
		return false
	}
	b.asked[name] = now
	return true
}

// collected is what this data centre's instances run, but for the one named.
func (b *Board) collected(now time.Time, without string) Report {
	sum := newWord(b.servers)
	if without != b.self.Name {
		sum.add(b.own)
	}
	for name, part := range b.parts {
		if name != without && part.fresh(now) {
			sum.add(part.Report)
		}
	}
	return sum
}

// ofDataCenter is the word of this data centre for another one.
func (b *Board) ofDataCenter(now time.Time) Report {
	sum := b.collected(now, "")
	sum.CachedPrefixes = b.news.ofDataCenter(now, b.self.DataCenter)
	return sum
}

// Receive takes a word and returns the answer: to an instance of the own data
// centre what all others run, to a foreign collector what this one's run.
func (b *Board) Receive(now time.Time, from, dataCenter string, w Report) Report {
	b.news.add(now, w.CachedPrefixes, origin{from, dataCenter})
	if dataCenter != b.self.DataCenter {
		b.sums[dataCenter] = heard(now, w)
		return b.ofDataCenter(now)
	}
	b.parts[from] = heard(now, w)
	return b.without(now, from)
}

// without is what all but the instance named run and sent.
func (b *Board) without(now time.Time, name string) Report {
	sum := b.collected(now, name)
	for _, foreign := range b.sums {
		if foreign.fresh(now) {
			sum.add(foreign.Report)
		}
	}
	sum.CachedPrefixes = b.news.without(now, name)
	return sum
}

// Answered takes the answer of a peer.
func (b *Board) HandleReply(now time.Time, peer member.Peer, w Report) {
	b.news.add(now, w.CachedPrefixes, origin{peer.Name, peer.DataCenter})
	if peer.DataCenter != b.self.DataCenter {
		b.sums[peer.DataCenter] = heard(now, w)
		return
	}
	b.others = heard(now, w)
}

// Failed passes the peer over for some time.
func (b *Board) MarkFailed(now time.Time, peer member.Peer) {
	b.avoided[peer.Name] = now.Add(AvoidPeriod)
}

// Others is what all other instances run and sent lately; false while that isn't
// known.
func (b *Board) Others(now time.Time) (Report, bool) {
	if !b.Active() {
		return Report{}, false
	}
	if b.collectors(now)[b.self.DataCenter].Name == b.self.Name {
		return b.without(now, b.self.Name), true
	}
	others := b.others.Report
	others.CachedPrefixes = b.news.without(now, b.self.Name)
	return others, b.others.fresh(now)
}

// Forget drops what no longer counts.
func (b *Board) Expire(now time.Time) {
	stale := func(_ string, w word) bool { return !w.fresh(now) }
	maps.DeleteFunc(b.parts, stale)
	maps.DeleteFunc(b.sums, stale)
	maps.DeleteFunc(b.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	b.news.forget(now)
	maps.DeleteFunc(b.asked, func(_ string, at time.Time) bool { return now.Sub(at) > Lifetime })
}
