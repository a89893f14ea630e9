package config

import (
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// trail keeps the last retention revisions, which have consecutive numbers.
type trail struct {
	retention int
	revisions []*lilacv1.Revision
	commands  map[string]*lilacv1.Revision
}

func newTrail(retention int) *trail {
	return &trail{retention: retention, commands: make(map[string]*lilacv1.Revision)}
}

func (t *trail) add(revision *lilacv1.Revision) {
	t.revisions = append(t.revisions, revision)
	t.commands[revision.GetCommandId()] = revision
	for len(t.revisions) > t.retention {
		delete(t.commands, t.revisions[0].GetCommandId())
		t.revisions[0] = nil
		t.revisions = t.revisions[1:]
	}
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
	if len(t.revisions) == 0 {
		return nil, false
	}
	first := t.revisions[0].GetNumber()
	if number < first || number-first >= uint64(len(t.revisions)) {
		return nil, false
	}
	return t.revisions[number-first], true
}

func (t *trail) since(have uint64, limit int) ([]*lilacv1.Revision, bool) {
	if t.newest().GetNumber() <= have {
		return nil, true
	}
	if _, ok := t.get(have + 1); !ok {
		return nil, false
	}
	rest := t.revisions[have+1-t.revisions[0].GetNumber():]
	rest = rest[:min(limit, len(rest))]
	return append([]*lilacv1.Revision(nil), rest...), true
}

func (t *trail) list(from uint64, limit int) []*lilacv1.Revision {
	if newest := t.newest().GetNumber(); from == 0 || from > newest {
		from = newest
	}
	var found []*lilacv1.Revision
	for number := from; number > 0 && len(found) < limit; number-- {
		revision, ok := t.get(number)
		if !ok {
			break
		}
		found = append(found, revision)
	}
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
