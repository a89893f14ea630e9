package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// needs knows which engines differ from their wishes, and how many engines have
// each model, so that no step looks at all engines.
type needs struct {
	// surplus engines have a model that they are wished to lack, lacking ones the
	// other way round. Both hold only engines whose state is known.
	surplus, lacking map[string]*engine
	// wished and loaded count engines by model.
	wished, loaded map[Model]int
}

func newNeeds() needs {
	return needs{
		surplus: make(map[string]*engine), lacking: make(map[string]*engine),
		wished: make(map[Model]int), loaded: make(map[Model]int),
	}
}

// change runs a change of the engine's wishes or state and keeps the counts.
func (n *needs) change(e *engine, change func()) {
	n.count(e, -1)
	change()
	n.count(e, 1)
	n.judge(e)
}

// drop forgets an engine.
func (n *needs) drop(e *engine) {
	n.count(e, -1)
	delete(n.surplus, e.Name)
	delete(n.lacking, e.Name)
}

func (n *needs) count(e *engine, by int) {
	for m, load := range e.Desired {
		if load {
			n.wished[m] += by
		}
		if e.has[m] {
			n.loaded[m] += by
		}
	}
}

func (n *needs) judge(e *engine) {
	delete(n.surplus, e.Name)
	delete(n.lacking, e.Name)
	if !e.known {
		return
	}
	for m, load := range e.Desired {
		switch {
		case load && !e.has[m]:
			n.lacking[e.Name] = e
		case !load && e.has[m]:
			n.surplus[e.Name] = e
		}
	}
}

// wanted is an order that one engine needs.
type wanted struct {
	engine *engine
	model  Model
	load   bool
}

// wanted lists the orders that the engines need: unloads first, since they make
// room, then loads from the model with the smallest part of its wished engines on.
func (n *needs) wanted(loads bool) []wanted {
	var list []wanted
	for _, e := range inOrder(n.surplus) {
		list = e.missing(list, false)
	}
	if !loads {
		return list
	}
	unloads := len(list)
	for _, e := range inOrder(n.lacking) {
		list = e.missing(list, true)
	}
	part := func(w wanted) float64 { return float64(n.loaded[w.model]) / float64(n.wished[w.model]) }
	slices.SortStableFunc(list[unloads:], func(a, b wanted) int { return cmp.Compare(part(a), part(b)) })
	return list
}

func inOrder(engines map[string]*engine) []*engine {
	list := slices.Collect(maps.Values(engines))
	slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// missing adds the loads or the unloads that the engine needs.
func (e *engine) missing(list []wanted, load bool) []wanted {
	for _, m := range slices.SortedFunc(maps.Keys(e.Desired), compareModels) {
		if e.Desired[m] == load && e.has[m] != load {
			list = append(list, wanted{e, m, load})
		}
	}
	return list
}

func compareModels(a, b Model) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
}

func (c *Core) orders(now time.Time) []Action {
	var actions []Action
	for _, w := range c.needs.wanted(c.bucket.holds(now)) {
		if w.engine.busy || w.load && !c.bucket.take(now) {
			continue
		}
		w.engine.busy = true
		w.engine.turn++
		actions = append(actions, Order{Engine: w.engine.Engine, Model: w.model, Load: w.load, Fencing: c.fencing})
	}
	return actions
}
