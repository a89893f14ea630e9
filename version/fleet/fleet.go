// Package fleet reads a YAML file of classes, teams and backend servers, and computes
// the changes that bring a running configuration in line with it.
package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"gopkg.in/yaml.v3"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// Fleet is the content of the file.
type Fleet struct {
	Classes []Class  `yaml:"classes"`
	Teams   []Team   `yaml:"teams"`
	Servers []Server `yaml:"servers"`
}

// Class is a request class; see lilacv1.Class for units.
type Class struct {
	Name            string `yaml:"name"`
	Tier            uint32 `yaml:"tier"`
	FirstTokenMs    uint32 `yaml:"first_token_ms"`
	BetweenTokensMs uint32 `yaml:"between_tokens_ms"`
	SharePermille   uint32 `yaml:"share_permille"`
	// Late is what happens to late requests: run or refuse. Default run.
	Late string `yaml:"late"`
}

// Team is a customer; see lilacv1.Team for units.
type Team struct {
	Name            string `yaml:"name"`
	Weight          uint32 `yaml:"weight"`
	TokensPerSecond uint64 `yaml:"tokens_per_second"`
	BurstTokens     uint64 `yaml:"burst_tokens"`
}

// Server is a backend server; see lilacv1.Server.
type Server struct {
	Name       string `yaml:"name"`
	Address    string `yaml:"address"`
	DataCenter string `yaml:"data_center"`
	// Kind is engine or service.
	Kind          string   `yaml:"kind"`
	Serves        []string `yaml:"serves"`
	Slots         uint32   `yaml:"slots"`
	ChecksFencing bool     `yaml:"checks_fencing"`
}

func invalid(format string, args ...any) error {
	return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, format, args...)
}

// Parse decodes and validates a file. An unknown field is an error that names its line.
func Parse(data []byte) (*Fleet, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	f := &Fleet{}
	if err := decoder.Decode(f); errors.Is(err, io.EOF) {
		return nil, invalid("the file is empty; add classes, teams or servers")
	} else if err != nil {
		return nil, invalid("%v; see examples/ for a valid file", err)
	}
	return f, f.check()
}

func (f *Fleet) check() error {
	seen := make(map[string]bool)
	checkUnique := func(kind, name string) error {
		if name == "" || seen[kind+name] {
			return invalid("%s %q has no name or is defined twice; names must be unique", kind, name)
		}
		seen[kind+name] = true
		return nil
	}
	for _, class := range f.Classes {
		if err := checkUnique("class", class.Name); err != nil {
			return err
		}
		if !slices.Contains([]string{"", "run", "refuse"}, class.Late) {
			return invalid("class %s: late is %q; use run or refuse", class.Name, class.Late)
		}
	}
	for _, team := range f.Teams {
		if err := checkUnique("team", team.Name); err != nil {
			return err
		}
	}
	for _, server := range f.Servers {
		if err := checkUnique("server", server.Name); err != nil {
			return err
		}
		if server.Kind != "engine" && server.Kind != "service" {
			return invalid("server %s: kind is %q; use engine or service", server.Name, server.Kind)
		}
	}
	return nil
}

func (c Class) message() *lilacv1.Class {
	late := lilacv1.LatePolicy_LATE_POLICY_RUN
	if c.Late == "refuse" {
		late = lilacv1.LatePolicy_LATE_POLICY_REFUSE
	}
	return &lilacv1.Class{
		Name: c.Name, Tier: c.Tier, FirstTokenMs: c.FirstTokenMs, BetweenTokensMs: c.BetweenTokensMs,
		SharePermille: c.SharePermille, Late: late,
	}
}

func (t Team) message() *lilacv1.Team {
	return &lilacv1.Team{Name: t.Name, Weight: t.Weight, TokensPerSecond: t.TokensPerSecond, BurstTokens: t.BurstTokens}
}

func (s Server) message(draining bool) *lilacv1.Server {
	kind := lilacv1.ServerKind_SERVER_KIND_ENGINE
	if s.Kind == "service" {
		kind = lilacv1.ServerKind_SERVER_KIND_SERVICE
	}
	return &lilacv1.Server{
		Name: s.Name, Address: s.Address, DataCenter: s.DataCenter, Kind: kind, Serves: s.Serves, Slots: s.Slots,
		ChecksFencing: s.ChecksFencing, Draining: draining,
	}
}

// Diff holds the changes that bring a configuration in line with a Fleet, with one
// readable line per change in Lines.
type Diff struct {
	Changes []*lilacv1.Change
	Lines   []string
}

func (d *Diff) add(symbol, kind, name string, change *lilacv1.Change) {
	d.Changes = append(d.Changes, change)
	d.Lines = append(d.Lines, fmt.Sprintf("%s %s %s", symbol, kind, name))
}

func changeSymbol(exists bool) string {
	if exists {
		return "~"
	}
	return "+"
}

// Diff compares the file with a running configuration. Objects that are not in the file
// are dropped only if prune is set. The draining state of servers is kept.
func (f *Fleet) Diff(view *model.View, prune bool) *Diff {
	d := &Diff{}
	for _, class := range f.Classes {
		old, exists := view.Classes[class.Name]
		if now := class.message(); !proto.Equal(old, now) {
			d.add(changeSymbol(exists), "class", class.Name, &lilacv1.Change{Op: &lilacv1.Change_SetClass{SetClass: now}})
		}
	}
	for _, team := range f.Teams {
		old, exists := view.Teams[team.Name]
		if now := team.message(); !proto.Equal(old, now) {
			d.add(changeSymbol(exists), "team", team.Name, &lilacv1.Change{Op: &lilacv1.Change_SetTeam{SetTeam: now}})
		}
	}
	for _, server := range f.Servers {
		old, exists := view.Servers[server.Name]
		if now := server.message(old.GetDraining()); !proto.Equal(old, now) {
			d.add(changeSymbol(exists), "server", server.Name, &lilacv1.Change{Op: &lilacv1.Change_SetServer{SetServer: now}})
		}
	}
	if prune {
		f.prune(view, d)
	}
	return d
}

func (f *Fleet) prune(view *model.View, d *Diff) {
	keep := make(map[string]bool)
	for _, class := range f.Classes {
		keep["class "+class.Name] = true
	}
	for _, team := range f.Teams {
		keep["team "+team.Name] = true
	}
	for _, server := range f.Servers {
		keep["server "+server.Name] = true
	}
	for name := range view.Classes {
		if !keep["class "+name] {
			d.add("-", "class", name, &lilacv1.Change{Op: &lilacv1.Change_DropClass{DropClass: name}})
		}
	}
	for name := range view.Teams {
		if !keep["team "+name] {
			d.add("-", "team", name, &lilacv1.Change{Op: &lilacv1.Change_DropTeam{DropTeam: name}})
		}
	}
	for name := range view.Servers {
		if !keep["server "+name] {
			d.add("-", "server", name, &lilacv1.Change{Op: &lilacv1.Change_DropServer{DropServer: name}})
		}
	}
	d.sortDrops()
}

// sortDrops sorts the drops, which come last, by kind and name.
func (d *Diff) sortDrops() {
	first := slices.IndexFunc(d.Lines, func(line string) bool { return strings.HasPrefix(line, "-") })
	if first < 0 {
		return
	}
	order := make(map[*lilacv1.Change]string, len(d.Lines)-first)
	for i := first; i < len(d.Lines); i++ {
		order[d.Changes[i]] = d.Lines[i]
	}
	slices.SortFunc(d.Changes[first:], func(a, b *lilacv1.Change) int { return strings.Compare(order[a], order[b]) })
	slices.Sort(d.Lines[first:])
}
