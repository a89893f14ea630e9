// Package model provides an indexed, immutable view of one revision of the
// configuration: classes, teams, backend servers and their states. It also defines the
// order of tiers and ranks.
package model

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Tiers is the number of service tiers; tier 0 is the most urgent.
const Tiers = 4

// Ranks is the number of ranks within a tier; rank 0 is the most urgent.
const Ranks = 3

// Levels is the number of values that Level returns.
const Levels = Tiers * Ranks

// Level returns the number of a tier and rank in the order by tier, then by rank.
func Level(tier, rank int) int { return tier*Ranks + min(rank, Ranks-1) }

// Positions is the number of values that Position returns.
const Positions = Tiers * Ranks

// Position returns the number of a tier and rank in the order by rank, then by tier.
// Requests start and get capacity in this order, and engines preempt them in the reverse
// order: the short urgent work of all tiers precedes the bulk work of any tier.
func Position(tier, rank int) int { return min(rank, Ranks-1)*Tiers + tier }

// TierOf returns the tier of a position.
func TierOf(position int) int { return position % Tiers }

// RankOf returns the rank of a position.
func RankOf(position int) int { return position / Tiers }

// PositionOf returns the position of a level.
func PositionOf(level int) int { return Position(level/Ranks, level%Ranks) }

// View is a revision of the configuration, indexed for the request path. It is
// immutable, so any goroutine may read it without a lock.
type View struct {
	Revision uint64
	// Recoveries is how often the group of state processes was recovered after it had lost
	// its majority.
	Recoveries uint32
	Classes    map[string]*lilacv1.Class
	Teams      map[string]*lilacv1.Team
	Servers    map[string]*lilacv1.Server
	Instances  map[string]*lilacv1.InstanceState
	// Convictions is keyed by the digest of the request.
	Convictions map[string]*lilacv1.Conviction
	Orders      []*lilacv1.ModelOrder
	// Pools maps each model or service to its backend servers, sorted by
	// name. NewView relies on the order of the snapshot.
	Pools map[string][]*lilacv1.Server
	// Document is the gateway document, or nil before the first.
	Document *lilacv1.Document
	// Versions holds, by service, the software versions of streams that callers may resume;
	// see package admission.
	Versions map[string][]*lilacv1.ServiceVersion
}

// NewView indexes a snapshot. The caller must not modify the snapshot afterwards.
func NewView(s *lilacv1.Snapshot) *View {
	v := &View{
		Revision:    s.GetRevision(),
		Recoveries:  s.GetRecoveries(),
		Classes:     make(map[string]*lilacv1.Class, len(s.GetClasses())),
		Teams:       make(map[string]*lilacv1.Team, len(s.GetTeams())),
		Servers:     make(map[string]*lilacv1.Server, len(s.GetServers())),
		Instances:   make(map[string]*lilacv1.InstanceState, len(s.GetInstances())),
		Convictions: make(map[string]*lilacv1.Conviction, len(s.GetConvictions())),
		Orders:      s.GetOrders(),
		Pools:       make(map[string][]*lilacv1.Server),
		Document:    s.GetDocument(),
		Versions:    VersionsByService(s.GetVersions()),
	}
	for _, class := range s.GetClasses() {
		v.Classes[class.GetName()] = class
	}
	for _, team := range s.GetTeams() {
		v.Teams[team.GetName()] = team
	}
	for _, server := range s.GetServers() {
		v.Servers[server.GetName()] = server
		for _, name := range server.GetServes() {
			v.Pools[name] = append(v.Pools[name], server)
		}
	}
	for _, instance := range s.GetInstances() {
		v.Instances[instance.GetName()] = instance
	}
	for _, conviction := range s.GetConvictions() {
		v.Convictions[conviction.GetDigest()] = conviction
	}
	return v
}

// VersionsByService groups the versions, in their order.
func VersionsByService(versions []*lilacv1.ServiceVersion) map[string][]*lilacv1.ServiceVersion {
	grouped := make(map[string][]*lilacv1.ServiceVersion)
	for _, version := range versions {
		grouped[version.GetService()] = append(grouped[version.GetService()], version)
	}
	return grouped
}
