package ledger

import (
	"cmp"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// incarnations know which start of each instance is the current one, which are
// gone, and which claims each of them holds open.
type incarnations struct {
	current map[string]string
	fenced  map[string]struct{}
	// order holds the fenced ones from the oldest on.
	order  []string
	claims map[string]map[*entry]struct{}
}

func newIncarnations() *incarnations {
	return &incarnations{
		current: make(map[string]string),
		fenced:  make(map[string]struct{}),
		claims:  make(map[string]map[*entry]struct{}),
	}
}

// seen notes the incarnation that claims. A new one of the same instance means
// that the one before is gone.
//
// It guards against claims that stay open for ever after a crash, which callers
// would see as "in progress" without end, and against a claim of the dead that
// arrives late. It holds because a gone incarnation is fenced for good and
// never becomes current again.
func (n *incarnations) seen(instance, incarnation string, end func([]*entry)) error {
	if _, fenced := n.fenced[incarnation]; fenced {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT,
			"instance %s was taken for dead under this incarnation; it must restart or claim under a new one", instance)
	}
	before, known := n.current[instance]
	if before == incarnation {
		return nil
	}
	if known {
		n.gone(before, end)
	}
	n.current[instance] = incarnation
	return nil
}

func (n *incarnations) gone(incarnation string, end func([]*entry)) {
	if open := n.openClaims(incarnation); len(open) > 0 {
		end(open)
	}
	delete(n.claims, incarnation)
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
	n.order = append(n.order, incarnation)
	if len(n.order) > maxGone {
		delete(n.fenced, n.order[0])
		n.order = n.order[1:]
	}
}

func (n *incarnations) openClaims(incarnation string) []*entry {
	return slices.Collect(maps.Keys(n.claims[incarnation]))
}

func (n *incarnations) open(e *entry) {
	of := n.claims[e.holder.incarnation]
	if of == nil {
		of = make(map[*entry]struct{})
		n.claims[e.holder.incarnation] = of
	}
	of[e] = struct{}{}
}

func (n *incarnations) close(e *entry) {
	if e.holder == nil {
		return
	}
	of := n.claims[e.holder.incarnation]
	delete(of, e)
	if len(of) == 0 {
		delete(n.claims, e.holder.incarnation)
	}
}

func (n *incarnations) openCount() int {
	count := 0
	for _, of := range n.claims {
		count += len(of)
	}
	return count
}

func (n *incarnations) all() []*lilacv1.LedgerIncarnation {
	var list []*lilacv1.LedgerIncarnation
	for instance, incarnation := range n.current {
		list = append(list, &lilacv1.LedgerIncarnation{Instance: instance, Incarnation: incarnation})
	}
	slices.SortFunc(list, func(a, b *lilacv1.LedgerIncarnation) int { return cmp.Compare(a.GetInstance(), b.GetInstance()) })
	return list
}
