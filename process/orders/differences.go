package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// needs knows which engines differ from their wishes, and how many engines have
// each model, so that no step looks at all engines.
type differenceIndex struct {
	// surplus engines have a model that they are wished to lack, lacking ones the
	// other way round. Both hold only engines whose state is known.
	surplus, lacking map[string]*engine
	// wished and loaded count engines by model.
	desiredCount, loadedCount map[Model]int
}

func newDifferenceIndex() differenceIndex {
	return differenceIndex{
		surplus: make(map[string]*engine), lacking: make(map[string]*engine),
		desiredCount: make(map[Model]int), loadedCount: make(map[Model]int),
	}
}

// change runs a change of the engine's wishes or state and keeps the counts.
func (n *differenceIndex) update(e *engine, change func()) {
	n.count(e, -1)
	change()
	n.count(e, 1)
	n.classify(e)
}

// drop forgets an engine.
func (n *differenceIndex) remove(e *engine) {
	n.count(e, -1)
	delete(n.surplus, e.Name)
	delete(n.lacking, e.Name)
}

func (n *differenceIndex) count(e *engine, by int) {
	for m, load := range e.Desired {
		if load {
			n.desiredCount[m] += by
		}
		if e.loaded[m] {
			n.loadedCount[m] += by
		}
	}
}

func (n *differenceIndex) classify(e *engine) {
	delete(n.surplus, e.Name)
	delete(n.lacking, e.Name)
	if !e.loadedKnown {
		return
	}
	for m, load := range e.Desired {
		switch {
		case load && !e.loaded[m]:
			n.lacking[e.Name] = e
		case !load && e.loaded[m]:
			n.surplus[e.Name] = e
		}
	}
}

// wanted is an order that one engine needs.
type pendingOrder struct {
	engine *engine
	model  Model
	load   bool
}

// wanted lists the orders that the engines need: unloads first, since they make
// room, then loads from the model with the smallest part of its wished engines on.
func (n *differenceIndex) pendingOrders(includeLoads bool) []pendingOrder {
	var list []pendingOrder
	for _, e := range sortedByName(n.surplus) {
		list = e.appendPending(list, false)
	}
	if !includeLoads {
		return list
	}
	unloads := len(list)
	for _, e := range sortedByName(n.lacking) {
		list = e.appendPending(list, true)
	}
	loadedFraction := func(w pendingOrder) float64 {
		return float64(n.loadedCount[w.model]) / float64(n.desiredCount[w.model])
	}
	slices.SortStableFunc(list[unloads:], func(a, b pendingOrder) int { return cmp.Compare(loadedFraction(a), loadedFraction(b)) })
	return list
}

func sortedByName(engines map[string]*engine) []*engine {
	list := slices.Collect(maps.Values(engines))
	slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// missing adds the loads or the unloads that the engine needs.
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
	for _, w := range c.differences.pendingOrders(c.loadBudget.available(now)) {
		if w.engine.inFlight || w.load && !c.loadBudget.take(now) {
			continue
		}
		w.engine.inFlight = true
		w.engine.generation++
		actions = append(actions, Order{Engine: w.engine.Engine, Model: w.model, Load: w.load, Fencing: c.fencing})
	}
	return actions
}
