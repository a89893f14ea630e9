package policy

import (
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/pace"
)

// Servers that share their hardware with other work state how long work takes at this moment; see
// package pace and docs/design/uneven-servers.md. All learned times are those of a usual server, so
// that a sample from a slow server does not make the others seem slow.

const (
	// fastQuantile is the quantile of the servers' kinds that others are compared with.
	fastQuantile = 0.25
	// slowKind is the kind, relative to a fast server's, from which lanes for strict targets use
	// a server only if no other is left.
	slowKind = 1.4
)

// PaceStats are the paces of a server: as the server stated it last, as it lasts, as work is
// expected to take now, and what answers showed beside the reports. 1 is a usual server; 0 means not
// known.
type PaceStats struct{ Reported, Kind, Now, Measured float64 }

// serviceSeconds returns the expected response time of an idle plain service.
func (s *server) serviceSeconds() float64 { return s.serviceTime * s.paceNow }

// prefillSeconds returns the expected time to prefill so many tokens.
func (s *server) prefillSeconds(tokens float64) float64 { return s.prefill * s.paceNow * tokens }

// recordPace records the pace that a load report states.
func (s *server) recordPace(now time.Time, e LoadReport) {
	if e.Pace != 0 && s.pace.Report(now.Add(-e.Age), e.Pace) {
		s.refreshPace(now)
	}
}

// refreshPace updates the values that the estimates use.
func (s *server) refreshPace(now time.Time) {
	s.paceNow, s.paceKind = s.pace.Now(now), s.pace.Kind()
}

// forgetPace drops the pace of a server that was replaced.
func (s *server) forgetPace(now time.Time) {
	s.pace.Forget()
	s.refreshPace(now)
}

// setPeerPace applies what other instances know of the server's kind.
func (s *server) setPeerPace(now time.Time) {
	sum := s.peerPace
	sum.Add(s.boardPace)
	s.pace.SetOthers(sum)
	s.refreshPace(now)
}

// updatePaces recomputes what depends on the paces of the pool's servers.
func (p *pool) updatePaces(now time.Time) {
	for _, s := range p.servers {
		p.paced = p.paced || s.pace.Known()
	}
	if !p.paced {
		return
	}
	kinds := p.prefillScratch[:0]
	for _, s := range p.servers {
		s.refreshPace(now)
		kinds = append(kinds, s.paceKind)
	}
	slices.Sort(kinds)
	p.prefillScratch = kinds
	p.fastKind = kinds[number.Int(fastQuantile*float64(len(kinds)-1))]
}

// meanKind returns the mean kind of the pool's servers; one that is not known counts as usual.
func (p *pool) meanKind() float64 {
	if !p.paced {
		return pace.Usual
	}
	sum := 0.0
	for _, s := range p.servers {
		sum += s.paceKind
	}
	return sum / float64(len(p.servers))
}

// isSlow reports whether the server is of a slow kind among its pool's.
func (p *pool) isSlow(s *server) bool {
	return p.paced && s.pace.Known() && s.paceKind > slowKind*p.fastKind
}

// homeRank returns the server's rank among the homes of a prompt by the hash of both. It follows
// the kind alone: homes that moved with each report would have their prompts prefilled again.
func (p *pool) homeRank(s *server, hash uint64) uint64 {
	if !p.paced {
		return hash
	}
	return pace.Rank(hash, pace.Weight(s.paceKind))
}

// startWeight returns the share of a lane's work that the server gets, relative to a usual one.
func (s *server) startWeight() float64 { return pace.Weight(s.paceKind) }

// orderForLanes moves the slow servers of a group to where the lanes that are taken from both ends
// reach last, and returns the sizes of these lanes. The lanes' work is a share of all; fast
// servers do it in smaller number.
func (p *pool) orderForLanes(group []*server, tight, quick int) {
	if !p.paced {
		return
	}
	var fast, slow []*server
	for _, s := range group {
		if p.isSlow(s) {
			slow = append(slow, s)
		} else {
			fast = append(fast, s)
		}
	}
	first := max(len(fast)-quick, min(tight, len(fast)))
	copy(group, slices.Concat(fast[:first], slow, fast[first:]))
}

// laneWorkFactor converts a share of the group's work to a share of its servers, for lanes that are
// filled with fast ones.
func (p *pool) laneWorkFactor(group []*server) float64 {
	if !p.paced {
		return 1
	}
	all, fast, count := 0.0, 0.0, 0.0
	for _, s := range group {
		all += s.startWeight()
		if !p.isSlow(s) {
			fast += s.startWeight()
			count++
		}
	}
	if fast == 0 {
		return 1
	}
	return all / float64(len(group)) / (fast / count)
}

// paceStats returns the paces of the servers that state them.
func (c *core) paceStats() map[string]PaceStats {
	paces := make(map[string]PaceStats)
	for _, s := range c.ordered {
		if s.pace.Known() {
			reported := s.pace.LastReport()
			paces[s.name] = PaceStats{Reported: reported, Kind: s.paceKind, Now: s.paceNow, Measured: s.pace.Residual() * reported}
		}
	}
	return paces
}
