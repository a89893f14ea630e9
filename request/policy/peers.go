package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/limits"
	"github.com/lilacbridge/lilacbridge/request/tiers"
)

const (
	// peerEject is how long a peer's word of a crash keeps a server out.
	peerEject = 2 * time.Second
	// peerLeaving is how long a peer's word that a server leaves holds: many
	// digests, so that lost ones let nothing through.
	peerLeaving = 10 * time.Second
	// crashNews is how long a crash is told to the peers.
	crashNews = time.Second
)

// peer is another instance, by its last digest.
type peer struct {
	incarnation string
	sequence    uint64
	dataCenter  string
	at          time.Time
	leaving     bool
	loads       []peerLoad
	// work is what it does in each pool.
	work   loadboard.Work
	trials []*server
}

type peerLoad struct {
	server   *server
	inFlight float64
	backlog  []uint32
}

// Digest tells the other instances what this one does.
func (c *core) Digest(now time.Time) *lilacv1.Digest {
	c.sequence++
	d := &lilacv1.Digest{
		Instance:    c.options.Instance,
		DataCenter:  c.options.DataCenter,
		Incarnation: c.options.Incarnation,
		Sequence:    c.sequence,
		Leaving:     c.draining,
		Revision:    c.view.Revision,
		Suspects:    c.suspects.Export(now),
		Spends:      c.spends(now),
		Readings:    c.toldReadings(now),
		Work:        c.toldWork(),
		Limits:      c.ownLimits(now).Encode(now),
	}
	for _, p := range c.poolOrder {
		d.Cutoffs = append(d.Cutoffs, p.tiers.Cutoff(p.claim(), p.queue.LowestTier()))
		d.PromiseMs = shorterPromise(d.PromiseMs, p.tiers.Promise())
	}
	for _, s := range c.ordered {
		if len(s.own) > 0 {
			d.Loads = append(d.Loads, &lilacv1.ServerLoad{Server: s.name, InFlight: uint32(len(s.own)), TokensLeft: uint64(s.ahead.total()), Backlog: s.ahead.told(), GapUs: s.gapTold(now)})
		}
		if s.leaving || s.gone {
			d.LeavingServers = append(d.LeavingServers, s.name)
		}
		if now.Before(s.ejectedUntil) && now.Sub(s.crashedAt) < crashNews {
			d.Ejected = append(d.Ejected, s.name)
		}
	}
	return d
}

// spends lists what limited teams spent here lately.
func (c *core) spends(now time.Time) []*lilacv1.TeamSpend {
	var all []*lilacv1.TeamSpend
	for _, name := range c.limits.RecentSpenders(now) {
		all = append(all, &lilacv1.TeamSpend{Team: name, Tokens: c.limits.Spent(name)})
	}
	return all
}

func limitOf(team *lilacv1.Team) limits.Limit {
	return limits.Limit{Rate: float64(team.GetTokensPerSecond()), Burst: float64(team.GetBurstTokens())}
}

// shorterPromise is the promise of all pools together: the shortest.
func shorterPromise(ms uint32, promise time.Duration) uint32 {
	if ms == 0 {
		return uint32(promise.Milliseconds())
	}
	return min(ms, uint32(promise.Milliseconds()))
}

func (c *core) peerDigest(now time.Time, e PeerDigest) {
	d := e.Digest
	name := d.GetInstance()
	if name == c.options.Instance {
		return
	}
	p := c.peers[name]
	if p == nil {
		p = &peer{}
		c.peers[name] = p
		c.known[name] = true
		c.namePeers()
	} else if p.incarnation == d.GetIncarnation() && d.GetSequence() <= p.sequence {
		return
	}
	p.incarnation, p.sequence, p.at = d.GetIncarnation(), d.GetSequence(), now
	c.heardOf[d.GetDataCenter()] = now
	p.dataCenter, p.leaving = d.GetDataCenter(), d.GetLeaving()
	c.takeLoads(now, p, d.GetLoads())
	c.takeWork(p, d.GetWork())
	c.hearReadings(now, d.GetReadings())
	c.hearLimits(now, loadboard.DecodeLimits(now, d.GetLimits()))
	c.takeSuspects(now, name, p, d.GetSuspects())
	for _, spend := range d.GetSpends() {
		if team := c.view.Teams[spend.GetTeam()]; team != nil {
			c.limits.ObserveSpent(name, spend.GetTeam(), limitOf(team), spend.GetTokens(), now)
		}
	}
	for _, ejected := range d.GetEjected() {
		c.takeEjected(now, ejected)
	}
	for _, leaving := range d.GetLeavingServers() {
		if s := c.servers[leaving]; s != nil {
			s.noteLeaving(now)
			s.leavingUntil = now.Add(peerLeaving)
		}
	}
	c.takeCutoffs(now, e)
}

// bindsUntil is when the digest's cutoffs bind no longer; zero if they never did.
func (e PeerDigest) bindsUntil(now time.Time) time.Time {
	switch d := e.Digest; {
	case d.GetIncomplete():
		return time.Time{}
	case d.GetBindsMs() == 0:
		return now.Add(tiers.DefaultValidity)
	default:
		return e.At.Add(time.Duration(d.GetBindsMs()) * time.Millisecond)
	}
}

func (c *core) takeCutoffs(now time.Time, e PeerDigest) {
	byPool := make(map[string]*lilacv1.PoolCutoff, len(e.Digest.GetCutoffs()))
	for _, cutoff := range e.Digest.GetCutoffs() {
		byPool[cutoff.GetPool()] = cutoff
	}
	for _, p := range c.poolOrder {
		p.tiers.ObserveUntil(e.Digest.GetInstance(), byPool[p.name], e.bindsUntil(now))
		if ms := e.Digest.GetPromiseMs(); ms > 0 {
			p.tiers.SetPromise(time.Duration(ms) * time.Millisecond)
		}
		p.splitSlots()
		c.cutoff(now, p)
		c.dispatch(now, p)
	}
}

func (c *core) takeLoads(now time.Time, p *peer, loads []*lilacv1.ServerLoad) {
	c.dropLoads(p)
	for _, load := range loads {
		if s := c.servers[load.GetServer()]; s != nil {
			s.peers += float64(load.GetInFlight())
			s.peersAhead.merge(load.GetBacklog(), 1)
			p.loads = append(p.loads, peerLoad{server: s, inFlight: float64(load.GetInFlight()), backlog: load.GetBacklog()})
			s.join(true)
			s.hearGap(now, time.Duration(load.GetGapUs())*time.Microsecond)
		}
	}
}

func (c *core) dropLoads(p *peer) {
	for _, load := range p.loads {
		load.server.peers = max(0, load.server.peers-load.inFlight)
		load.server.peersAhead.merge(load.backlog, -1)
		load.server.join(true)
	}
	p.loads = p.loads[:0]
}

// takeEjected believes a peer's word that a server crashed: its connections
// broke before ours noticed.
func (c *core) takeEjected(now time.Time, name string) {
	s := c.servers[name]
	if s != nil {
		c.noteCrash(now, s)
		c.noteGone(now, s)
	}
	if s == nil || s.ejectedUntil.After(now.Add(peerEject)) {
		return
	}
	s.ejectedUntil = now.Add(peerEject)
	s.probing = true
}

func (c *core) peerGone(now time.Time, name string) {
	p := c.peers[name]
	if p == nil {
		return
	}
	c.dropLoads(p)
	c.dropTrials(p)
	delete(c.peers, name)
	c.sumWork()
	if p.leaving {
		// It went in order and spends nothing any more.
		delete(c.known, name)
	}
	c.namePeers()
	for _, pool := range c.poolOrder {
		pool.tiers.RemovePeer(name)
		pool.measure(now)
		c.cutoff(now, pool)
		c.dispatch(now, pool)
	}
}

// namePeers keeps the reachable instances in order, this one included.
func (c *core) namePeers() {
	c.peerNames = append(c.peerNames[:0], c.options.Instance)
	for name := range c.peers {
		c.peerNames = append(c.peerNames, name)
	}
	slices.Sort(c.peerNames)
	c.limits.SetShare(len(c.peerNames), len(c.known))
}

// rank is this instance's place among the reachable ones.
func (c *core) rank() (place, of int) {
	if len(c.peerNames) == 0 {
		return 0, 1
	}
	place, _ = slices.BinarySearch(c.peerNames, c.options.Instance)
	return place, len(c.peerNames)
}
