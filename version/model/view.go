// Package model gives an indexed, immutable view of one revision of the
// configuration: classes, teams, backend servers and their states.
package model

import (
	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Tiers is the number of service tiers; tier 0 is the most urgent.
const Tiers = 4

// Ranks is the number of ranks within a tier; rank 0 is the most urgent.
const Ranks = 3

// Levels is the number of tiers with their ranks, in order of urgency.
const Levels = Tiers * Ranks

// Level is the place of a tier's rank among them.
func Level(tier, rank int) int { return tier*Ranks + min(rank, Ranks-1) }

// Positions is the number of ranks with their tiers.
const Positions = Tiers * Ranks

// Position is the order of urgency in which requests start, are given room and stay at
// engines: what all tiers ask
// for in short urgent work goes before the bulk of any.
func Position(tier, rank int) int { return min(rank, Ranks-1)*Tiers + tier }

// TierOf is the tier of a place.
func TierOf(place int) int { return place % Tiers }

// RankOf is the rank of a place.
func RankOf(place int) int { return place / Tiers }

// PositionOf is the place of a level.
func PositionOf(level int) int { return Position(level/Ranks, level%Ranks) }

// View is a revision as the request path reads it. It is never changed once
// made, so any goroutine may read it without a lock.
type View struct {
	Revision uint64
	// Recoveries counts those of the state processes from a lost majority.
	Recoveries  uint32
	Classes     map[string]*lilacv1.Class
	Teams       map[string]*lilacv1.Team
	Servers     map[string]*lilacv1.Server
	Instances   map[string]*lilacv1.InstanceState
	Convictions map[string]*lilacv1.Conviction
	Orders      []*lilacv1.ModelOrder
	// Pools holds the backend servers of each model or service, in order of name.
	Pools map[string][]*lilacv1.Server
	// Document is the gateway's; nil before the first one.
	Document *lilacv1.Document
}

// NewView indexes a snapshot, which must not be changed afterwards.
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
