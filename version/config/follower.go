package config

import (
	"maps"
	"sync"
	"sync/atomic"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Follower follows the revisions on one instance and gives the newest to readers.
// It applies whole revisions in order and never goes back.
type Follower struct {
	view atomic.Pointer[model.View]

	mu     sync.Mutex
	tables tables
	tail   *trail
}

// holderTail is how many revisions a Follower keeps to pass on to others.
const holderTail = 1024

// NewFollower returns a Follower without any revision: Current is nil.
func NewFollower() *Follower { return &Follower{tables: newTables(), tail: newTrail(holderTail)} }

// Current returns the newest revision, or nil before the first one came.
func (h *Follower) Current() *model.View { return h.view.Load() }

// Revision returns the number of the newest revision; 0 before the first.
func (h *Follower) Revision() uint64 {
	if view := h.view.Load(); view != nil {
		return view.Revision
	}
	return 0
}

// Load takes a whole snapshot into force. One that is not newer, or whose document is
// older, is refused as a CONFLICT and changes nothing; a group that was recovered from
// a lost majority may overrule the document.
//
// It guards against configuration that reverts when a slow or replaced sender
// gives an old snapshot: it would show as a statement that was in force and no
// longer is. It holds because the number only grows under h.mu.
func (h *Follower) Load(s *lilacv1.Snapshot) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.view.Load(); current != nil && s.GetRevision() <= current.Revision {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "snapshot of revision %d is not newer than %d; ask a sender that is up to date", s.GetRevision(), current.Revision)
	}
	if s.GetRecoveries() < h.tables.recoveries {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "snapshot of revision %d comes from a group of state processes that was replaced by a recovered one; stop the sender and move its data folder away", s.GetRevision())
	}
	held := h.tables.document.GetVersion()
	if s.GetRecoveries() == h.tables.recoveries && s.GetDocument().GetVersion() < held {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "snapshot of revision %d holds document %d, and %d is in force; ask another sender", s.GetRevision(), s.GetDocument().GetVersion(), held)
	}
	h.tables = newTables()
	h.tables.load(s)
	h.tail = newTrail(holderTail)
	h.view.Store(h.tables.view())
	return nil
}

// Apply takes consecutive revisions into force, all at once. Those that are
// held already are passed over; a gap is refused as a CONFLICT.
func (h *Follower) Apply(revisions []*lilacv1.Revision) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(revisions) > 0 && revisions[0].GetNumber() <= h.tables.revision {
		revisions = revisions[1:]
	}
	for i, revision := range revisions {
		if revision.GetNumber() != h.tables.revision+1+uint64(i) {
			return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_CONFLICT, "revision %d does not follow %d; start again from a snapshot", revision.GetNumber(), h.tables.revision+uint64(i))
		}
	}
	if len(revisions) == 0 && h.view.Load() != nil {
		return nil
	}
	h.tables.detach(revisions)
	for _, revision := range revisions {
		h.tables.dropExpired(revision.GetProposedUnixMs())
		for _, change := range revision.GetChanges() {
			h.tables.change(change)
		}
		h.tables.revision = revision.GetNumber()
		h.tail.add(revision)
	}
	h.view.Store(h.tables.view())
	return nil
}

// Since returns the revisions after have, as Machine.Since does.
func (h *Follower) Since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if have >= h.tables.revision {
		return nil, true
	}
	if h.tail.newest().GetNumber() != h.tables.revision {
		return nil, false
	}
	return h.tail.since(have, limit)
}

// Config returns the whole configuration; the items must not be changed.
func (h *Follower) Config() *lilacv1.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tables.snapshot()
}

// detach clones the maps that the revisions change, since readers share them
// through the views. The others stay shared: a change of a class does no work
// for each team.
func (t *tables) detach(revisions []*lilacv1.Revision) {
	t.convictions = maps.Clone(t.convictions)
	var classes, teams, servers, instances bool
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
			}
		}
	}
	detachIf(classes, &t.classes)
	detachIf(teams, &t.teams)
	detachIf(servers, &t.servers)
	if servers {
		t.pools = nil
	}
	detachIf(instances, &t.instances)
}

func detachIf[M ~map[K]V, K comparable, V any](changed bool, items *M) {
	if changed {
		*items = maps.Clone(*items)
	}
}

// view shares the tables' maps; detach clones them before the next change.
func (t *tables) view() *model.View {
	view := &model.View{
		Revision:    t.revision,
		Recoveries:  t.recoveries,
		Classes:     t.classes,
		Teams:       t.teams,
		Servers:     t.servers,
		Instances:   t.instances,
		Convictions: t.convictions,
		Orders:      sortOrders(listed(t.orders)),
		Pools:       t.pools,
		Document:    t.document,
	}
	if view.Pools != nil {
		return view
	}
	view.Pools = make(map[string][]*lilacv1.Server)
	for _, server := range byName(listed(t.servers)) {
		for _, name := range server.GetServes() {
			view.Pools[name] = append(view.Pools[name], server)
		}
	}
	t.pools = view.Pools
	return view
}
