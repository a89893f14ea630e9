package settings

import (
	"errors"
	"fmt"
	"time"
)

// Entry holds the settings of an entry instance.
type Entry struct {
	Common `yaml:",inline"`
	// Callers is the address for callers' HTTP requests. No default, but where
	// there is a gateway: then none.
	Callers Address `yaml:"callers"`
	// Operators is the address for operators' statements. As with Callers.
	Operators Address `yaml:"operators"`
	// State lists all state processes. No default.
	State []Peer `yaml:"state"`
	// Entries lists the other entry instances that are known at start. Default none.
	Entries []Peer `yaml:"entries"`
	// CallerKeyFile holds the key that callers' tokens are made with. No default.
	CallerKeyFile string `yaml:"caller_key_file"`
	// OperatorTokensFile holds one "name token" a line. No default.
	OperatorTokensFile string `yaml:"operator_tokens_file"`
	// InstanceList is the URL of the platform's list of instances. Default none.
	InstanceList string `yaml:"instance_list"`
	// Gateway is set where callers' requests are routed by host and path.
	Gateway *Gateway `yaml:"gateway"`
	// DigestInterval lies between two exchanges of digests with the same entry, up
	// to ten entries. Default 1s; less makes choices agree sooner and costs bytes.
	DigestInterval Duration `yaml:"digest_interval"`
	// Limits bound what one caller may send.
	Limits EntryLimits `yaml:"limits"`
	// Policy holds the weights of the fleet.
	Policy Policy `yaml:"policy"`
	// Drain is how long streams may go on after SIGTERM. Default 5m, under a gateway
	// 0.66 of its grace time.
	Drain Duration `yaml:"drain"`
	// DrainLag is how long the instance goes on accepting after SIGTERM, while
	// /readyz says no and the balancer has not looked yet. Default 3s, under a
	// gateway a quarter of its grace time.
	DrainLag Duration `yaml:"drain_lag"`
}

// EntryLimits bound what one caller may send.
type EntryLimits struct {
	// BodyBytes is the largest body. Default 1048576.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderBytes is the largest header. Default 16384.
	HeaderBytes int `yaml:"header_bytes"`
	// ReadTimeout is how long a caller may take to send its request. Default 10s.
	ReadTimeout Duration `yaml:"read_timeout"`
}

// Policy holds the weights by which fleets differ; see docs/OPERATING.md.
type Policy struct {
	// AttainmentWeight is what an answer within its targets is worth. Default 1.
	AttainmentWeight float64 `yaml:"attainment_weight"`
	// WasteWeight is what a wasted token costs. Default 0.5.
	WasteWeight float64 `yaml:"waste_weight"`
	// RemoteCost is the price of a data centre in another region, as added time.
	// Default 50ms.
	RemoteCost Duration `yaml:"remote_cost"`
	// Regions names the region of each data centre; those of one region cost nothing to
	// each other. Default: each data centre is a region of its own.
	Regions map[string]string `yaml:"regions"`
	// SubsetSize is how many backend servers of a pool an instance uses; 0 means all up to 100.
	SubsetSize int `yaml:"subset_size"`
	// RetryShare is the retries allowed for each first try. Default 0.1.
	RetryShare float64 `yaml:"retry_share"`
}

const (
	defaultBodyBytes   = 1 << 20
	defaultHeaderBytes = 16 << 10
	defaultReadTimeout = 10 * time.Second
	defaultDrainLag    = 3 * time.Second
	defaultDrain       = 5 * time.Minute
	defaultRemoteCost  = 50 * time.Millisecond
	defaultRetryShare  = 0.1
	defaultWasteWeight = 0.5
)

// Validate checks the fields that their types can't, and fills in defaults.
func (e *Entry) Validate() error {
	all := e.problems()
	all = append(all, peerProblems("state", e.State)...)
	all = append(all, peerProblems("entries", e.Entries)...)
	required := func(missing bool, field string) {
		if missing {
			all = append(all, &Problem{Line: 1, Field: field, Message: "missing; add it, see docs/OPERATING.md"})
		}
	}
	e.State = append(e.State, e.seedPeers()...)
	required(len(e.State) == 0, "state")
	alone := e.Gateway == nil
	required(e.Callers.Value == "" && alone, "callers")
	required(e.Operators.Value == "" && alone, "operators")
	required(e.CallerKeyFile == "" && e.Callers.Value != "", "caller_key_file")
	required(e.OperatorTokensFile == "" && e.Operators.Value != "", "operator_tokens_file")
	if e.Gateway != nil {
		required(e.Gateway.Callers.Value == "", "gateway.callers")
		required(e.Gateway.Readiness.Value == "", "gateway.readiness")
		required(e.Gateway.ServerList.Value == "", "gateway.server_list")
		e.Gateway.fill()
	}
	if e.Policy.RetryShare < 0 || e.Policy.RetryShare > 1 {
		all = append(all, &Problem{Line: 1, Field: "policy.retry_share", Message: "must lie between 0 and 1"})
	}
	e.fill()
	if e.Gateway != nil && e.CloseTimeout() < minClosing {
		all = append(all, &Problem{Line: 1, Field: "gateway.grace", Message: fmt.Sprintf(
			"is %v, and drain_lag and drain take %v of it; %v must be left, so shorten them or leave them out",
			e.Gateway.Grace.Duration, e.DrainLag.Duration+e.Drain.Duration, 2*minClosing)})
	}
	return errors.Join(all...)
}

// CloseTimeout is how long listeners may take to close after the drain: half of what
// is left of a gateway's grace time, the other half is for the process to end.
func (e *Entry) CloseTimeout() time.Duration {
	if e.Gateway == nil {
		return defaultClosing
	}
	return (e.Gateway.Grace.Duration - e.DrainLag.Duration - e.Drain.Duration) / 2
}

// Gateway holds the settings of the interface for routed requests.
type Gateway struct {
	// Callers is the address for callers' requests. No default.
	Callers Address `yaml:"callers"`
	// Readiness is the address at which the balancer asks whether to send
	// connections here. No default.
	Readiness Address `yaml:"readiness"`
	// ServerList is the address of the list of backend servers. No default.
	ServerList Address `yaml:"server_list"`
	// ListInterval is the pause between two readings of that list. Default 1s.
	ListInterval Duration `yaml:"list_every"`
	// Revocation is how long after its acceptance a change that takes a key away
	// may still be unknown to an instance; 0 means that there is no bound. Default 0.
	Revocation Duration `yaml:"revocation"`
	// AppliedWithin is how long after its acceptance a document may still be unknown
	// to an instance; one that may not have it calls no route or key unknown. 0 means
	// that there is no bound. Default 0.
	AppliedWithin Duration `yaml:"applied_within"`
	// Grace is how long the process may take to end after SIGTERM; drain_lag and
	// drain follow it where they are left out. Default 8s.
	Grace Duration `yaml:"grace"`
}

const (
	// defaultListEvery keeps the list's age far below the 4 s within which a
	// leaving server must get no new work.
	defaultListEvery = time.Second
	defaultGrace     = 8 * time.Second
	// lagShare and drainShare are what the drain's two parts take of the grace
	// time, unless set: 2 s until the balancer has noticed and 5.3 s for what runs,
	// of 8 s. Together they reach into its last sixth: whoever still waits then has
	// waited as long as a planned stop allows.
	lagShare   = 0.25
	drainShare = 0.6625
	// defaultClosing is for entries without a gateway, which have no grace time.
	defaultClosing = 10 * time.Second
	// minClosing is the least time in which listeners close on a busy machine.
	minClosing = 25 * time.Millisecond
)

func (g *Gateway) fill() {
	g.ListInterval.Duration = g.ListInterval.Or(defaultListEvery)
	g.Grace.Duration = g.Grace.Or(defaultGrace)
}

func (e *Entry) fill() {
	if e.Limits.BodyBytes == 0 {
		e.Limits.BodyBytes = defaultBodyBytes
	}
	if e.Limits.HeaderBytes == 0 {
		e.Limits.HeaderBytes = defaultHeaderBytes
	}
	if e.Policy.AttainmentWeight == 0 {
		e.Policy.AttainmentWeight = 1
	}
	if e.Policy.WasteWeight == 0 {
		e.Policy.WasteWeight = defaultWasteWeight
	}
	if e.Policy.RetryShare == 0 {
		e.Policy.RetryShare = defaultRetryShare
	}
	e.Limits.ReadTimeout.Duration = e.Limits.ReadTimeout.Or(defaultReadTimeout)
	e.Policy.RemoteCost.Duration = e.Policy.RemoteCost.Or(defaultRemoteCost)
	lag, drain := defaultDrainLag, defaultDrain
	if e.Gateway != nil {
		grace := float64(e.Gateway.Grace.Duration)
		lag, drain = time.Duration(lagShare*grace), time.Duration(drainShare*grace)
	}
	e.Drain.Duration = e.Drain.Or(drain)
	e.DrainLag.Duration = e.DrainLag.Or(lag)
}
