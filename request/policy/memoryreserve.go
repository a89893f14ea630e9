package policy

import (
	"time"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
	"github.com/lilacbridge/lilacbridge/request/room"
)

const (
	// reservationTTL is how long a place is reserved before another server is tried.
	reservationTTL = 3 * time.Second
	// boardSettleTime and digestSettleTime are how long after a reservation all instances know of
	// it, by load board and by digests.
	boardSettleTime  = loadboard.Lifetime
	digestSettleTime = 600 * time.Millisecond
)

// reservation is a place on a server for a request of this instance.
type reservation struct {
	// request is nil for no reservation.
	request *request
	// settledAt is when all instances know of it, until when it ends.
	settledAt, until time.Time
}

// RoomReserved reports that a place on a server is reserved for a request.
type RoomReserved struct {
	ID     ID
	Server string
	// Need is the request's memory, Held what the requests of all instances need there, Memory the
	// size of the server's memory, SlotShare the free memory for each free slot.
	Need, Held, Memory, SlotShare float64
	// Reason is why the request could not start.
	Reason room.Verdict
}

func (RoomReserved) action() {}

// settleTime returns how long it takes until all instances know of a reservation.
func (c *core) settleTime() time.Duration {
	switch {
	case c.boardActive:
		return boardSettleTime
	case len(c.peers) > 0:
		return digestSettleTime
	}
	return 0
}

// reservedSlots returns the number of slots that the request must leave free for the one that a
// place is reserved for.
func (s *server) reservedSlots(r *request) float64 {
	if other := s.memory.reservation.request; other != nil && other != r && positionOf(r.class) >= positionOf(other.class) {
		return 1
	}
	return 0
}

// reserveRoom reserves a place for a large request that could not start.
func (c *core) reserveRoom(now time.Time, r *request) {
	if s := r.memory.reserved; s != nil && now.Before(s.memory.reservation.until) || !r.needsRoom() || !c.hearsOthers() {
		return
	}
	r.releaseReservation()
	s := c.serverToReserve(now, r)
	if s == nil {
		return
	}
	state := s.memoryState(now, r)
	verdict := state.Check(r.memory.need, s.memory.ledger.Added(&r.memory.Request))
	s.memory.reservation = reservation{request: r, settledAt: now.Add(c.settleTime()), until: now.Add(c.jitter(reservationTTL))}
	r.memory.reserved = s
	if r.pool.reservedByReason == nil {
		r.pool.reservedByReason = make(map[string]uint64)
	}
	r.pool.reservedByReason[string(verdict)]++
	c.emit(RoomReserved{ID: r.ID, Server: s.name, Need: r.memory.need, Held: state.Held, Memory: state.Tokens, SlotShare: state.SlotShare(), Reason: verdict})
}

// serverToReserve returns the server with the most free memory, this instance's own parts of the
// reserve first; nil if there is none.
func (c *core) serverToReserve(now time.Time, r *request) *server {
	var best *server
	for _, s := range r.pool.servers {
		if s.unavailable(now) || !s.maySend(now, r) || !s.guardsMemory(r.pool) || s.memory.tokens < r.memory.need || s.memory.reservation.request != nil {
			continue
		}
		if best == nil || s.betterToReserve(best) {
			best = s
		}
	}
	return best
}

func (s *server) betterToReserve(other *server) bool {
	if s.memory.holder != other.memory.holder {
		return s.memory.holder
	}
	return s.memory.tokens-s.memory.held() > other.memory.tokens-other.memory.held()
}

// releaseReservation gives up the request's reserved place.
func (r *request) releaseReservation() {
	if s := r.memory.reserved; s != nil {
		s.memory.reservation, r.memory.reserved = reservation{}, nil
	}
}
