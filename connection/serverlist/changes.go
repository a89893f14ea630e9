package serverlist

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// With thousands of backend servers a list takes hundreds of kilobytes. While servers are replaced
// it changes every second, and whole lists would reach the instances seconds late. Callers that
// hold a recent list therefore get only what changed since.

// maxEarlierLists is the number of earlier lists that are kept. A caller that is further behind
// gets the whole list.
const maxEarlierLists = 8

// change is the difference between two lists.
type change struct {
	since   uint64
	set     map[string]*lilacv1.ListedServer
	removed map[string]bool
}

// history holds the changes from each of the last lists to the one after it, oldest first.
type history struct {
	last    *lilacv1.ServersReply
	changes []change
}

// add records that a list replaces the given one, which becomes the newest earlier list.
func (h *history) add(previous *lilacv1.ServersReply) {
	if previous == nil {
		return
	}
	if h.last != nil {
		h.changes = append(h.changes, difference(h.last, previous))
		if len(h.changes) > maxEarlierLists-1 {
			h.changes = slices.Delete(h.changes, 0, 1)
		}
	}
	h.last = previous
}

// changesSince returns the reply that brings a caller from the version it has to current: the
// changes if its list is kept, else all of current.
func (h *history) changesSince(have uint64, current *lilacv1.ServersReply) *lilacv1.ServersReply {
	if h.last == nil {
		return current
	}
	first := slices.IndexFunc(h.changes, func(c change) bool { return c.since == have })
	if first < 0 && h.last.GetVersion() != have {
		return current
	}
	total := difference(h.last, current)
	if first >= 0 {
		total = merge(append(slices.Clone(h.changes[first:]), total))
	}
	return total.encode(current.GetVersion(), have)
}

// difference returns the change from one list to another.
func difference(from, to *lilacv1.ServersReply) change {
	c := change{since: from.GetVersion(), set: make(map[string]*lilacv1.ListedServer), removed: make(map[string]bool)}
	before := make(map[string]*lilacv1.ListedServer, len(from.GetServers()))
	for _, server := range from.GetServers() {
		before[server.GetName()] = server
		c.removed[server.GetName()] = true
	}
	for _, server := range to.GetServers() {
		delete(c.removed, server.GetName())
		if !proto.Equal(before[server.GetName()], server) {
			c.set[server.GetName()] = server
		}
	}
	return c
}

// merge combines successive changes into one.
func merge(changes []change) change {
	total := change{set: make(map[string]*lilacv1.ListedServer), removed: make(map[string]bool)}
	for _, c := range changes {
		for name := range c.removed {
			delete(total.set, name)
			total.removed[name] = true
		}
		for name, server := range c.set {
			delete(total.removed, name)
			total.set[name] = server
		}
	}
	return total
}

// encode returns the change as a reply, in a fixed order.
func (c change) encode(version, since uint64) *lilacv1.ServersReply {
	reply := &lilacv1.ServersReply{Version: version, Since: since, Removed: slices.Sorted(maps.Keys(c.removed))}
	for _, name := range slices.Sorted(maps.Keys(c.set)) {
		reply.Servers = append(reply.Servers, c.set[name])
	}
	return reply
}

// applyChanges returns the servers of the list after the changes in the reply, sorted by name.
func applyChanges(list, changes *lilacv1.ServersReply) []routing.Server {
	removed := make(map[string]bool, len(changes.GetRemoved()))
	for _, name := range changes.GetRemoved() {
		removed[name] = true
	}
	for _, server := range changes.GetServers() {
		removed[server.GetName()] = true
	}
	next := &lilacv1.ServersReply{Servers: slices.Clone(changes.GetServers())}
	for _, server := range list.GetServers() {
		if !removed[server.GetName()] {
			next.Servers = append(next.Servers, server)
		}
	}
	slices.SortFunc(next.Servers, func(a, b *lilacv1.ListedServer) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return decode(next)
}
