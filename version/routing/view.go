package routing

import (
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/admission"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Server is a backend server in the platform's list.
type Server struct {
	// Name identifies one incarnation of the server: each restart has a new name.
	Name string
	// Identity is the name that the server reports; it may stay the same after a restart.
	Identity   string
	Service    string
	Address    string
	DataCenter string
	Slots      int
	// Draining servers get no new requests.
	Draining bool
	// SoftwareVersion is the version of the server's software; empty if unknown.
	SoftwareVersion string
	// Reclaimable servers may be reclaimed by the platform at short notice.
	Reclaimable bool
}

// NoTeam is the team of requests without one: those on public routes, and all requests if
// the document has no teams.
const NoTeam = "-"

// ClassName returns the name of the class of a route's requests at a priority. A team's priority may
// override that of the route, so a route may have several classes.
func ClassName(route *Route, priority int) string {
	if priority == route.Priority {
		return route.Name
	}
	return route.Name + "@" + strconv.Itoa(priority)
}

// Priority returns the priority of the team's requests on the route. team may be nil.
func Priority(route *Route, team *Team) int {
	if team != nil && team.HasPriority {
		return team.Priority
	}
	return route.Priority
}

// View translates the document and the servers into a model for the scheduling policy: each
// combination of route and priority becomes a class, each service a pool. config is the
// configuration that holds the convictions and the record of software versions.
func View(t *Table, servers []Server, config *model.View) *model.View {
	s := &lilacv1.Snapshot{Revision: t.Revision, Teams: []*lilacv1.Team{{Name: NoTeam}}}
	priorities := make(map[int]bool)
	for i := range t.Document.Teams {
		team := &t.Document.Teams[i]
		s.Teams = append(s.Teams, &lilacv1.Team{Name: team.Name})
		if team.HasPriority {
			priorities[team.Priority] = true
		}
	}
	for i := range t.Document.Routes {
		r := &t.Document.Routes[i]
		s.Classes = append(s.Classes, newClass(t, r, r.Priority))
		for priority := range priorities {
			if priority != r.Priority {
				s.Classes = append(s.Classes, newClass(t, r, priority))
			}
		}
	}
	ambiguous := ambiguousServers(t, servers)
	for i := range servers {
		if service := t.Service(servers[i].Service); service != nil && !ambiguous[servers[i].Identity] {
			server := newServer(&servers[i], service)
			server.Unadmitted = !admission.Admits(config, server.GetServes()[0], server.GetSoftwareVersion())
			s.Servers = append(s.Servers, server)
		}
	}
	view := model.NewView(s)
	view.Convictions = config.Convictions
	return view
}

// ambiguousServers returns the identities that are listed under several services of the document: at
// most one entry is right, and a request that goes by another one would run at a service that
// its route doesn't have.
func ambiguousServers(t *Table, servers []Server) map[string]bool {
	services, ambiguous := make(map[string]string, len(servers)), make(map[string]bool)
	for i := range servers {
		s := &servers[i]
		if s.Identity == "" || t.Service(s.Service) == nil {
			continue
		}
		if held, known := services[s.Identity]; known && held != s.Service {
			ambiguous[s.Identity] = true
		}
		services[s.Identity] = s.Service
	}
	return ambiguous
}

// totalSharePermille is divided among the classes as their guaranteed shares.
const totalSharePermille = 200

// maxRank is the least urgent rank within a tier.
const maxRank = 2

func newClass(t *Table, r *Route, priority int) *lilacv1.Class {
	c := &lilacv1.Class{
		Name: ClassName(r, priority), Tier: uint32(min(max(priority, 0), model.Tiers-1)),
		FirstTokenMs: uint32(r.TargetLatency.Milliseconds()), MaxAttempts: uint32(r.MaxAttempts),
		Rank:          uint32(min(max(r.Priority, 0), maxRank)),
		SharePermille: uint32(max(1, totalSharePermille/max(len(t.Document.Routes), 1))),
		Late:          lilacv1.LatePolicy_LATE_POLICY_RUN_WITH_ROOM,
	}
	if service := t.Service(r.Backends[0].Service); r.EventGap > 0 && service != nil && service.Engine != nil {
		c.BetweenTokensMs = uint32(r.EventGap / time.Duration(max(service.Engine.EventTokens, 1)) / time.Millisecond)
	}
	return c
}

func newServer(s *Server, service *Service) *lilacv1.Server {
	server := &lilacv1.Server{
		Name: s.Name, Identity: s.Identity, Address: s.Address, DataCenter: s.DataCenter,
		Kind: lilacv1.ServerKind_SERVER_KIND_SERVICE, Serves: []string{s.Service},
		Slots: uint32(s.Slots), Draining: s.Draining, SoftwareVersion: s.SoftwareVersion,
	}
	if service.Engine != nil {
		server.Kind = lilacv1.ServerKind_SERVER_KIND_ENGINE
		server.CacheTokens = uint64(service.Engine.CacheTokens)
		server.CacheTokenNs = uint32(service.Engine.FetchTime.Nanoseconds())
		if server.Slots == 0 {
			server.Slots = uint32(service.Engine.Slots)
		}
	}
	return server
}
