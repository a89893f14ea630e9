package routing

import (
	"slices"
	"strings"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// Table is a document indexed for the request path.
type Table struct {
	Document *Document
	// Revision is the number of the revision that holds the document.
	Revision uint64

	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[string]*Service
}

// NewTable indexes a valid document. The caller must not modify it afterwards.
func NewTable(document *Document, revision uint64) *Table {
	t := &Table{
		Document: document, Revision: revision,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Team),
		services: make(map[string]*Service, len(document.Services)),
	}
	for i := range document.Routes {
		r := &document.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range document.Teams {
		for _, key := range document.Teams[i].Keys {
			t.byKey[key] = &document.Teams[i]
		}
	}
	for i := range document.Services {
		t.services[document.Services[i].Name] = &document.Services[i]
	}
	return t
}

// Match returns the route for host whose path prefix is the longest that matches, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether requests need a key on routes that are not public.
func (t *Table) RequiresKeys() bool { return len(t.Document.Teams) > 0 }

// TeamByKey returns the team with the key, or nil.
func (t *Table) TeamByKey(key string) *Team { return t.byKey[key] }

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service that the number draw in [0, 1) selects by the route's
// weights.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	remaining := number.Int(draw * float64(total))
	for _, backend := range r.Backends {
		if remaining < backend.Weight {
			return backend.Service
		}
		remaining -= backend.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
