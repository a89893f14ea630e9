package loadboard

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Unit is how many prompt tokens one unit of a told backlog stands for: a load
// needs no more than the time of one step of an engine.
const BacklogUnit = 64

// Key is how a backend server is named in loads: 4 bytes in place of 20. Two
// servers of one key would share their loads; among 256 that is one fleet in 130,000.
func Key(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// Lanes is the number of lanes of a pool's engines.
const Lanes = 3

// Places is the number of positions at which classes are given slots.
const Positions = 12

// claimUnit is the part of a slot that one unit of a told claim stands for: an
// instance of a large fleet often asks for less than one.
const slotClaimUnit = 0.25

// Work is what instances do in each pool, by its key.
type Work map[uint32]PoolWork

func (w Work) add(other Work) {
	for key, work := range other {
		sum := w[key]
		sum.Add(work)
		w[key] = sum
	}
}

// Load is what instances run on one server.
type Load struct {
	// InFlight counts requests.
	InFlight uint32
	// Yielding counts those of them that the server puts back for more urgent ones.
	Preemptible uint32
	// Backlog is the prompt work that waits, in units, by priority.
	Backlog [Levels]uint32
}

// Levels is the number of priorities at engines.
const Levels = 10

// Loads are those of all servers in use, by key.
type Loads map[uint32]Load

// add puts other's loads on top of l's.
func (l Loads) add(other Loads) {
	for key, load := range other {
		sum := l[key]
		sum.InFlight += load.InFlight
		sum.Preemptible += load.Preemptible
		for level, units := range load.Backlog {
			sum.Backlog[level] += units
		}
		l[key] = sum
	}
}

// levelBits is the room for the priority in a column of backlogs.
const levelBits = 4

// encode writes the loads into the word's columns, in order of their keys.
func (l Loads) encode(message *lilacv1.LoadWord) {
	for index, key := range slices.Sorted(maps.Keys(l)) {
		load := l[key]
		message.Servers = append(message.Servers, key)
		message.InFlight = append(message.InFlight, load.InFlight)
		message.Yielding = append(message.Yielding, load.Preemptible)
		for level, units := range load.Backlog {
			if units > 0 {
				message.BacklogAt = append(message.BacklogAt, uint32(index<<levelBits|level))
				message.Backlog = append(message.Backlog, units)
			}
		}
	}
}

// decode reads a word's columns; servers and levels that it doesn't know are left out.
func decodeLoads(message *lilacv1.LoadWord) Loads {
	servers, inFlight := message.GetServers(), message.GetInFlight()
	known := min(len(servers), len(inFlight))
	loads := make(Loads, known)
	for i, key := range servers[:known] {
		load := Load{InFlight: inFlight[i]}
		if yielding := message.GetYielding(); i < len(yielding) {
			load.Preemptible = min(yielding[i], inFlight[i])
		}
		loads[key] = load
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
