package routing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/model"
)

func document() *Document {
	return &Document{
		Version: 7,
		Routes: []Route{
			{Name: "plans", Host: "a.example", PathPrefix: "/p/", Kind: Streaming, Timeout: time.Second, TargetLatency: 600 * time.Millisecond, EventGap: 300 * time.Millisecond, Priority: 1, Backends: []Backend{{"engines", 90}, {"desk", 10}}, MaxAttempts: 2, Resumable: true},
			{Name: "drafts", Host: "a.example", PathPrefix: "/p/drafts/", Kind: Streaming, Timeout: time.Second, Backends: []Backend{{"engines", 1}}},
			{Name: "open", Host: "b.example", PathPrefix: "/", Timeout: time.Second, Backends: []Backend{{"desk", 1}}, Public: true},
		},
		Services: []Service{{Name: "engines", Engine: &Engine{Slots: 64, CacheTokens: 1000, EventTokens: 3}}, {Name: "desk"}},
		Teams:    []Team{{Name: "north", Keys: []string{"k1", "k2"}, Priority: 0, HasPriority: true}, {Name: "south", Keys: []string{"k3"}}},
	}
}

func TestValidateNamesRouteAndRemedy(t *testing.T) {
	is := is.New(t)
	is.NoErr(document().Validate())
	cases := map[string]struct {
		corrupt func(*Document)
		wants   []string
	}{
		"unknown service":     {func(d *Document) { d.Routes[1].Backends[0].Service = "none" }, []string{"drafts", "none", "add the service"}},
		"same host and path":  {func(d *Document) { d.Routes[1].PathPrefix = "/p/" }, []string{"drafts", "plans"}},
		"weights add up to 0": {func(d *Document) { d.Routes[0].Backends = []Backend{{"desk", 0}} }, []string{"plans", "weights"}},
		"weight below 0":      {func(d *Document) { d.Routes[0].Backends[0].Weight = -1 }, []string{"plans", "below 0"}},
		"no service":          {func(d *Document) { d.Routes[2].Backends = nil }, []string{"open", "no service"}},
		"no timeout":          {func(d *Document) { d.Routes[0].Timeout = 0 }, []string{"plans", "timeout"}},
		"shared key":          {func(d *Document) { d.Teams[1].Keys = []string{"k1"} }, []string{"north", "south", "key"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := document()
			c.corrupt(d)
			err := d.Validate()
			if err == nil {
				t.Fatal("invalid document accepted")
			}
			for _, want := range c.wants {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := NewTable(document(), 1)
	is.Equal(table.Match("a.example", "/p/drafts/1").Name, "drafts")
	is.Equal(table.Match("a.example", "/p/other").Name, "plans")
	is.Equal(table.Match("a.example", "/p"), nil)
	is.Equal(table.Match("b.example", "/p/drafts/1").Name, "open")
	is.Equal(table.Match("c.example", "/p/"), nil)
	is.Equal(table.TeamByKey("k2").Name, "north")
	is.Equal(table.TeamByKey("k9"), nil)
}

func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	route := &document().Routes[0]
	counts := make(map[string]int)
	for i := range 1000 {
		counts[route.Pick(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"engines": 900, "desk": 100})
}

// Guards against an entry of another writer that names a server of this configuration under another
// service: requests would run at a service that their routes don't have, or the server would be
// out of use because of a service that nobody knows.
func TestServerOfSeveralServicesIsNotUsed(t *testing.T) {
	is := is.New(t)
	view := View(NewTable(document(), 9), []Server{
		{Name: "i-1", Identity: "i-1", Service: "engines", Address: "10.0.0.1:80"},
		{Name: "i-1@desk", Identity: "i-1", Service: "desk", Address: "10.0.0.1:80"},
		{Name: "i-2", Identity: "i-2", Service: "nobody", Address: "10.0.0.2:80"},
		{Name: "i-2@engines", Identity: "i-2", Service: "engines", Address: "10.0.0.2:80"},
	}, model.NewView(&lilacv1.Snapshot{}))
	is.Equal(len(view.Servers), 1)
	is.True(view.Servers["i-2@engines"] != nil)
}

func TestViewCreatesClassPerRouteAndPriority(t *testing.T) {
	is := is.New(t)
	table := NewTable(document(), 9)
	view := View(table, []Server{
		{Name: "i-1/x", Identity: "i-1", Service: "engines", Address: "10.0.0.1:80", DataCenter: "a", Draining: true},
		{Name: "i-2", Identity: "i-2", Service: "gone", Address: "10.0.0.2:80"},
		{Name: "i-3", Service: "engines", Address: "10.0.0.3:80", SoftwareVersion: "v2"},
		{Name: "i-4", Service: "engines", Address: "10.0.0.4:80", SoftwareVersion: "v3"},
	}, model.NewView(&lilacv1.Snapshot{Versions: []*lilacv1.ServiceVersion{
		{Service: "engines", Version: "v2", State: lilacv1.VersionState_VERSION_STATE_ADMITTED},
		{Service: "engines", Version: "v3", State: lilacv1.VersionState_VERSION_STATE_ANNOUNCED},
	}}))
	is.Equal(view.Revision, uint64(9))
	plans := view.Classes["plans"]
	is.Equal(plans.GetTier(), uint32(1))
	is.Equal(plans.GetBetweenTokensMs(), uint32(100)) // 300 ms between events of 3 tokens
	is.Equal(plans.GetMaxAttempts(), uint32(2))
	urgent := view.Classes[ClassName(&table.Document.Routes[0], 0)]
	is.Equal(urgent.GetTier(), uint32(0))
	is.Equal(urgent.GetRank(), uint32(1))
	server := view.Servers["i-1/x"]
	is.True(server.GetDraining())
	is.Equal(server.GetSlots(), uint32(64))
	is.Equal(server.GetIdentity(), "i-1")
	is.Equal(len(view.Servers), 3) // i-2 belongs to a service that is not in the document
	is.True(server.GetUnadmitted())
	is.True(!view.Servers["i-3"].GetUnadmitted())
	is.True(view.Servers["i-4"].GetUnadmitted())
	is.Equal(Priority(&table.Document.Routes[0], &table.Document.Teams[0]), 0)
	is.Equal(Priority(&table.Document.Routes[0], &table.Document.Teams[1]), 1)
}
