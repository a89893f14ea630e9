package loadboard

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
)

// BacklogUnit is the number of prompt tokens per unit of an encoded backlog. A
// finer resolution than the duration of one engine step is not needed.
const BacklogUnit = 64

// HeldUnit is the number of tokens per unit of memory needed. It is far less than a
// request that matters for the memory of a server.
const HeldUnit = 64

// Key returns the key of a server, pool or data centre in reports: 4 bytes instead
// of a name of about 20. Two servers with the same key share their loads; with 256
// servers, that occurs in one fleet in 130,000.
func Key(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// Lanes is the number of lanes of a pool's engines.
const Lanes = 3

// Positions is the number of positions at which classes are allocated slots.
const Positions = 12

// slotClaimUnit is the fraction of a slot per unit of an encoded claim: an instance
// of a large fleet often claims less than one slot.
const slotClaimUnit = 0.25

// Work holds the work of instances by pool key.
type Work map[uint32]PoolWork

func (w Work) add(other Work) {
	for key, work := range other {
		sum := w[key]
		sum.Add(work)
		w[key] = sum
	}
}

// Load is the load of instances on one server.
type Load struct {
	// InFlight is the number of requests.
	InFlight uint32
	// Preemptible is the number of those requests that the server may preempt for more
	// urgent ones.
	Preemptible uint32
	// Held is the memory that those requests need, in HeldUnits; 0 if unknown.
	Held uint32
	// Backlog is the queued prompt work in BacklogUnits, by priority.
	Backlog [Levels]uint32
	// Pace is what instances know of the server's lasting pace.
	Pace PaceSum
}

// PaceSum adds up what instances know of how long work takes on a server relative to a usual one.
// Weight counts the reports behind it, Speed sums the fourth power of the speed, the inverse of the
// pace.
type PaceSum struct{ Weight, Speed float64 }

// speedExponent is the power of the speeds in a PaceSum.
const speedExponent = 4

func (s *PaceSum) add(other PaceSum) {
	s.Weight += other.Weight
	s.Speed += other.Speed
}

// maxPaceReports bounds the number of reports that one message may state.
const maxPaceReports = 1 << 16

// percentUnit is the number of percent in a whole.
const percentUnit = 100

// EncodePace returns the number of reports behind a pace, and the pace in percent of a usual
// server's.
func EncodePace(sum PaceSum) (reports, percent uint32) {
	if sum.Weight <= 0 || sum.Speed <= 0 {
		return 0, 0
	}
	pace := math.Pow(sum.Speed/sum.Weight, -1.0/speedExponent)
	return number.Uint32(sum.Weight + 0.5), number.Uint32(min(percentUnit*pace+0.5, 1<<paceBits-1))
}

// DecodePace is the reverse of EncodePace. Values that no instance sends count as unknown.
func DecodePace(reports, percent uint32) PaceSum {
	if reports == 0 || reports > maxPaceReports || percent == 0 || percent >= 1<<paceBits {
		return PaceSum{}
	}
	return PaceSum{Weight: float64(reports), Speed: float64(reports) * math.Pow(float64(percent)/percentUnit, -speedExponent)}
}

// Levels is the number of engine priorities.
const Levels = 10

// Loads holds the loads of all servers in use, by server key.
type Loads map[uint32]Load

// add adds other's loads to l.
func (l Loads) add(other Loads) {
	for key, load := range other {
		sum := l[key]
		sum.InFlight += load.InFlight
		sum.Preemptible += load.Preemptible
		sum.Pace.add(load.Pace)
		sum.Held += load.Held
		for level, units := range load.Backlog {
			sum.Backlog[level] += units
		}
		l[key] = sum
	}
}

// paceBits is the number of bits of the percentage in an encoded pace.
const paceBits = 14

// levelBits is the number of bits of the priority in an encoded backlog position.
const levelBits = 4

// encode writes the loads into the message's columns, sorted by server key.
func (l Loads) encode(message *lilacv1.LoadWord) {
	held := false
	for index, key := range slices.Sorted(maps.Keys(l)) {
		load := l[key]
		message.Servers = append(message.Servers, key)
		message.InFlight = append(message.InFlight, load.InFlight)
		message.Yielding = append(message.Yielding, load.Preemptible)
		if reports, percent := EncodePace(load.Pace); reports > 0 {
			message.PaceAt = append(message.PaceAt, uint32(index))
			message.Pace = append(message.Pace, reports<<paceBits|percent)
		}
		held = held || load.Held > 0
		message.Held = append(message.Held, load.Held)
		for level, units := range load.Backlog {
			if units > 0 {
				message.BacklogAt = append(message.BacklogAt, uint32(index<<levelBits|level))
				message.Backlog = append(message.Backlog, units)
			}
		}
	}
	if !held {
		message.Held = nil
	}
}

// decodeLoads reads the message's columns. Unknown servers and priorities are
// ignored.
func decodeLoads(message *lilacv1.LoadWord) Loads {
	servers, inFlight := message.GetServers(), message.GetInFlight()
	known := min(len(servers), len(inFlight))
	loads := make(Loads, known)
	for i, key := range servers[:known] {
		load := Load{InFlight: inFlight[i]}
		if yielding := message.GetYielding(); i < len(yielding) {
			load.Preemptible = min(yielding[i], inFlight[i])
		}
		if held := message.GetHeld(); i < len(held) {
			load.Held = held[i]
		}
		loads[key] = load
	}
	for i, at := range message.GetPaceAt() {
		if i >= len(message.GetPace()) || int(at) >= known {
			continue
		}
		load, units := loads[servers[at]], message.GetPace()[i]
		load.Pace = DecodePace(units>>paceBits, units&(1<<paceBits-1))
		loads[servers[at]] = load
	}
	for i, at := range message.GetBacklogAt() {
		index, level := int(at>>levelBits), int(at&(1<<levelBits-1))
		if i >= len(message.GetBacklog()) || index >= known || level >= Levels {
			continue
		}
		load := loads[servers[index]]
		load.Backlog[level] = message.GetBacklog()[i]
		loads[servers[index]] = load
	}
	return loads
}
