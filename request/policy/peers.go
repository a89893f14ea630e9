package policy

import (
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/limits"
	"github.com/lilacbridge/lilacbridge/request/pace"
	"github.com/lilacbridge/lilacbridge/request/tiers"
)

const (
	// peerLeavingTTL is how long a peer's report that a server leaves is valid: the
	// interval of many digests, so that lost ones do not make the server available again.
	peerLeavingTTL = 10 * time.Second
)

// peer is the state of another instance according to its last digest.
type peer struct {
	incarnation string
	sequence    uint64
	dataCenter  string
	at          time.Time
	leaving     bool
	loads       []peerLoad
	// work is the peer's work by pool.
	work   loadboard.Work
	trials []*server
}

type peerLoad struct {
	server   *server
	inFlight float64
	held     float64
	backlog  []uint32
	pace     pace.Sum
}

// Digest implements Core.
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
		Spends:      c.teamSpends(now),
		Readings:    c.advertisedPrefixes(now),
		Work:        c.encodeWork(now),
		Limits:      c.ownLimits(now).Encode(now),
		Parts:       c.exportParts(now),
	}
	for _, p := range c.poolOrder {
		d.Cutoffs = append(d.Cutoffs, p.tiers.Cutoff(p.slotDemand(), p.queue.LowestTier()))
		d.PromiseMs = minPromise(d.PromiseMs, p.tiers.Promise())
	}
	for _, s := range c.ordered {
		if told := s.pace.Own(now); s.inUse() || told.Weight > 0 {
			inFlight, held := s.reportedUse()
			reports, percent := loadboard.EncodePace(loadboard.PaceSum(told))
			d.Loads = append(d.Loads, &lilacv1.ServerLoad{
				Server: s.name, InFlight: inFlight, Held: held, TokensLeft: number.Uint64(s.ownBacklog.total()), Backlog: s.ownBacklog.encode(),
				GapUs: s.advertisedGap(now), PaceReports: reports, PacePercent: percent,
			})
		}
		if s.leaving || s.gone {
			d.LeavingServers = append(d.LeavingServers, s.name)
		}
		if c.reportsCrash(now, s) {
			d.Ejected = append(d.Ejected, s.name)
		}
	}
	return d
}

// teamSpends lists the tokens that limited teams spent here recently.
func (c *core) teamSpends(now time.Time) []*lilacv1.TeamSpend {
	var all []*lilacv1.TeamSpend
	for _, name := range c.limits.RecentSpenders(now) {
		all = append(all, &lilacv1.TeamSpend{Team: name, Tokens: c.limits.Spent(name)})
	}
	return all
}

func limitOf(team *lilacv1.Team) limits.Limit {
	return limits.Limit{Rate: float64(team.GetTokensPerSecond()), Burst: float64(team.GetBurstTokens())}
}

// minPromise returns the shorter one of the promises; 0 ms means none yet.
func minPromise(ms uint32, promise time.Duration) uint32 {
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
		c.knownInstances[name] = true
		c.updatePeerNames()
	} else if p.incarnation == d.GetIncarnation() && d.GetSequence() <= p.sequence {
		return
	}
	p.incarnation, p.sequence, p.at = d.GetIncarnation(), d.GetSequence(), now
	c.dataCenterHeard[d.GetDataCenter()] = now
	p.dataCenter, p.leaving = d.GetDataCenter(), d.GetLeaving()
	c.applyLoads(now, p, d.GetLoads())
	c.applyWork(p, d.GetWork())
	c.sumPeerShares(now)
	c.observePeerPrefixes(now, d.GetReadings())
	c.applyPeerLimits(now, loadboard.DecodeLimits(now, d.GetLimits()))
	c.applySuspects(now, name, p, d.GetSuspects())
	c.applyParts(now, name, d.GetParts())
	for _, spend := range d.GetSpends() {
		if team := c.view.Teams[spend.GetTeam()]; team != nil {
			c.limits.ObserveSpent(name, spend.GetTeam(), limitOf(team), spend.GetTokens(), now)
		}
	}
	for _, ejected := range d.GetEjected() {
		c.applyCrashReport(now, ejected, name)
	}
	for _, leaving := range d.GetLeavingServers() {
		if s := c.servers[leaving]; s != nil {
			s.recordLeaving(now)
			if !now.Before(s.leavingUntil) {
				c.emit(AvailabilityChanged{Server: s.name, State: Paused, Reason: LeavingReported, Reporter: name, LastResponseAge: s.lastResponseAge(now), For: peerLeavingTTL})
			}
			s.leavingUntil = now.Add(peerLeavingTTL)
		}
	}
	c.applyCutoffs(now, e)
}

// cutoffsValidUntil returns when the digest's cutoffs expire; zero if they must not
// be relied on.
func (e PeerDigest) cutoffsValidUntil(now time.Time) time.Time {
	switch d := e.Digest; {
	case d.GetIncomplete():
		return time.Time{}
	case d.GetBindsMs() == 0:
		return now.Add(tiers.DefaultValidity)
	default:
		return e.At.Add(time.Duration(d.GetBindsMs()) * time.Millisecond)
	}
}

func (c *core) applyCutoffs(now time.Time, e PeerDigest) {
	byPool := make(map[string]*lilacv1.PoolCutoff, len(e.Digest.GetCutoffs()))
	for _, cutoff := range e.Digest.GetCutoffs() {
		byPool[cutoff.GetPool()] = cutoff
	}
	for _, p := range c.poolOrder {
		p.tiers.ObserveUntil(e.Digest.GetInstance(), byPool[p.name], e.cutoffsValidUntil(now))
		if ms := e.Digest.GetPromiseMs(); ms > 0 {
			p.tiers.SetPromise(time.Duration(ms) * time.Millisecond)
		}
		p.splitSlots()
		c.updateCutoff(now, p)
		c.dispatch(now, p)
	}
}

func (c *core) applyLoads(now time.Time, p *peer, loads []*lilacv1.ServerLoad) {
	c.removeLoads(p)
	for _, load := range loads {
		if s := c.servers[load.GetServer()]; s != nil {
			s.peerLoad += float64(load.GetInFlight())
			s.peerBacklog.addEncoded(load.GetBacklog(), 1)
			told := pace.Sum(loadboard.DecodePace(load.GetPaceReports(), load.GetPacePercent()))
			s.peerPace.Add(told)
			s.setPeerPace(now)
			held := float64(load.GetHeld()) * loadboard.HeldUnit
			s.memory.peerHeld += held
			p.loads = append(p.loads, peerLoad{server: s, inFlight: float64(load.GetInFlight()), held: held, backlog: load.GetBacklog(), pace: told})
			s.estimateOtherLoad(true)
			s.observePeerGap(now, time.Duration(load.GetGapUs())*time.Microsecond)
		}
	}
}

func (c *core) removeLoads(p *peer) {
	for _, load := range p.loads {
		load.server.peerLoad = max(0, load.server.peerLoad-load.inFlight)
		load.server.memory.peerHeld = max(0, load.server.memory.peerHeld-load.held)
		load.server.peerBacklog.addEncoded(load.backlog, -1)
		load.server.peerPace.Remove(load.pace)
		load.server.estimateOtherLoad(true)
	}
	p.loads = p.loads[:0]
}

func (c *core) peerGone(now time.Time, name string) {
	p := c.peers[name]
	if p == nil {
		return
	}
	c.removeLoads(p)
	c.removeTrials(p)
	delete(c.peers, name)
	c.sumPeerWork()
	c.sumPeerShares(now)
	if p.leaving {
		// It shut down after a drain and spends no more tokens.
		delete(c.knownInstances, name)
	}
	c.updatePeerNames()
	for _, pool := range c.poolOrder {
		pool.tiers.RemovePeer(name)
		pool.update(now)
		c.updateCutoff(now, pool)
		c.dispatch(now, pool)
	}
}

// updatePeerNames sets peerNames to the reachable instances in order, this one
// included.
func (c *core) updatePeerNames() {
	c.peerNames = append(c.peerNames[:0], c.options.Instance)
	for name := range c.peers {
		c.peerNames = append(c.peerNames, name)
	}
	slices.Sort(c.peerNames)
	c.limits.SetShare(len(c.peerNames), len(c.knownInstances))
}

// instanceRank returns the index of this instance among the reachable ones by name, and
// their number.
func (c *core) instanceRank() (rank, of int) {
	if len(c.peerNames) == 0 {
		return 0, 1
	}
	rank, _ = slices.BinarySearch(c.peerNames, c.options.Instance)
	return rank, len(c.peerNames)
}
