package bench

import (
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/model"
)

// class is a request class with its workload.
type class struct {
	name string
	tier uint32
	// service is true for requests to the plain service, which have no tokens.
	service bool
	first   time.Duration
	between time.Duration
	share   uint32
	late    lilacv1.LatePolicy
	// rate is the number of arrivals per second in the whole fleet at load 1.
	rate float64
	// prompt and output are medians in tokens; spread is the sigma of the
	// log-normal distribution of the output.
	prompt, output, spread float64
	// shared is the number of leading prompt blocks that requests of a team share.
	shared int
	// histories is the number of different shared prefixes of a team.
	histories int
	// idempotent is the fraction of requests that may be executed twice.
	idempotent float64
	// firstTokenTimeout is how long a caller waits for the first token.
	firstTokenTimeout time.Duration
}

// fleet is the configuration and workload of one deployment.
type fleet struct {
	name        string
	dataCenters []string
	engines     string
	service     string
	classes     []class
	burst       string
	weights     settings.Policy
}

const (
	instanceCount = 8
	engineCount   = 10
	serviceCount  = 3
	teamCount     = 10
	engineSlots   = 16
	serviceSlots  = 4
	// retriesPerInstance is how many retries an instance may make in a minute beyond its share.
	retriesPerInstance = 20
)

func weights(attainment, waste float64) settings.Policy {
	p := settings.Policy{AttainmentWeight: attainment, WasteWeight: waste, RetryShare: 0.1, RetryExtra: new(float64), RetryWindow: settings.Duration{Duration: time.Minute, Line: 1}}
	*p.RetryExtra = retriesPerInstance * instanceCount
	p.RemoteCost.Duration = 50 * time.Millisecond
	return p
}

const (
	runLate = lilacv1.LatePolicy_LATE_POLICY_RUN
	refuse  = lilacv1.LatePolicy_LATE_POLICY_REFUSE
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// fleets are the two known deployments. Rates, lengths and targets are assumptions
// of the bench.
var fleets = []fleet{
	{
		name: "agence", dataCenters: []string{"dakar-a", "thies-a", "saint-louis-a"},
		engines: "redaction", service: "guichet", burst: "officers", weights: weights(1, 0.2),
		classes: []class{
			{name: "alerts", tier: 0, first: ms(420), between: ms(65), share: 50, late: runLate, rate: 4, prompt: 200, output: 80, spread: 0.5, shared: 8, histories: 1, idempotent: 1, firstTokenTimeout: 10 * time.Second},
			{name: "officers", tier: 1, first: ms(800), between: ms(65), share: 50, late: runLate, rate: 3.5, prompt: 300, output: 160, spread: 0.7, shared: 10, histories: 2, idempotent: 1, firstTokenTimeout: 10 * time.Second},
			{name: "summaries", tier: 2, first: ms(3000), between: ms(100), share: 100, late: refuse, rate: 2, prompt: 800, output: 280, spread: 0.7, shared: 6, histories: 1, idempotent: 1, firstTokenTimeout: 30 * time.Second},
			{name: "digests", tier: 3, first: ms(15000), between: ms(200), share: 100, late: runLate, rate: 1, prompt: 800, output: 450, spread: 0.8, shared: 6, histories: 1, idempotent: 1, firstTokenTimeout: 60 * time.Second},
			{name: "registrations", tier: 0, service: true, first: ms(1000), share: 50, late: runLate, rate: 15, prompt: 50, idempotent: 0, firstTokenTimeout: 10 * time.Second},
			{name: "profiles", tier: 1, service: true, first: ms(500), share: 50, late: runLate, rate: 60, prompt: 20, idempotent: 1, firstTokenTimeout: 10 * time.Second},
		},
	},
	{
		name: "madryn", dataCenters: []string{"chubut-a", "rionegro-a", "tierradelfuego-a"},
		engines: "asistente-lm", service: "agenda-app", burst: "voyages", weights: weights(0.5, 1),
		classes: []class{
			{name: "dispatch", tier: 0, first: ms(420), between: ms(65), share: 50, late: runLate, rate: 3, prompt: 150, output: 100, spread: 0.5, shared: 6, histories: 1, idempotent: 1, firstTokenTimeout: 10 * time.Second},
			{name: "voyages", tier: 1, first: ms(2500), between: ms(80), share: 50, late: runLate, rate: 1.5, prompt: 1800, output: 650, spread: 0.6, shared: 96, histories: 4, idempotent: 1, firstTokenTimeout: 30 * time.Second},
			{name: "tides", tier: 2, first: ms(2000), between: ms(100), share: 100, late: refuse, rate: 2, prompt: 500, output: 160, spread: 0.6, shared: 4, histories: 1, idempotent: 1, firstTokenTimeout: 30 * time.Second},
			{name: "crew-notes", tier: 3, first: ms(15000), between: ms(200), share: 100, late: runLate, rate: 1, prompt: 700, output: 300, spread: 0.8, shared: 4, histories: 1, idempotent: 1, firstTokenTimeout: 60 * time.Second},
			{name: "bookings", tier: 0, service: true, first: ms(1000), share: 50, late: runLate, rate: 10, prompt: 50, idempotent: 0, firstTokenTimeout: 10 * time.Second},
			{name: "slot-checks", tier: 1, service: true, first: ms(500), share: 50, late: runLate, rate: 60, prompt: 20, idempotent: 1, firstTokenTimeout: 10 * time.Second},
		},
	},
}

func (f *fleet) dataCenter(i int) string { return f.dataCenters[i%len(f.dataCenters)] }

func engineName(i int) string  { return fmt.Sprintf("engine-%02d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }
func teamName(i int) string    { return fmt.Sprintf("team-%02d", i) }

// view returns the configuration of every instance.
func (f *fleet) view() *model.View {
	snapshot := &lilacv1.Snapshot{Revision: 1}
	for _, k := range f.classes {
		snapshot.Classes = append(snapshot.Classes, &lilacv1.Class{
			Name: k.name, Tier: k.tier, SharePermille: k.share, Late: k.late,
			FirstTokenMs: uint32(k.first / time.Millisecond), BetweenTokensMs: uint32(k.between / time.Millisecond),
		})
	}
	for i := range teamCount {
		snapshot.Teams = append(snapshot.Teams, &lilacv1.Team{Name: teamName(i), Weight: 1})
	}
	for i := range engineCount {
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
			Name: engineName(i), DataCenter: f.dataCenter(i), Kind: lilacv1.ServerKind_SERVER_KIND_ENGINE,
			Serves: []string{f.engines}, Slots: engineSlots,
		})
	}
	for i := range serviceCount {
		snapshot.Servers = append(snapshot.Servers, &lilacv1.Server{
			Name: serviceName(i), DataCenter: f.dataCenter(i), Kind: lilacv1.ServerKind_SERVER_KIND_SERVICE,
			Serves: []string{f.service}, Slots: serviceSlots,
		})
	}
	return model.NewView(snapshot)
}
