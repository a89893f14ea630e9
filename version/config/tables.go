// Package config is the deterministic state machine of the configuration. It applies
// proposals, which become numbered revisions, and keeps the audit trail.
//
// Machine runs on the state processes, Follower on every instance that receives the
// revisions. Both change their tables with the same code, so that a revision has the
// same effect everywhere.
package config

import (
	"cmp"
	"maps"
	"slices"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// orderKey identifies a ModelOrder.
type orderKey struct{ server, model, adapter string }

// versionKey identifies a ServiceVersion.
type versionKey struct {
	service, version string
	lost             bool
}

// tables holds the items of one revision by name. Items are replaced, never modified
// in place, so that readers may keep references to them.
type tables struct {
	revision    uint64
	recoveries  uint32
	classes     map[string]*lilacv1.Class
	teams       map[string]*lilacv1.Team
	servers     map[string]*lilacv1.Server
	instances   map[string]*lilacv1.InstanceState
	convictions map[string]*lilacv1.Conviction
	orders      map[orderKey]*lilacv1.ModelOrder
	versions    map[versionKey]*lilacv1.ServiceVersion
	// document is nil before the first one.
	document *lilacv1.Document
	// shares is the sum of the classes' shares, in permille.
	shares uint32
	// pools caches the view's index of servers on a Follower; nil after a server change.
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
		versions:    make(map[versionKey]*lilacv1.ServiceVersion),
	}
}

func keyOf(o *lilacv1.ModelOrder) orderKey {
	return orderKey{o.GetServer(), o.GetModel(), o.GetAdapter()}
}

func versionKeyOf(v *lilacv1.ServiceVersion) versionKey {
	return versionKey{v.GetService(), v.GetVersion(), v.GetLost()}
}

// load adds the items of a snapshot to empty tables.
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
	for _, item := range s.GetVersions() {
		t.versions[versionKeyOf(item)] = item
	}
}

// snapshot returns all items sorted by name.
func (t *tables) snapshot() *lilacv1.Snapshot { return sorted(t.capture()) }

// capture returns all items unsorted, which is cheap; see Machine.Capture.
func (t *tables) capture() *lilacv1.Snapshot {
	return &lilacv1.Snapshot{
		Revision:    t.revision,
		Recoveries:  t.recoveries,
		Classes:     values(t.classes),
		Teams:       values(t.teams),
		Servers:     values(t.servers),
		Instances:   values(t.instances),
		Convictions: values(t.convictions),
		Orders:      values(t.orders),
		Versions:    values(t.versions),
		Document:    t.document,
	}
}

func values[K comparable, T any](items map[K]T) []T {
	return slices.AppendSeq(make([]T, 0, len(items)), maps.Values(items))
}

// sorted sorts the lists of s in place and returns s. Equal tables then give snapshots
// that are equal byte for byte.
func sorted(s *lilacv1.Snapshot) *lilacv1.Snapshot {
	sortByName(s.GetClasses())
	sortByName(s.GetTeams())
	sortByName(s.GetServers())
	sortByName(s.GetInstances())
	slices.SortFunc(s.GetConvictions(), func(a, b *lilacv1.Conviction) int { return cmp.Compare(a.GetDigest(), b.GetDigest()) })
	sortOrders(s.GetOrders())
	sortVersions(s.GetVersions())
	return s
}

func sortByName[T interface{ GetName() string }](list []T) []T {
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

func sortVersions(list []*lilacv1.ServiceVersion) []*lilacv1.ServiceVersion {
	slices.SortFunc(list, func(a, b *lilacv1.ServiceVersion) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetVersion(), b.GetVersion()), compareBools(a.GetLost(), b.GetLost()))
	})
	return list
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
