package policy

import (
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/request/room"
)

// Slots bound the number of requests of a server, not the memory that they need. In contended
// pools a request starts only where request/room finds memory for it. While it finds none, this
// instance reserves a place on one server, which it tells the others.

const (
	// maxMissingPart is the part of the other instances that may be missing before their loads
	// count as unknown: a quarter.
	maxMissingPart = 4
	// briefAnswer is the duration of an answer that ends before other instances know of it.
	briefAnswer = loadboard.Lifetime
)

// serverMemory is what this instance knows and uses of a server's memory.
type serverMemory struct {
	// tokens is the size of the memory; 0 if unknown.
	tokens float64
	// holders is the number of instances that share the server's reserve; holder is true if this
	// one does.
	holders int
	holder  bool
	// ledger adds up what this instance's requests need, excess what they use of the reserve.
	ledger room.Ledger
	excess float64
	// peerHeld and boardHeld are what other instances need, from digests and the load board.
	peerHeld, boardHeld float64
	// lastHeld is the sum of both when the loads of the others were last known.
	lastHeld float64
	// reservation is the place reserved for a waiting request.
	reservation reservation
}

// requestMemory is the memory that a request needs.
type requestMemory struct {
	room.Request
	need float64
	// excess is what the running request uses of the reserve; charged is true while it is in the
	// ledger of its server.
	excess  float64
	charged bool
	// reserved is the server with a place for it; nil for none.
	reserved *server
}

// RoomStats describes the memory of a pool's servers.
type RoomStats struct {
	// Held is what all known requests need, Free what they leave, in tokens.
	Held, Free float64
	// Reserved counts reservations, by the reason why the request could not start.
	Reserved map[string]uint64
	// TooLarge counts refused requests that exceed the memory of each server.
	TooLarge uint64
}

// guardsMemory reports whether requests of the pool start only where there is memory for them.
func (p *pool) guardsMemory() bool {
	return p.contended() && !p.service && p.enabled(settings.MemoryGuard)
}

// guardsMemory reports whether the memory of the server is bounded for requests of the pool.
func (s *server) guardsMemory(p *pool) bool {
	return p.guardsMemory() && s.memory.tokens > 0
}

// measureMemory sets the memory that the request needs.
func (c *core) measureMemory(r *request) {
	m := &r.memory
	m.Parts, m.Rest = m.Parts[:0], float64(r.PromptTokens)
	start := 0
	for _, block := range r.Prefix[:max(len(r.Prefix)-1, 0)] {
		m.Parts = append(m.Parts, room.Part{Hash: block.Hash, Tokens: block.End - start})
		start = block.End
	}
	m.Rest -= float64(start)
	m.Answer = room.AnswerTokens(float64(r.tokens)+r.tokensLeft(c), float64(r.tokens), r.MaxTokens)
	m.need = m.Need()
}

// memoryState returns the state of the server's memory without the request.
func (s *server) memoryState(now time.Time, r *request) room.State {
	m := &s.memory
	state := room.State{
		Memory: room.Memory{Tokens: m.tokens, Slots: s.slots, Holders: m.holders},
		Held:   m.held(), Running: s.load(), OwnExcess: m.excess, Holder: m.holder, Blind: r.pool.memoryBlind,
	}
	if state.Blind {
		state.Held = max(state.Held, m.ledger.Held()+m.lastHeld)
	}
	if m.reservation.request == r {
		state.Told = !state.Blind && !now.Before(m.reservation.settledAt)
	} else if m.reservation.request != nil {
		state.Held += m.ledger.Added(&m.reservation.request.memory.Request)
		state.Running++
	}
	return state
}

// hasMemory reports whether the server has room for the request.
func (s *server) hasMemory(now time.Time, r *request) bool {
	if !s.guardsMemory(r.pool) {
		return true
	}
	state := s.memoryState(now, r)
	return state.Check(r.memory.need, s.memory.ledger.Added(&r.memory.Request)) == room.Fits
}

// needsRoom reports whether the request needs more memory than an idle server has for each slot.
func (r *request) needsRoom() bool {
	if !r.pool.guardsMemory() {
		return false
	}
	for _, s := range r.pool.servers {
		if s.guardsMemory(r.pool) {
			return r.memory.need > s.memory.size(s.slots).EmptyShare()
		}
	}
	return false
}

// collectHolders lists the servers on which a large request may use a part of the reserve.
func (c *core) collectHolders(now time.Time, r *request, h *homes) {
	if !r.needsRoom() {
		return
	}
	for i, s := range r.pool.servers {
		if s.memory.holder || s.memory.reservation.request == r {
			candidate := s.candidate(r, now, i, h)
			if r.mayLeaveHomes(now) {
				candidate.DuplicatePrefill = false
			}
			c.choice.candidates = append(c.choice.candidates, candidate)
		}
	}
}

// refuseTooLarge refuses a request that exceeds the memory of each server of its pool.
func (c *core) refuseTooLarge(now time.Time, r *request) bool {
	if !r.pool.guardsMemory() {
		return false
	}
	c.measureMemory(r)
	largest := 0.0
	for _, s := range r.pool.servers {
		if s.memory.tokens == 0 {
			return false
		}
		largest = max(largest, s.memory.tokens)
	}
	least := float64(r.PromptTokens) + max(r.estimated, 1)
	if least <= largest {
		return false
	}
	r.pool.tooLarge++
	c.end(now, r, lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, fmt.Sprintf("the prompt of %d tokens with its answer exceeds the memory of every server of %q, %.0f tokens; shorten the prompt or lower the maximum number of tokens", r.PromptTokens, r.pool.name, largest), 0)
	return true
}

// chargeMemory adds a request that starts to the ledger of its server.
func (c *core) chargeMemory(now time.Time, r *request) {
	s := r.server
	if !s.guardsMemory(r.pool) {
		return
	}
	c.measureMemory(r)
	if answerTime := number.Duration(r.memory.Answer * float64(s.gapAt(s.load()))); answerTime < briefAnswer {
		r.memory.Least = s.memory.size(s.slots).EmptyShare()
	}
	state := s.memoryState(now, r)
	r.memory.excess = state.Excess(s.memory.ledger.Added(&r.memory.Request))
	r.releaseReservation()
	s.memory.add(&r.memory)
}

func (m *serverMemory) add(needed *requestMemory) {
	needed.charged = true
	m.ledger.Add(&needed.Request)
	m.excess += needed.excess
}

func (m *serverMemory) remove(needed *requestMemory) {
	needed.charged = false
	m.ledger.Remove(&needed.Request)
	m.excess = max(0, m.excess-needed.excess)
}

// creditMemory removes a request that ends from the ledger of its server.
func (s *server) creditMemory(r *request) {
	if r.memory.charged {
		s.memory.remove(&r.memory)
	}
	r.memory.Least = 0
}

// size returns the server's memory without its holders.
func (m *serverMemory) size(slots int) room.Memory {
	return room.Memory{Tokens: m.tokens, Slots: slots}
}

// held returns what the requests of all instances need.
func (m *serverMemory) held() float64 { return m.ledger.Held() + m.peerHeld + m.boardHeld }

// refreshMemory follows answers that become longer than expected, reservations that expire and
// changes of the holders.
func (c *core) refreshMemory(now time.Time) {
	for _, p := range c.poolOrder {
		if !p.guardsMemory() {
			continue
		}
		c.assignHolders(now, p)
		p.memoryBlind = c.missesLoads(now)
		for _, s := range p.servers {
			switch {
			case !p.memoryBlind:
				s.memory.lastHeld, p.loadsKnownAt = s.memory.peerHeld+s.memory.boardHeld, now
			case now.Sub(p.loadsKnownAt) > missingTTL:
				s.memory.lastHeld = 0
			}
			for _, r := range s.running {
				if r.memory.charged && float64(r.tokens) > r.memory.Answer {
					s.memory.remove(&r.memory)
					c.measureMemory(r)
					s.memory.add(&r.memory)
				}
			}
			if v := s.memory.reservation; v.request != nil && !now.Before(v.until) {
				v.request.releaseReservation()
			}
		}
	}
}

// hearsOthers reports whether other instances are told what this one reserves.
func (c *core) hearsOthers() bool {
	return c.boardActive || len(c.peers) > 0 && c.peers[member.Others] == nil || c.fleet.size() == 1
}

// missesLoads reports whether the loads of a good part of the instances are unknown, as in a network
// partition. Single instances that end are no reason to leave room for them.
func (c *core) missesLoads(now time.Time) bool {
	heard, others := 0, len(c.fleet.members)
	for _, p := range c.peers {
		if now.Sub(p.at) <= digestSettleTime {
			heard++
		}
	}
	if c.boardActive {
		heard = c.boardInstances
	}
	return !c.hearsOthers() || others-heard > others/maxMissingPart
}

// reportedUse returns the number of requests and the memory that other instances are told for this
// instance, reserved places included.
func (s *server) reportedUse() (inFlight, heldUnits uint32) {
	m := &s.memory
	held := m.ledger.Held()
	requests := len(s.running)
	if r := m.reservation.request; r != nil {
		requests++
		held += m.ledger.Added(&r.memory.Request)
	}
	return uint32(requests), number.Uint32(held/loadboard.HeldUnit + 0.5)
}

// inUse reports whether this instance runs requests on the server or has reserved a place there.
func (s *server) inUse() bool { return len(s.running) > 0 || s.memory.reservation.request != nil }

// roomStats returns the state of the memory of the pool's servers.
func (p *pool) roomStats() RoomStats {
	stats := RoomStats{Reserved: make(map[string]uint64, len(p.reservedByReason)), TooLarge: p.tooLarge}
	for reason, count := range p.reservedByReason {
		stats.Reserved[reason] = count
	}
	for _, s := range p.servers {
		if s.guardsMemory(p) && !s.closed() {
			stats.Held += s.memory.held()
			stats.Free += max(0, s.memory.tokens-s.memory.held())
		}
	}
	return stats
}
