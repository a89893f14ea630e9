package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// differenceIndex tracks which engines differ from their desired state, and how
// many engines have each model, so that no step has to scan all engines.
type differenceIndex struct {
	// surplus holds the engines with a model to be unloaded, lacking those with a
	// model to be loaded. Both hold only engines whose state is known.
	surplus, lacking map[string]*engine
	// desiredCount and loadedCount count engines by model.
	desiredCount, loadedCount map[Model]int
}

func newDifferenceIndex() differenceIndex {
	return differenceIndex{
		surplus: make(map[string]*engine), lacking: make(map[string]*engine),
		desiredCount: make(map[Model]int), loadedCount: make(map[Model]int),
	}
}

// update applies a change of the engine's desired or actual state and keeps the
// counts consistent.
func (d *differenceIndex) update(e *engine, apply func()) {
	d.count(e, -1)
	apply()
	d.count(e, 1)
	d.classify(e)
}

// remove removes an engine.
func (d *differenceIndex) remove(e *engine) {
	d.count(e, -1)
	delete(d.surplus, e.Name)
	delete(d.lacking, e.Name)
}

func (d *differenceIndex) count(e *engine, delta int) {
	for m, load := range e.Desired {
		if load {
			d.desiredCount[m] += delta
		}
		if e.loaded[m] {
			d.loadedCount[m] += delta
		}
	}
}

func (d *differenceIndex) classify(e *engine) {
	delete(d.surplus, e.Name)
	delete(d.lacking, e.Name)
	if !e.loadedKnown {
		return
	}
	for m, load := range e.Desired {
		switch {
		case load && !e.loaded[m]:
			d.lacking[e.Name] = e
		case !load && e.loaded[m]:
			d.surplus[e.Name] = e
		}
	}
}

// pendingOrder is an order that an engine needs.
type pendingOrder struct {
	engine *engine
	model  Model
	load   bool
}

// pendingOrders returns the orders that the engines need: unloads first, since they
// free memory, then loads if includeLoads is set, starting with the model that has
// the smallest loaded fraction of its desired engines.
func (d *differenceIndex) pendingOrders(includeLoads bool) []pendingOrder {
	var list []pendingOrder
	for _, e := range sortedByName(d.surplus) {
		list = e.appendPending(list, false)
	}
	if !includeLoads {
		return list
	}
	unloads := len(list)
	for _, e := range sortedByName(d.lacking) {
		list = e.appendPending(list, true)
	}
	loadedFraction := func(o pendingOrder) float64 {
		return float64(d.loadedCount[o.model]) / float64(d.desiredCount[o.model])
	}
	slices.SortStableFunc(list[unloads:], func(a, b pendingOrder) int { return cmp.Compare(loadedFraction(a), loadedFraction(b)) })
	return list
}

func sortedByName(engines map[string]*engine) []*engine {
	list := slices.Collect(maps.Values(engines))
	slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// appendPending appends the loads or the unloads that the engine needs.
func (e *engine) appendPending(list []pendingOrder, load bool) []pendingOrder {
	for _, m := range slices.SortedFunc(maps.Keys(e.Desired), compareModels) {
		if e.Desired[m] == load && e.loaded[m] != load {
			list = append(list, pendingOrder{e, m, load})
		}
	}
	return list
}

func compareModels(a, b Model) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
}

func (c *Core) nextOrders(now time.Time) []Action {
	var actions []Action
	for _, pending := range c.differences.pendingOrders(c.loadBudget.available(now)) {
		if pending.engine.inFlight || pending.load && !c.loadBudget.take(now) {
			continue
		}
		pending.engine.inFlight = true
		pending.engine.generation++
		actions = append(actions, Order{Engine: pending.engine.Engine, Model: pending.model, Load: pending.load, Fencing: c.fencing})
	}
	return actions
}
