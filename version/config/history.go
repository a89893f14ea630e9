package config

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// history holds the last retention revisions, oldest first. Their numbers are
// consecutive except for the gap that a recovery leaves.
type history struct {
	retention int
	revisions []*lilacv1.Revision
	// documentBytes is the total size of the documents in revisions.
	documentBytes int
	// commands maps command ids to revisions.
	commands map[string]*lilacv1.Revision
}

func newHistory(retention int) *history {
	return &history{retention: retention, commands: make(map[string]*lilacv1.Revision)}
}

func (h *history) add(revision *lilacv1.Revision) {
	h.revisions = append(h.revisions, revision)
	h.commands[revision.GetCommandId()] = revision
	h.documentBytes += documentBytes(revision)
	for len(h.revisions) > h.retention || h.documentBytes > maxHistoryDocumentBytes && len(h.revisions) > 1 {
		h.documentBytes -= documentBytes(h.revisions[0])
		delete(h.commands, h.revisions[0].GetCommandId())
		h.revisions[0] = nil
		h.revisions = h.revisions[1:]
	}
}

// maxHistoryDocumentBytes bounds the documents in a history. A document may have 1 MB
// and hundreds may arrive in a day, on instances with a few hundred MB of memory.
const maxHistoryDocumentBytes = 2 << 20

// documentBytes returns the size of the documents in the revision.
func documentBytes(revision *lilacv1.Revision) int {
	size := 0
	for _, change := range revision.GetChanges() {
		if set, ok := change.GetOp().(*lilacv1.Change_SetDocument); ok {
			size += len(set.SetDocument.GetContent())
		}
	}
	return size
}

func (h *history) byCommand(id string) (*lilacv1.Revision, bool) {
	revision, ok := h.commands[id]
	return revision, ok
}

func (h *history) newest() *lilacv1.Revision {
	if len(h.revisions) == 0 {
		return nil
	}
	return h.revisions[len(h.revisions)-1]
}

func (h *history) get(number uint64) (*lilacv1.Revision, bool) {
	index, found := h.find(number)
	if !found {
		return nil, false
	}
	return h.revisions[index], true
}

// find returns the index of the first revision whose number is at least number, and
// whether it is equal.
func (h *history) find(number uint64) (index int, found bool) {
	return slices.BinarySearchFunc(h.revisions, number, func(r *lilacv1.Revision, number uint64) int {
		return cmp.Compare(r.GetNumber(), number)
	})
}

func (h *history) since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	if h.newest().GetNumber() <= have {
		return nil, true
	}
	index, ok := h.find(have + 1)
	if !ok {
		return nil, false
	}
	var next []*lilacv1.Revision
	for _, revision := range h.revisions[index:] {
		if len(next) == limit || revision.GetNumber() != have+1+uint64(len(next)) {
			break
		}
		next = append(next, revision)
	}
	return next, true
}

func (h *history) list(from uint64, limit int) []*lilacv1.Revision {
	end := len(h.revisions)
	if from != 0 && from < h.newest().GetNumber() {
		end, _ = h.find(from + 1)
	}
	found := slices.Clone(h.revisions[max(0, end-limit):end])
	slices.Reverse(found)
	return found
}

func (h *history) all() []*lilacv1.Revision {
	return append([]*lilacv1.Revision(nil), h.revisions...)
}

// refusals holds the results of the last refused proposals by command id.
type refusals struct {
	// order lists the command ids, oldest first.
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

func (r *refusals) repeatedResult(id string) *lilacv1.CommandResult {
	result, ok := r.results[id]
	if !ok {
		return nil
	}
	repeated := proto.CloneOf(result)
	repeated.GetPropose().RepeatedCommand = true
	return repeated
}

func (r *refusals) all() []*lilacv1.RefusedCommand {
	list := make([]*lilacv1.RefusedCommand, 0, len(r.order))
	for _, id := range r.order {
		list = append(list, &lilacv1.RefusedCommand{CommandId: id, Result: r.results[id]})
	}
	return list
}
