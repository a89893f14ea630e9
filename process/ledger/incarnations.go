package ledger

import (
	"cmp"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// incarnations tracks the current incarnation of each instance, the fenced (dead)
// ones, and the open claims of each.
type incarnations struct {
	current map[string]string
	fenced  map[string]struct{}
	// fenceOrder holds the fenced incarnations, oldest first.
	fenceOrder []string
	openBy     map[string]map[*entry]struct{}
}

func newIncarnations() *incarnations {
	return &incarnations{
		current: make(map[string]string),
		fenced:  make(map[string]struct{}),
		openBy:  make(map[string]map[*entry]struct{}),
	}
}

// observe records the incarnation that makes a claim. A new incarnation of an
// instance means that the previous one is dead.
//
// Otherwise claims would stay open forever after a crash, reported to callers as
// "in progress", and a delayed claim of a dead incarnation could be granted. A dead
// incarnation is fenced and never becomes current again while it is among the last
// maxFenced.
func (n *incarnations) observe(instance, incarnation string, endClaims func([]*entry)) error {
	if _, fenced := n.fenced[incarnation]; fenced {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT,
			"instance %s was taken for dead under this incarnation; it must restart or claim under a new one", instance)
	}
	previous, known := n.current[instance]
	if previous == incarnation {
		return nil
	}
	if known {
		n.retire(previous, endClaims)
	}
	n.current[instance] = incarnation
	return nil
}

func (n *incarnations) retire(incarnation string, endClaims func([]*entry)) {
	if open := n.openClaims(incarnation); len(open) > 0 {
		endClaims(open)
	}
	delete(n.openBy, incarnation)
	for instance, current := range n.current {
		if current == incarnation {
			delete(n.current, instance)
		}
	}
	n.fence(incarnation)
}

func (n *incarnations) fence(incarnation string) {
	if _, fenced := n.fenced[incarnation]; fenced {
		return
	}
	n.fenced[incarnation] = struct{}{}
	n.fenceOrder = append(n.fenceOrder, incarnation)
	if len(n.fenceOrder) > maxFenced {
		delete(n.fenced, n.fenceOrder[0])
		n.fenceOrder = n.fenceOrder[1:]
	}
}

func (n *incarnations) openClaims(incarnation string) []*entry {
	return slices.Collect(maps.Keys(n.openBy[incarnation]))
}

func (n *incarnations) addOpen(e *entry) {
	claims := n.openBy[e.holder.incarnation]
	if claims == nil {
		claims = make(map[*entry]struct{})
		n.openBy[e.holder.incarnation] = claims
	}
	claims[e] = struct{}{}
}

func (n *incarnations) removeOpen(e *entry) {
	if e.holder == nil {
		return
	}
	claims := n.openBy[e.holder.incarnation]
	delete(claims, e)
	if len(claims) == 0 {
		delete(n.openBy, e.holder.incarnation)
	}
}

func (n *incarnations) openCount() int {
	count := 0
	for _, claims := range n.openBy {
		count += len(claims)
	}
	return count
}

func (n *incarnations) currentIncarnations() []*lilacv1.LedgerIncarnation {
	var list []*lilacv1.LedgerIncarnation
	for instance, incarnation := range n.current {
		list = append(list, &lilacv1.LedgerIncarnation{Instance: instance, Incarnation: incarnation})
	}
	slices.SortFunc(list, func(a, b *lilacv1.LedgerIncarnation) int { return cmp.Compare(a.GetInstance(), b.GetInstance()) })
	return list
}
