package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/loadboard"
)

// mostlyFullFleet returns n instances with 40 engines that are full by the load board, except for
// the idle ones.
func mostlyFullFleet(n int, idle ...string) []*core {
	var fleet []*core
	for i := range n {
		c := withIndirectDigests(coreWithEngines(fmt.Sprintf("e%d", i), 20, "a", "b"))
		c.random = rand.New(rand.NewPCG(uint64(i), 1))
		c.view.Classes["draft"].FirstTokenMs = 2000
		c.pools["llm"].recordUse(c.view.Classes["draft"], epoch)
		c.Step(epoch, Tick{})
		loads := loadboard.Loads{}
		for _, s := range c.pools["llm"].servers {
			loads[s.key] = loadboard.Load{InFlight: uint32(s.slots)}
		}
		for _, name := range idle {
			loads[loadboard.Key(name)] = loadboard.Load{InFlight: uint32(c.servers[name].slots - 8)}
		}
		for l := range c.pools["llm"].laneStartRates {
			c.pools["llm"].laneStartRates[l] = 10
		}
		c.Step(epoch, PeerLoads{Report: loadboard.Report{Loads: loads, Instances: n - 1}})
		fleet = append(fleet, c)
	}
	return fleet
}

// 75 instances learned at the same moment that two engines had free slots, and each sent them
// forty requests before the next load update.
func TestFewInstancesUseAnEngineWithFreeSlots(t *testing.T) {
	is := is.New(t)
	users := 0
	for _, c := range mostlyFullFleet(75, "a-3", "b-4") {
		if s := c.servers["a-3"]; !s.skipped {
			users++
		}
	}
	is.True(users > 0 && users < 75/4)
}

// While most engines have free slots, every instance may use all of them.
func TestEnginesWithFreeSlotsAreOpenToAllInstances(t *testing.T) {
	is := is.New(t)
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprintf("a-%d", i), fmt.Sprintf("b-%d", i))
	}
	for _, c := range mostlyFullFleet(10, all...) {
		for _, s := range c.pools["llm"].servers {
			is.True(!s.skipped)
		}
	}
}

// Of two engines with free slots one was open to the instance, which sent it all requests that
// arrived before the next load update.
func TestInstanceStartsOnlyItsPartBetweenUpdates(t *testing.T) {
	is := is.New(t)
	c := mostlyFullFleet(4)[0]
	s := c.servers["a-3"]
	full := make(loadboard.Loads)
	for _, other := range c.pools["llm"].servers {
		if other != s {
			full[other.key] = loadboard.Load{InFlight: uint32(other.slots)}
		}
	}
	c.Step(epoch, PeerLoads{Report: loadboard.Report{Loads: full, Instances: 3}})
	s.skipped = false
	for id := range ID(60) {
		c.Step(epoch, draft(id+1))
	}
	is.True(len(s.running) > 0)
	is.True(len(s.running) <= s.slots/2) // its part is a quarter
}
