package config

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// trail keeps the last retention revisions. Their numbers are consecutive but
// for the gap that a recovery leaves.
type trail struct {
	retention int
	revisions []*lilacv1.Revision
	// documentBytes is the size of the documents that the revisions hold.
	documentBytes int
	commands      map[string]*lilacv1.Revision
}

func newTrail(retention int) *trail {
	return &trail{retention: retention, commands: make(map[string]*lilacv1.Revision)}
}

func (t *trail) add(revision *lilacv1.Revision) {
	t.revisions = append(t.revisions, revision)
	t.commands[revision.GetCommandId()] = revision
	t.documentBytes += documentBytes(revision)
	for len(t.revisions) > t.retention || t.documentBytes > maxDocumentBytes && len(t.revisions) > 1 {
		t.documentBytes -= documentBytes(t.revisions[0])
		delete(t.commands, t.revisions[0].GetCommandId())
		t.revisions[0] = nil
		t.revisions = t.revisions[1:]
	}
}

// maxDocumentBytes bounds the documents of a trail: each may have a megabyte,
// and hundreds may come in a day, on instances with some hundred MB of memory.
const maxDocumentBytes = 2 << 20

// documentBytes is the size of the documents that the revision holds.
func documentBytes(revision *lilacv1.Revision) int {
	size := 0
	for _, change := range revision.GetChanges() {
		if set, ok := change.GetOp().(*lilacv1.Change_SetDocument); ok {
			size += len(set.SetDocument.GetContent())
		}
	}
	return size
}

func (t *trail) byCommand(id string) (*lilacv1.Revision, bool) {
	revision, ok := t.commands[id]
	return revision, ok
}

func (t *trail) newest() *lilacv1.Revision {
	if len(t.revisions) == 0 {
		return nil
	}
	return t.revisions[len(t.revisions)-1]
}

func (t *trail) get(number uint64) (*lilacv1.Revision, bool) {
	place, found := t.find(number)
	if !found {
		return nil, false
	}
	return t.revisions[place], true
}

// find returns the place of the first revision that is not older than number,
// and whether it has that number.
func (t *trail) find(number uint64) (place int, found bool) {
	return slices.BinarySearchFunc(t.revisions, number, func(r *lilacv1.Revision, number uint64) int {
		return cmp.Compare(r.GetNumber(), number)
	})
}

func (t *trail) since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	if t.newest().GetNumber() <= have {
		return nil, true
	}
	place, ok := t.find(have + 1)
	if !ok {
		return nil, false
	}
	var next []*lilacv1.Revision
	for _, revision := range t.revisions[place:] {
		if len(next) == limit || revision.GetNumber() != have+1+uint64(len(next)) {
			break
		}
		next = append(next, revision)
	}
	return next, true
}

func (t *trail) list(from uint64, limit int) []*lilacv1.Revision {
	end := len(t.revisions)
	if from != 0 && from < t.newest().GetNumber() {
		end, _ = t.find(from + 1)
	}
	found := slices.Clone(t.revisions[max(0, end-limit):end])
	slices.Reverse(found)
	return found
}

func (t *trail) all() []*lilacv1.Revision {
	return append([]*lilacv1.Revision(nil), t.revisions...)
}

// refusals keep the answers of the last refused proposals by command id.
type refusals struct {
	order   []string
	results map[string]*lilacv1.CommandResult
}

func newRefusals() *refusals {
	return &refusals{results: make(map[string]*lilacv1.CommandResult)}
}

func (r *refusals) add(id string, result *lilacv1.CommandResult) {
	r.order = append(r.order, id)
	r.results[id] = result
	for len(r.order) > RefusedRetention {
		delete(r.results, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *refusals) answer(id string) *lilacv1.CommandResult {
	result, ok := r.results[id]
	if !ok {
		return nil
	}
	again := proto.CloneOf(result)
	again.GetPropose().RepeatedCommand = true
	return again
}

func (r *refusals) all() []*lilacv1.RefusedCommand {
	list := make([]*lilacv1.RefusedCommand, 0, len(r.order))
	for _, id := range r.order {
		list = append(list, &lilacv1.RefusedCommand{CommandId: id, Result: r.results[id]})
	}
	return list
}
