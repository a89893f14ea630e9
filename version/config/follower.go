package config

import (
	"maps"
	"sync"
	"sync/atomic"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Follower holds the newest configuration that an instance has received. It applies
// complete revisions in order and never returns to an older one. It is safe for
// concurrent use; Current takes no lock.
type Follower struct {
	view atomic.Pointer[model.View]

	// mu guards tables and recent.
	mu     sync.Mutex
	tables tables
	recent *history
}

// followerRetention is how many revisions a Follower keeps for its own followers.
const followerRetention = 1024

// NewFollower returns an empty Follower: Current returns nil.
func NewFollower() *Follower {
	return &Follower{tables: newTables(), recent: newHistory(followerRetention)}
}

// Current returns the newest revision, or nil before the first.
func (f *Follower) Current() *model.View { return f.view.Load() }

// Revision returns the number of the newest revision, or 0 before the first.
func (f *Follower) Revision() uint64 {
	if view := f.view.Load(); view != nil {
		return view.Revision
	}
	return 0
}

// Load replaces the configuration by a snapshot. A snapshot that is not newer, or whose
// document is older, is rejected with CONFLICT and changes nothing. A group that was
// recovered after a majority was lost may bring an older document.
//
// This prevents a slow or replaced sender from reverting the configuration with an old
// snapshot, which would undo statements already in force. The revision number only
// increases under f.mu.
func (f *Follower) Load(s *lilacv1.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.view.Load(); current != nil && s.GetRevision() <= current.Revision {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "snapshot of revision %d is not newer than revision %d; use a sender that is up to date", s.GetRevision(), current.Revision)
	}
	if s.GetRecoveries() < f.tables.recoveries {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "snapshot of revision %d comes from a group of state processes that a recovered group has replaced; stop the sender and move its data folder away", s.GetRevision())
	}
	held := f.tables.document.GetVersion()
	if s.GetRecoveries() == f.tables.recoveries && s.GetDocument().GetVersion() < held {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "snapshot of revision %d holds document version %d, but version %d is in force; use another sender", s.GetRevision(), s.GetDocument().GetVersion(), held)
	}
	f.tables = newTables()
	f.tables.load(s)
	f.recent = newHistory(followerRetention)
	f.view.Store(f.tables.view())
	return nil
}

// Apply applies consecutive revisions in one step for readers. Revisions that are
// already applied are skipped; a gap is rejected with CONFLICT.
func (f *Follower) Apply(revisions []*lilacv1.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(revisions) > 0 && revisions[0].GetNumber() <= f.tables.revision {
		revisions = revisions[1:]
	}
	for i, revision := range revisions {
		if revision.GetNumber() != f.tables.revision+1+uint64(i) {
			return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "revision %d does not follow revision %d; request a snapshot", revision.GetNumber(), f.tables.revision+uint64(i))
		}
	}
	if len(revisions) == 0 && f.view.Load() != nil {
		return nil
	}
	f.tables.copyChangedMaps(revisions)
	for _, revision := range revisions {
		f.tables.dropExpired(revision.GetProposedUnixMs())
		for _, change := range revision.GetChanges() {
			f.tables.apply(change)
		}
		f.tables.revision = revision.GetNumber()
		f.recent.add(revision)
	}
	f.view.Store(f.tables.view())
	return nil
}

// Since returns the revisions after have; see Machine.Since.
func (f *Follower) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if have >= f.tables.revision {
		return nil, true
	}
	if f.recent.newest().GetNumber() != f.tables.revision {
		return nil, false
	}
	return f.recent.since(have, limit)
}

// Config returns the whole configuration. The caller must not modify its items.
func (f *Follower) Config() *lilacv1.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tables.snapshot()
}

// copyChangedMaps clones the maps that the revisions change, because views share them
// with readers. The other maps stay shared, so that the cost of changing a class does
// not grow with the number of teams.
func (t *tables) copyChangedMaps(revisions []*lilacv1.Revision) {
	t.convictions = maps.Clone(t.convictions)
	var classes, teams, servers, instances, versions bool
	for _, revision := range revisions {
		for _, change := range revision.GetChanges() {
			switch change.GetOp().(type) {
			case *lilacv1.Change_SetClass, *lilacv1.Change_DropClass:
				classes = true
			case *lilacv1.Change_SetTeam, *lilacv1.Change_DropTeam:
				teams = true
			case *lilacv1.Change_SetServer, *lilacv1.Change_DropServer, *lilacv1.Change_DrainServer:
				servers = true
			case *lilacv1.Change_SetInstance:
				instances = true
			case *lilacv1.Change_SetVersion, *lilacv1.Change_DropVersion:
				versions = true
			}
		}
	}
	cloneIf(classes, &t.classes)
	cloneIf(teams, &t.teams)
	cloneIf(servers, &t.servers)
	if servers {
		t.pools = nil
	}
	cloneIf(instances, &t.instances)
	cloneIf(versions, &t.versions)
}

func cloneIf[M ~map[K]V, K comparable, V any](changed bool, items *M) {
	if changed {
		*items = maps.Clone(*items)
	}
}

// view returns a view that shares the maps of t; copyChangedMaps clones them before
// the next change.
func (t *tables) view() *model.View {
	view := &model.View{
		Revision:    t.revision,
		Recoveries:  t.recoveries,
		Classes:     t.classes,
		Teams:       t.teams,
		Servers:     t.servers,
		Instances:   t.instances,
		Convictions: t.convictions,
		Orders:      sortOrders(values(t.orders)),
		Pools:       t.pools,
		Document:    t.document,
		Versions:    model.VersionsByService(sortVersions(values(t.versions))),
	}
	if view.Pools != nil {
		return view
	}
	view.Pools = make(map[string][]*lilacv1.Server)
	for _, server := range sortByName(values(t.servers)) {
		for _, name := range server.GetServes() {
			view.Pools[name] = append(view.Pools[name], server)
		}
	}
	t.pools = view.Pools
	return view
}
