package routing

import (
	"slices"
	"strings"
)

// Table is a document indexed for the request path.
type Table struct {
	Document *Document
	// Revision is the number under which the replicated log holds the document.
	Revision uint64

	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[string]*Service
}

// NewTable indexes a valid document, which must not be changed afterwards.
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

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys tells whether requests need a key where their route isn't public.
func (t *Table) RequiresKeys() bool { return len(t.Document.Teams) > 0 }

// TeamByKey returns the team that holds the key, or nil.
func (t *Table) TeamByKey(key string) *Team { return t.byKey[key] }

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service that a draw from 0 up to, but not including, 1 falls
// on by the route's weights.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, backend := range r.Backends {
		total += backend.Weight
	}
	left := int(draw * float64(total))
	for _, backend := range r.Backends {
		if left < backend.Weight {
			return backend.Service
		}
		left -= backend.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
