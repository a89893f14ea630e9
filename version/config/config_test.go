package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

func class(name string, tier, share uint32) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_SetClass{SetClass: &lilacv1.Class{Name: name, Tier: tier, FirstTokenMs: 420, SharePermille: share}}}
}

func team(name string) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_SetTeam{SetTeam: &lilacv1.Team{Name: name, Weight: 1}}}
}

func server(name, address string) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_SetServer{SetServer: &lilacv1.Server{
		Name: name, Address: address, DataCenter: "dakar-a", Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE, Serves: []string{"redaction"}}}}
}

func convict(digest string, expires int64) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_Convict{Convict: &lilacv1.Conviction{Digest: digest, ExpiresUnixMs: expires}}}
}

func tryConviction(digest string, trial uint32) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_TryConviction{TryConviction: &lilacv1.ConvictionTrial{Digest: digest, Trial: trial}}}
}

func order(name, model string) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_OrderModel{OrderModel: &lilacv1.ModelOrder{Server: name, Model: model, Loaded: true}}}
}

func setVersion(service, version string, state lilacv1.VersionState) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_SetVersion{SetVersion: &lilacv1.ServiceVersion{Service: service, Version: version, State: state}}}
}

func dropVersion(service, version string) *lilacv1.Change {
	return &lilacv1.Change{Op: &lilacv1.Change_DropVersion{DropVersion: &lilacv1.ServiceVersion{Service: service, Version: version}}}
}

const (
	announced = lilacv1.VersionState_VERSION_STATE_ANNOUNCED
	admitted  = lilacv1.VersionState_VERSION_STATE_ADMITTED
	leaving   = lilacv1.VersionState_VERSION_STATE_LEAVING
)

func proposal(id string, changes ...*lilacv1.Change) *lilacv1.Proposal {
	return &lilacv1.Proposal{CommandId: id, Who: "awa", Instance: "entry-1", Statement: "statement " + id, Changes: changes, ProposedUnixMs: 1000}
}

func kindOf(r *lilacv1.CommandResult) fault.Kind { return r.GetStatus().GetKind() }

func TestInvalidChangesChangeNothing(t *testing.T) {
	for name, changes := range map[string][]*lilacv1.Change{
		"no change":                 nil,
		"unknown kind":              {{}},
		"tier above 3":              {class("a", 4, 0)},
		"shares above 1000":         {class("a", 0, 600), class("b", 0, 500)},
		"share that overflows":      {class("a", 0, 600), class("b", 0, 4294967295)},
		"class without name":        {class("", 0, 0)},
		"class without target":      {{Op: &lilacv1.Change_SetClass{SetClass: &lilacv1.Class{Name: "a"}}}},
		"drop of unknown class":     {{Op: &lilacv1.Change_DropClass{DropClass: "none"}}},
		"drop of unknown team":      {{Op: &lilacv1.Change_DropTeam{DropTeam: "none"}}},
		"address by name":           {server("r1", "engine.example:80")},
		"address without port":      {server("r1", "10.0.0.1")},
		"drain of unknown":          {{Op: &lilacv1.Change_DrainServer{DrainServer: &lilacv1.ServerDrain{Server: "none"}}}},
		"order to unknown":          {order("none", "m")},
		"conviction without expiry": {convict("d", 0)},
		"lift of unknown":           {{Op: &lilacv1.Change_LiftConviction{LiftConviction: "none"}}},
		"trial of unknown":          {tryConviction("none", 1)},
		"trial without a number":    {convict("d", 9000), tryConviction("d", 0)},
		"trial claimed twice":       {convict("d", 9000), tryConviction("d", 1), tryConviction("d", 1)},
		"trial after a later one":   {convict("d", 9000), tryConviction("d", 2), tryConviction("d", 1)},
		"version without service":   {setVersion("", "v1", admitted)},
		"version without state":     {setVersion("llm", "v1", 0)},
		"version with a long name":  {setVersion("llm", strings.Repeat("v", maxNameBytes+1), admitted)},
		"second version at once":    {setVersion("llm", "v1", admitted), setVersion("llm", "v2", admitted)},
		"version announced twice":   {setVersion("llm", "v1", announced), setVersion("llm", "v1", announced)},
		"unknown version leaves":    {setVersion("llm", "v1", leaving)},
		"drop of unknown version":   {dropVersion("llm", "v1")},
		"drop of admitted version":  {setVersion("llm", "v1", admitted), dropVersion("llm", "v1")},
		"lost version":              {{Op: &lilacv1.Change_SetVersion{SetVersion: &lilacv1.ServiceVersion{Lost: true, State: leaving}}}},
		"last of three wrong":       {team("x"), class("y", 1, 100), class("z", 9, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine(0)
			is.Equal(kindOf(m.Apply(proposal("1", class("kept", 0, 100)))), lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED)
			before := m.Config()
			is.Equal(kindOf(m.Apply(proposal("2", changes...))), lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE)
			is.True(proto.Equal(before, m.Config()))
			is.Equal(m.tables.shares, uint32(100))
		})
	}
}

// Two operators propose a change with IF REVISION 1 concurrently. One must succeed, and
// the other must learn the author and number of that change, even after later changes.
func TestConcurrentProposalsHaveOneWinner(t *testing.T) {
	is := is.New(t)
	m := NewMachine(0)
	m.Apply(proposal("1", class("a", 0, 0)))
	first, second := proposal("2", class("a", 1, 0)), proposal("3", class("a", 2, 0))
	first.IfRevision, second.IfRevision = proto.Uint64(1), proto.Uint64(1)
	first.Who = "moussa"
	is.Equal(m.Apply(first).GetPropose().GetRevision(), uint64(2))
	m.Apply(proposal("4", team("t")))
	lost := m.Apply(second)
	is.Equal(kindOf(lost), lilacv1.ErrorKind_ERROR_KIND_CONFLICT)
	is.Equal(lost.GetPropose().GetWinner().GetNumber(), uint64(2))
	is.Equal(lost.GetPropose().GetWinner().GetWho(), "moussa")
	again := m.Apply(second)
	is.Equal(kindOf(again), lilacv1.ErrorKind_ERROR_KIND_CONFLICT)
	is.True(again.GetPropose().GetRepeatedCommand())
}

// Two operators set up an empty fleet concurrently with IF REVISION 0. The second
// proposal must not change what the first created.
func TestConditionOnEmptyConfigurationHasOneWinner(t *testing.T) {
	is := is.New(t)
	m := NewMachine(0)
	first, second := proposal("1", class("a", 1, 0)), proposal("2", class("a", 2, 0))
	first.IfRevision, second.IfRevision = proto.Uint64(0), proto.Uint64(0)
	is.Equal(kindOf(m.Apply(first)), lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED)
	is.Equal(kindOf(m.Apply(second)), lilacv1.ErrorKind_ERROR_KIND_CONFLICT)
	is.Equal(m.Config().GetClasses()[0].GetTier(), uint32(1))
}

// A reply is lost and the client resends the command after another operator changed
// the same class. The resend must return the first result and must not undo the other
// change, also after a restart from a snapshot.
func TestResentCommandReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	m := NewMachine(0)
	m.Apply(proposal("1", class("a", 0, 0)))
	m.Apply(proposal("2", class("a", 3, 0)))
	restored := NewMachine(0)
	restored.Restore(m.Snapshot())
	for _, machine := range []*Machine{m, restored} {
		again := machine.Apply(proposal("1", class("a", 0, 0)))
		is.Equal(again.GetPropose().GetRevision(), uint64(1))
		is.True(again.GetPropose().GetRepeatedCommand())
		is.Equal(machine.Config().GetClasses()[0].GetTier(), uint32(3))
		is.Equal(machine.Revision(), uint64(2))
		other := proposal("1", class("b", 0, 0))
		other.Statement = "another"
		is.Equal(kindOf(machine.Apply(other)), lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST)
	}
}

func TestRetentionBoundsAuditTrailAndCommands(t *testing.T) {
	is := is.New(t)
	m := NewMachine(10)
	for i := range 30 {
		m.Apply(proposal(fmt.Sprint(i), team(fmt.Sprint(i))))
	}
	is.Equal(len(m.Audit(0, 100)), 10)
	is.Equal(m.Audit(25, 3)[0].GetNumber(), uint64(25))
	is.Equal(len(m.audit.commands), 10)
	_, held := m.Since(19, 5)
	is.Equal(held, false)
	revisions, held := m.Since(20, 5)
	is.True(held)
	is.Equal(revisions[0].GetNumber(), uint64(21))
	is.Equal(len(revisions), 5)
	for i := range RefusedRetention + 10 {
		m.Apply(proposal(fmt.Sprint("bad", i)))
	}
	is.Equal(len(m.refused.results), RefusedRetention)
}

func TestDryRunChangesNothing(t *testing.T) {
	is := is.New(t)
	m := NewMachine(0)
	p := proposal("1", class("a", 0, 500), team("t"))
	p.DryRun = true
	is.Equal(m.Apply(p).GetPropose().GetRevision(), uint64(1))
	is.Equal(m.Revision(), uint64(0))
	is.Equal(m.tables.shares, uint32(0))
	p.DryRun = false
	is.Equal(m.Apply(p).GetPropose().GetRepeatedCommand(), false)
}

// A follower that applies the machine's revisions must end with the same configuration,
// including expired convictions, drained servers and orders for a dropped server.
func TestFollowerMatchesMachine(t *testing.T) {
	is := is.New(t)
	m, f := NewMachine(0), NewFollower()
	is.NoErr(f.Load(m.Config()))
	late := proposal("5", team("t2"))
	late.ProposedUnixMs = 5000
	for _, p := range []*lilacv1.Proposal{
		proposal("1", class("a", 0, 10), team("t"), server("r1", "10.0.0.1:80"), server("r2", "10.0.0.2:80")),
		proposal("2", order("r1", "m"), order("r2", "m"), convict("d1", 4000), convict("d2", 9000)),
		proposal("3", &lilacv1.Change{Op: &lilacv1.Change_DrainServer{DrainServer: &lilacv1.ServerDrain{Server: "r2", Draining: true}}}),
		proposal("4", &lilacv1.Change{Op: &lilacv1.Change_DropServer{DropServer: "r1"}}),
		late,
		proposal("6", setVersion("llm", "v1", admitted), setVersion("llm", "v2", announced), setVersion("desk", "v1", admitted)),
		proposal("7", setVersion("llm", "v1", leaving)),
		proposal("8", dropVersion("llm", "v1")),
	} {
		is.Equal(kindOf(m.Apply(p)), lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED)
	}
	before := f.Current()
	revisions, _ := m.Since(0, 100)
	is.NoErr(f.Apply(revisions[:2]))
	is.NoErr(f.Apply(revisions))
	is.True(proto.Equal(f.Config(), m.Config()))
	is.Equal(len(before.Classes), 0)
	is.Equal(len(before.Versions), 0)
	view := f.Current()
	is.Equal(len(view.Versions["llm"]), 1)
	is.Equal(view.Versions["llm"][0].GetVersion(), "v2")
	is.Equal(len(view.Convictions), 1)
	is.Equal(len(view.Orders), 1)
	is.True(view.Servers["r2"].GetDraining())
	is.Equal(len(view.Pools["redaction"]), 1)

	is.True(fault.Is(f.Load(m.Config()), lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
	gap := []*lilacv1.Revision{{Number: 12}}
	is.True(fault.Is(f.Apply(gap), lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
	is.Equal(f.Revision(), uint64(8))
}

// BenchmarkChange45000Teams measures the cost of a change with few and with many teams,
// on a state process and on a follower. On a state process it must not grow with the
// number of teams.
func BenchmarkChange45000Teams(b *testing.B) {
	for _, teams := range []int{10, 45000} {
		m := NewMachine(1000)
		for i := range teams {
			m.Apply(proposal(fmt.Sprint("t", i), team(fmt.Sprint(i))))
		}
		f := NewFollower()
		if err := f.Load(m.Config()); err != nil {
			b.Fatal(err)
		}
		for kind, change := range map[string]*lilacv1.Change{"class": class("a", 0, 1), "team": team("1")} {
			b.Run(fmt.Sprintf("machine/%s/teams=%d", kind, teams), func(b *testing.B) {
				for i := range b.N {
					m.Apply(proposal(fmt.Sprint(b.N, kind, i), change))
				}
			})
			b.Run(fmt.Sprintf("holder/%s/teams=%d", kind, teams), func(b *testing.B) {
				for range b.N {
					r := &lilacv1.Revision{Number: f.Revision() + 1, Changes: []*lilacv1.Change{change}}
					if err := f.Apply([]*lilacv1.Revision{r}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// A newer snapshot without the document, or with an older one, would revert routes and
// keys without a change in the audit trail.
func TestSnapshotNeverRevertsDocument(t *testing.T) {
	is := is.New(t)
	f := NewFollower()
	is.NoErr(f.Load(&lilacv1.Snapshot{Revision: 3, Document: &lilacv1.Document{Version: 7}}))
	for _, older := range []*lilacv1.Document{nil, {Version: 6}} {
		err := f.Load(&lilacv1.Snapshot{Revision: 4, Document: older})
		is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_CONFLICT))
		is.Equal(f.Current().Document.GetVersion(), uint64(7))
	}
	is.NoErr(f.Load(&lilacv1.Snapshot{Revision: 4, Document: &lilacv1.Document{Version: 7}}))
	// After a recovery, the document of the recovered group is authoritative.
	is.NoErr(f.Load(&lilacv1.Snapshot{Revision: 9, Recoveries: 1, Document: &lilacv1.Document{Version: 6}}))
}

// Guards against trials of a crashing part that are granted again once another instance has
// proposed the same conviction.
func TestClaimedTrialsOutliveTheSameConviction(t *testing.T) {
	is := is.New(t)
	m := NewMachine(0)
	is.Equal(kindOf(m.Apply(proposal("1", convict("d", 5000), tryConviction("d", 1)))), lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED)
	is.Equal(kindOf(m.Apply(proposal("2", convict("d", 9000)))), lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED)
	is.Equal(m.Config().GetConvictions()[0].GetTrials(), uint32(1))
	is.Equal(kindOf(m.Apply(proposal("3", tryConviction("d", 1)))), lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE)
	is.Equal(kindOf(m.Apply(proposal("4", tryConviction("d", 2)))), lilacv1.ErrorKind_ERROR_KIND_UNSPECIFIED)
}
