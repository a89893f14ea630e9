// Package config is the deterministic state machine of the configuration: it
// applies proposals, which become revisions, and keeps the audit trail.
//
// Machine runs on the state processes, Follower on every instance that follows
// the revisions. Both change the same tables by the same code, so that a
// revision means the same everywhere.
package config

import (
	"cmp"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// orderKey names what a ModelOrder is about.
type orderKey struct{ server, model, adapter string }

// tables hold one revision's items by name. Items are replaced, never changed
// in place, so that readers may keep them.
type tables struct {
	revision    uint64
	recoveries  uint32
	classes     map[string]*lilacv1.Class
	teams       map[string]*lilacv1.Team
	servers     map[string]*lilacv1.Server
	instances   map[string]*lilacv1.InstanceState
	convictions map[string]*lilacv1.Conviction
	orders      map[orderKey]*lilacv1.ModelOrder
	// document is nil before the first one.
	document *lilacv1.Document
	// shares is the sum of the classes' shares, in permille.
	shares uint32
	// pools is the view's index of the servers, kept by a Follower until they change.
	pools map[string][]*lilacv1.Server
}

func newTables() tables {
	return tables{
		classes:     make(map[string]*lilacv1.Class),
		teams:       make(map[string]*lilacv1.Team),
		servers:     make(map[string]*lilacv1.Server),
		instances:   make(map[string]*lilacv1.InstanceState),
		convictions: make(map[string]*lilacv1.Conviction),
		orders:      make(map[orderKey]*lilacv1.ModelOrder),
	}
}

func keyOf(o *lilacv1.ModelOrder) orderKey {
	return orderKey{o.GetServer(), o.GetModel(), o.GetAdapter()}
}

// load adds the items of a snapshot.
func (t *tables) load(s *lilacv1.Snapshot) {
	t.revision, t.recoveries, t.document = s.GetRevision(), s.GetRecoveries(), s.GetDocument()
	for _, item := range s.GetClasses() {
		t.classes[item.GetName()] = item
		t.shares += item.GetSharePermille()
	}
	for _, item := range s.GetTeams() {
		t.teams[item.GetName()] = item
	}
	for _, item := range s.GetServers() {
		t.servers[item.GetName()] = item
	}
	for _, item := range s.GetInstances() {
		t.instances[item.GetName()] = item
	}
	for _, item := range s.GetConvictions() {
		t.convictions[item.GetDigest()] = item
	}
	for _, item := range s.GetOrders() {
		t.orders[keyOf(item)] = item
	}
}

// snapshot lists all items in order of name.
func (t *tables) snapshot() *lilacv1.Snapshot { return inOrder(t.capture()) }

// capture lists all items in any order, which is quick.
func (t *tables) capture() *lilacv1.Snapshot {
	return &lilacv1.Snapshot{
		Revision:    t.revision,
		Recoveries:  t.recoveries,
		Classes:     listed(t.classes),
		Teams:       listed(t.teams),
		Servers:     listed(t.servers),
		Instances:   listed(t.instances),
		Convictions: listed(t.convictions),
		Orders:      listed(t.orders),
		Document:    t.document,
	}
}

func listed[K comparable, T any](items map[K]T) []T {
	return slices.AppendSeq(make([]T, 0, len(items)), maps.Values(items))
}

// inOrder sorts a captured snapshot by name, so that equal tables give equal
// snapshots, byte for byte.
func inOrder(s *lilacv1.Snapshot) *lilacv1.Snapshot {
	byName(s.GetClasses())
	byName(s.GetTeams())
	byName(s.GetServers())
	byName(s.GetInstances())
	slices.SortFunc(s.GetConvictions(), func(a, b *lilacv1.Conviction) int { return cmp.Compare(a.GetDigest(), b.GetDigest()) })
	sortOrders(s.GetOrders())
	return s
}

func byName[T interface{ GetName() string }](list []T) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return list
}

func sortOrders(list []*lilacv1.ModelOrder) []*lilacv1.ModelOrder {
	slices.SortFunc(list, func(a, b *lilacv1.ModelOrder) int {
		return cmp.Or(
			cmp.Compare(a.GetServer(), b.GetServer()),
			cmp.Compare(a.GetModel(), b.GetModel()),
			cmp.Compare(a.GetAdapter(), b.GetAdapter()))
	})
	return list
}
