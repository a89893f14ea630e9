// Package room decides whether the memory of a backend server holds a further request. It has no
// clock, no input and no output.
//
// Instances learn late what the others start. However many of them act on the same state of a
// server, it runs no more requests than it has slots, and queues the others without memory for
// them. A request may therefore start if it needs no more than an equal part of the free memory
// for each free slot, its slot share: requests of that size can fill all free slots. A share of
// the memory, the reserve, is left out of this. A few instances, the holders, have an equal part of
// it each, for what requests need beyond the slot share. Any other request waits until all
// instances have been told of it.
package room

import (
	"math"

	"github.com/lilacbridge/lilacbridge/process/number"
)

const (
	// reserveShare is the share of a server's memory for what requests need beyond a slot share.
	reserveShare = 0.125
	// serversPerInstance is the mean number of servers of which an instance is a holder.
	serversPerInstance = 6
	// minHolders is the least number of holders of a server.
	minHolders = 2
	// spareParts is the number of parts that no holder has: the requests of a former holder stay
	// when another one has taken its place, and a request that ends may have been smaller than the
	// one that takes its slot before all instances know.
	spareParts = 1
	// lengthMargin is the ratio of the tokens that an answer is given room for to those expected.
	lengthMargin = 1.5
)

// Holders returns how many instances share the reserve of each of so many servers.
func Holders(instances, servers int) int {
	if servers == 0 {
		return minHolders
	}
	holders := number.Int(math.Ceil(serversPerInstance * float64(instances) / float64(servers)))
	return min(max(holders, minHolders), max(instances, 1))
}

// AnswerTokens returns the number of tokens for which an answer gets room: the expected number
// with a margin, what has been generated with the same margin if that is more, and at most the
// caller's maximum, 0 for none.
func AnswerTokens(expected, generated float64, maximum int) float64 {
	tokens := lengthMargin * max(expected, generated)
	if maximum > 0 {
		tokens = min(tokens, float64(maximum))
	}
	return max(tokens, generated)
}

// Memory describes the memory of a server.
type Memory struct {
	// Tokens is its size.
	Tokens float64
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Holders is the number of instances that share the reserve.
	Holders int
}

// EmptyShare returns the slot share of the idle server.
func (m Memory) EmptyShare() float64 {
	return (1 - reserveShare) * m.Tokens / float64(max(m.Slots, 1))
}

// Part returns a holder's part of the reserve.
func (m Memory) Part() float64 {
	return reserveShare * m.Tokens / float64(max(m.Holders, 1)+spareParts)
}

// Verdict is whether a server has room for a request, and why not.
type Verdict string

// The verdicts.
const (
	Fits Verdict = "fits"
	// NotHolder: the request needs more than a slot share and this instance has no part of the
	// reserve.
	NotHolder Verdict = "not-holder"
	// PartUsed: this instance's part of the reserve doesn't suffice.
	PartUsed Verdict = "part-used"
	// ServerFull: the requests of all instances leave too little memory.
	ServerFull Verdict = "server-full"
	// TooLarge: the request exceeds the server's memory.
	TooLarge Verdict = "too-large"
)

// State is what an instance knows of a server's memory.
type State struct {
	Memory
	// Held is what the requests of all instances need, Running their number.
	Held, Running float64
	// OwnExcess is what this instance's requests use of the reserve.
	OwnExcess float64
	// Holder is true if this instance has a part of the reserve.
	Holder bool
	// Told is true if all instances know of the request: its place has been reserved for long
	// enough.
	Told bool
	// Blind is true if requests of other instances may be missing from Held and Running.
	Blind bool
}

// SlotShare returns the part of the free memory for each free slot; negative if only the reserve
// is left.
func (s *State) SlotShare() float64 {
	share := ((1-reserveShare)*s.Tokens - s.Held) / max(float64(s.Slots)-s.Running, 1)
	if s.Blind {
		// Slots that seem free may be in use.
		share = min(share, s.EmptyShare())
	}
	return share
}

// Excess returns what a request that adds so much uses of the reserve.
func (s *State) Excess(added float64) float64 {
	if s.Told {
		return 0
	}
	return max(0, added-max(s.SlotShare(), 0))
}

// Check returns whether the server has room for a request of the given need. Added is what it
// would add to Held, which is less where it shares parts with this instance's requests.
func (s *State) Check(need, added float64) Verdict {
	switch {
	case need > s.Tokens:
		return TooLarge
	case added <= s.SlotShare():
		return Fits
	case s.Told:
		// Holders may use the reserve beside it. A request that needs the reserve itself waits
		// until the server is idle.
		if s.Held > 0 && s.Held+added > (1-reserveShare)*s.Tokens {
			return ServerFull
		}
		return Fits
	case s.Held+added > s.Tokens:
		return ServerFull
	case !s.Holder:
		return NotHolder
	case s.OwnExcess+s.Excess(added) > s.Part():
		return PartUsed
	}
	return Fits
}
