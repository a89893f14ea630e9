package policy

import (
	"math"
	"slices"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/queue"
	"github.com/lilacbridge/lilacbridge/request/shares"
)

const (
	earlyMessage = "all backend servers are busy and the time given in Retry-After has not passed; send the request again then"
	shareMessage = "all backend servers are busy and the team was served more than its share; send the request again after Retry-After"
)

// overShareReserve is the part of each server's slots that requests of a team with twice its share
// leave to other requests that wait for them.
const overShareReserve = 0.25

// honoredPart is the part of the time that a caller has left which it waits at most, whatever
// Retry-After says: one in honoredPart.
const honoredPart = 3

// In a contended pool the service of all instances decides which teams go first and which are
// refused first; see package shares. Callers that return before the time that they were told,
// or send a second copy of a waiting request, gain nothing by it.

// teamShares is the state of a pool's teams.
type teamShares struct {
	table *shares.Table
	// waiting holds the last queued request of each digest; it may have left the queue since.
	waiting map[string]*request
	stats   ShareStats
}

// ShareStats counts what the shares of teams decided in a pool.
type ShareStats struct {
	// Over is the current number of teams that were served more than their share.
	Over int
	// Yielded counts waiting requests of such teams that were refused in the place of others,
	// Early the refused requests that came before the time that their callers were told, and
	// Copies the copies of waiting requests.
	Yielded, Early, Copies uint64
}

// TeamShare is the service of a team in a pool as this instance knows it.
type TeamShare struct {
	Pool, Team string
	Weight     float64
	// Share is the service that the team is due, Here and Elsewhere what it was served at this
	// instance and at all others, Asked what it asked for, all in tokens that decay over
	// shares.Window. Share is infinite while there is room for all.
	Share, Here, Elsewhere, Asked float64
	// Age is the age of what the others told; negative if nothing is known.
	Age time.Duration
	// Excess is the service beyond the share, relative to the share.
	Excess float64
}

// sharesTeams reports whether the pool's service is divided among teams over all instances.
func (p *pool) sharesTeams() bool { return p.contended() && p.enabled(settings.TeamShares) }

func newTeamShares(weight func(uint32) float64) teamShares {
	return teamShares{table: shares.NewTable(weight), waiting: make(map[string]*request)}
}

// updateTeamWeights takes the weights of the teams from the configuration.
func (c *core) updateTeamWeights() {
	c.teamWeights = make(map[uint32]float64, len(c.view.Teams))
	for name, team := range c.view.Teams {
		c.teamWeights[shares.Key(name)] = float64(team.GetWeight())
	}
}

// updateShares divides the pool's service anew.
func (c *core) updateShares(now time.Time, p *pool) {
	if !p.sharesTeams() {
		p.queue.SetExcess(nil)
		return
	}
	p.teams.table.Update(now)
	p.teams.stats.Over = p.teams.table.Over()
	p.queue.SetExcess(p.teamExcess)
}

func (p *pool) teamExcess(team string) float64 { return p.teams.table.Excess(shares.Key(team)) }

// toldUses returns the use of teams that the others are told; nil unless the pool is contended.
func (p *pool) toldUses(now time.Time) loadboard.TeamUses {
	if !p.sharesTeams() {
		return nil
	}
	return p.teams.table.Own(now)
}

// sumPeerShares adds up the use of teams from the digests of directly connected peers. A peer
// whose digests are lost counts as if it did nothing more, until it is gone.
func (c *core) sumPeerShares(now time.Time) {
	if c.boardActive {
		return
	}
	for _, p := range c.poolOrder {
		if !p.sharesTeams() {
			continue
		}
		var sum loadboard.TeamUses
		for _, peer := range c.peers {
			if work, known := peer.work[p.key]; known {
				sum = shares.Aged(work.Teams, now.Sub(peer.at)).Plus(sum)
			}
		}
		p.teams.table.SetOthers(now, sum)
	}
}

// setBoardShares sets the use of teams at all other instances from the load board.
func (p *pool) setBoardShares(now time.Time, uses loadboard.TeamUses) {
	if uses == nil {
		uses = loadboard.TeamUses{}
	}
	p.teams.table.SetOthers(now, uses)
}

// recallRepeat finds out whether an arrival repeats a request that waits here or whose caller was
// told to return later. Repeats are no demand of their own.
func (c *core) recallRepeat(now time.Time, r *request) (repeat bool) {
	if !r.pool.sharesTeams() || r.Digest == "" {
		return false
	}
	if at, early := c.refusals.ReturnAt(now, r.Digest); early {
		r.returnAt = at
	}
	if r.pool.waitingCopy(r) != nil {
		r.pool.teams.stats.Copies++
		repeat = true
	}
	return repeat || !r.returnAt.IsZero()
}

// waitingCopy returns another request with the same digest that is in the queue; nil for none.
func (p *pool) waitingCopy(r *request) *request {
	if first := p.teams.waiting[r.Digest]; first != nil && first != r && first.item.Waiting() {
		return first
	}
	return nil
}

// placeRepeat puts a request whose caller returned early where it would be had the caller
// returned in time.
func (r *request) placeRepeat(now time.Time) {
	if r.returnAt.After(now) {
		r.item.Due = r.item.Due.Add(r.returnAt.Sub(now))
		r.item.Arrived = r.returnAt
	}
}

// ask counts the request as work that its team asks for, once.
func (c *core) ask(now time.Time, r *request) {
	if !r.asked && r.pool.sharesTeams() {
		r.asked = true
		r.pool.teams.table.Ask(now, shares.Key(r.Team), r.item.Cost)
	}
}

// parkCopy sets aside a copy of a request that waits in the queue, so that it takes no place of
// its own.
func (c *core) parkCopy(r *request) bool {
	if !r.pool.sharesTeams() || r.Digest == "" {
		return false
	}
	if r.pool.waitingCopy(r) != nil {
		r.pool.parked = append(r.pool.parked, r)
		return true
	}
	r.pool.teams.waiting[r.Digest] = r
	return false
}

// recordService counts the request's expected work as service of its team, once.
func (c *core) recordService(now time.Time, r *request) {
	if r.servedAt.IsZero() && r.pool.sharesTeams() {
		r.servedAt = now
		r.pool.teams.table.Serve(now, shares.Key(r.Team), r.item.Cost)
	}
}

// settleService corrects the service by the length of the answer once the request has ended.
func (c *core) settleService(now time.Time, r *request) {
	if r.pool.teams.waiting[r.Digest] == r {
		delete(r.pool.teams.waiting, r.Digest)
	}
	if !r.servedAt.IsZero() && !r.pool.service {
		r.pool.teams.table.Settle(now, shares.Key(r.Team), float64(r.tokens)-r.estimated, r.servedAt)
	}
}

// rememberRefusal records the time at which the caller of a refused request may return. Callers
// with little time left return earlier than told, which is not held against them.
func (c *core) rememberRefusal(now time.Time, r *request, after time.Duration) {
	if !r.Deadline.IsZero() {
		after = min(after, r.Deadline.Sub(now)/honoredPart)
	}
	if r.pool.sharesTeams() && after > 0 {
		c.refusals.Refused(now, r.Digest, now.Add(after))
	}
}

// refuseEarly refuses a request whose caller returned before the time that it was told, while
// others wait for room. The caller keeps its time of return.
func (c *core) refuseEarly(now time.Time, r *request) bool {
	if r.returnAt.IsZero() || !r.pool.full(now, r) && !r.pool.allClaimed() {
		return false
	}
	r.pool.teams.stats.Early++
	c.endShort(now, r, CheckShare, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, earlyMessage, max(r.returnAt.Sub(now), minRetryAfter))
	return true
}

// allClaimed reports whether the requests of all instances ask for as many slots as there are.
func (p *pool) allClaimed() bool {
	claimed := 0.0
	demand, others := p.demand(), p.tiers.OthersDemand()
	for position := range demand {
		claimed += demand[position] + others[position]
	}
	return claimed >= p.capacity
}

// shareReserve returns the additional number of slots of each server that a request leaves free, if
// its team was served more than its share and requests of others wait for slots at any instance.
func (p *pool) shareReserve(r *request) float64 {
	if !p.sharesTeams() {
		return 0
	}
	excess := p.teamExcess(r.Team)
	if excess <= queue.ExcessWindow {
		return 0
	}
	if !p.allClaimed() {
		return 0
	}
	return overShareReserve * min(excess, 1) * float64(p.slots())
}

// yieldTo refuses a waiting request of the arrival's level whose team was served more than its
// share, to make a place for the arrival.
func (c *core) yieldTo(now time.Time, r *request) bool {
	item := r.pool.queue.Yielding(&r.item)
	if item == nil {
		return false
	}
	r.pool.teams.stats.Yielded++
	yielding := c.requests[ID(item.ID)]
	after := c.retryAfter(r.pool)
	c.dequeue(yielding)
	c.endShort(now, yielding, CheckShare, lilacv1.ErrorKind_ERROR_KIND_OVERLOADED, shareMessage, after)
	return true
}

// teamShare returns the standing of the request's team; nil unless the pool is contended.
func (c *core) teamShare(now time.Time, r *request) *TeamShare {
	if r.pool == nil || !r.pool.sharesTeams() {
		return nil
	}
	share := r.pool.teamShare(now, r.Team)
	return &share
}

func (p *pool) teamShare(now time.Time, team string) TeamShare {
	s := p.teams.table.Of(shares.Key(team))
	age, known := p.teams.table.Age(now)
	if !known {
		age = -time.Millisecond
	}
	return TeamShare{
		Pool: p.name, Team: team, Share: s.Share, Here: s.Here.Served, Elsewhere: s.Elsewhere.Served,
		Asked: s.Total().Asked, Age: age, Excess: s.Excess,
	}
}

// TeamShares returns the standing of all teams that were served or asked for anything lately in
// contended pools, by pool and name.
func (c *core) TeamShares(now time.Time) []TeamShare {
	var all []TeamShare
	for _, p := range c.poolOrder {
		if !p.sharesTeams() {
			continue
		}
		for name, team := range c.view.Teams {
			share := p.teamShare(now, name)
			if share.Weight = math.Max(float64(team.GetWeight()), 1); share.Here+share.Elsewhere+share.Asked > 0 {
				all = append(all, share)
			}
		}
	}
	slices.SortFunc(all, func(a, b TeamShare) int {
		if a.Pool != b.Pool {
			return strings.Compare(a.Pool, b.Pool)
		}
		return strings.Compare(a.Team, b.Team)
	})
	return all
}
