package loadboard

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Unit is how many prompt tokens one unit of a told backlog stands for: a load
// needs no more than the time of one step of an engine.
const Unit = 64

// Key is how a backend server is named in loads: 4 bytes in place of 20. Two
// servers of one key would share their loads; among 256 that is one fleet in 130,000.
func Key(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// Lanes is the number of lanes of a pool's engines.
const Lanes = 3

// Work is what instances start in each pool, by its key: prompt tokens a second by
// lane.
type Work map[uint32][Lanes]uint32

func (w Work) add(other Work) {
	for key, rates := range other {
		sum := w[key]
		for l, rate := range rates {
			sum[l] += rate
		}
		w[key] = sum
	}
}

// Load is what instances run on one server.
type Load struct {
	// InFlight counts requests.
	InFlight uint32
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
		for level, units := range load.Backlog {
			sum.Backlog[level] += units
		}
		l[key] = sum
	}
}

// Encode makes the word's loads, in order of their keys.
func (l Loads) Encode() []*lilacv1.EngineLoad {
	list := make([]*lilacv1.EngineLoad, 0, len(l))
	for _, key := range slices.Sorted(maps.Keys(l)) {
		load := l[key]
		told := &lilacv1.EngineLoad{Server: key, InFlight: load.InFlight}
		last := Levels
		for last > 0 && load.Backlog[last-1] == 0 {
			last--
		}
		told.Backlog = slices.Clone(load.Backlog[:last])
		list = append(list, told)
	}
	return list
}

// Decode reads a word's loads; levels that it doesn't know are left out.
func Decode(list []*lilacv1.EngineLoad) Loads {
	loads := make(Loads, len(list))
	for _, told := range list {
		load := Load{InFlight: told.GetInFlight()}
		copy(load.Backlog[:], told.GetBacklog())
		loads[told.GetServer()] = load
	}
	return loads
}
