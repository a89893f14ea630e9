package settings

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lilacbridge/lilacbridge/process/number"
)

// Entry holds the settings of an entry instance.
type Entry struct {
	Common `yaml:",inline"`
	// Callers is the listen address for callers' HTTP requests. Required unless Gateway
	// is set; then default none.
	Callers Address `yaml:"callers"`
	// Operators is the listen address for operators' statements. Required unless Gateway
	// is set; then default none.
	Operators Address `yaml:"operators"`
	// State lists all state processes. Required unless Seeds is set.
	State []Peer `yaml:"state"`
	// Entries lists other entry instances that are known at the start. Default none.
	Entries []Peer `yaml:"entries"`
	// CallerKeyFile is a file with the key that callers' tokens are derived from.
	// Required with Callers.
	CallerKeyFile string `yaml:"caller_key_file"`
	// OperatorTokensFile is a file with one "name token" per line. Required with
	// Operators.
	OperatorTokensFile string `yaml:"operator_tokens_file"`
	// InstanceList is the URL of the platform's list of instances. Default none.
	InstanceList string `yaml:"instance_list"`
	// Gateway is set if callers' requests are routed by host and path.
	Gateway *Gateway `yaml:"gateway"`
	// DigestInterval is the interval of digest exchanges with the same entry instance,
	// for up to ten instances. Default 1s; shorter intervals make decisions agree sooner
	// and cost bandwidth.
	DigestInterval Duration `yaml:"digest_interval"`
	// Duties configures what this instance reports to the leader. Default nothing.
	Duties EntryDuties `yaml:"duties"`
	// Limits restricts what a caller may send.
	Limits EntryLimits `yaml:"limits"`
	// Policy holds the weights of the scheduling policy.
	Policy Policy `yaml:"policy"`
	// Drain is how long streams may continue after SIGTERM. Default 5m, with a gateway
	// 0.66 of its grace time.
	Drain Duration `yaml:"drain"`
	// DrainLag is how long the instance continues to accept requests after SIGTERM, until
	// the load balancer has noticed that /readyz fails. Default 3s, with a gateway a
	// quarter of its grace time.
	DrainLag Duration `yaml:"drain_lag"`
}

// EntryLimits restricts what a caller may send.
type EntryLimits struct {
	// BodyBytes is the maximum size of a body. Default 1048576.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderBytes is the maximum size of a header. Default 16384.
	HeaderBytes int `yaml:"header_bytes"`
	// ReadTimeout limits how long a caller may take to send a request. Default 10s.
	ReadTimeout Duration `yaml:"read_timeout"`
	// ProcessLimits is what the process may use of its machine.
	ProcessLimits `yaml:",inline"`
	// HeldBytes is the most that the instance holds for callers and backend servers: bodies
	// and answers. Default a fifth of MemoryMB, or no bound without one.
	HeldBytes int64 `yaml:"held_bytes"`
	// UnreadTimeout is how long a caller may accept no data before its answer is given up, and,
	// if HeldBytes is in force, how long it may take to send a body to a gateway. Default 30s.
	UnreadTimeout Duration `yaml:"unread_timeout"`
	// UploadStall is how long a backend server may accept no data of a large request before
	// the attempt has failed. Default 5s if HeldBytes is in force, otherwise no bound.
	UploadStall Duration `yaml:"upload_stall"`
}

const (
	// minHeldBytes is the least bound with which a large body, and those of others beside it,
	// find room.
	minHeldBytes         = 1 << 20
	defaultUnreadTimeout = 30 * time.Second
	defaultUploadStall   = 5 * time.Second
	// minPeerTimeout is longer than the pauses of a peer that reads.
	minPeerTimeout = 500 * time.Millisecond
)

func (l *EntryLimits) setDefaults() {
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.ReadTimeout.Duration = l.ReadTimeout.Or(defaultReadTimeout)
	if l.HeldBytes == 0 {
		l.HeldBytes = l.MemoryBytes() / heldDivisor
	}
	l.UnreadTimeout.Duration = l.UnreadTimeout.Or(defaultUnreadTimeout)
	if l.HeldBytes > 0 {
		l.UploadStall.Duration = l.UploadStall.Or(defaultUploadStall)
	}
}

// validate checks the limits once the defaults are set.
func (l *EntryLimits) validate() (all []error) {
	all = l.ProcessLimits.validate()
	if l.HeldBytes != 0 && l.HeldBytes < minHeldBytes {
		all = append(all, &Problem{Line: 1, Field: "limits.held_bytes", Message: fmt.Sprintf("is %d bytes, must be %d or more, or 0 for no bound", l.HeldBytes, minHeldBytes)})
	}
	if l.MemoryMB > 0 && l.HeldBytes > l.MemoryBytes()/2 {
		all = append(all, &Problem{Line: 1, Field: "limits.held_bytes", Message: "must be at most half of limits.memory_mb, since the process needs memory of its own"})
	}
	for field, timeout := range map[string]Duration{"limits.unread_timeout": l.UnreadTimeout, "limits.upload_stall": l.UploadStall} {
		if timeout.Line != 0 && timeout.Duration < minPeerTimeout {
			all = append(all, &Problem{Line: timeout.Line, Field: field, Message: fmt.Sprintf("must be %v or more", minPeerTimeout)})
		}
	}
	return all
}

// Policy holds the weights of the scheduling policy; see docs/OPERATING.md.
type Policy struct {
	// AttainmentWeight is the value of a response within its targets. Default 1.
	AttainmentWeight float64 `yaml:"attainment_weight"`
	// WasteWeight is the cost of a wasted token. Default 0.5.
	WasteWeight float64 `yaml:"waste_weight"`
	// RemoteCost is the cost of a data centre in another region, as added latency.
	// Default 50ms.
	RemoteCost Duration `yaml:"remote_cost"`
	// Regions maps data centres to regions. RemoteCost does not apply within a region.
	// Default: each data centre is a separate region.
	Regions map[string]string `yaml:"regions"`
	// SubsetSize is the number of backend servers of a pool that an instance uses; 0 means
	// all, up to 100.
	SubsetSize int `yaml:"subset_size"`
	// RetryShare is the maximum number of retries of all instances per request for a pool.
	// Default 0.1.
	RetryShare float64 `yaml:"retry_share"`
	// RetryExtra is how many more retries all instances together may make in any RetryWindow.
	// Default 50.
	RetryExtra *float64 `yaml:"retry_extra"`
	// RetryWindow is the length of the windows in which retries are counted. Default 10s.
	RetryWindow Duration `yaml:"retry_window"`
	// Terms lists the terms of service in force, of which TermPressure has an effect here;
	// others are ignored. Default none.
	Terms []string `yaml:"terms"`
	// FeatureGates switches parts of the policy for contended pools on or off by name; see
	// Feature. Parts that aren't listed keep their default.
	FeatureGates map[Feature]bool `yaml:"feature_gates"`
}

// Feature is a part of the policy that acts in contended pools only.
type Feature string

// The features.
const (
	// AdmissionByEnd refuses requests whose answers can't end within their callers' time limits.
	// Default on.
	AdmissionByEnd Feature = "admission_by_end"
	// TeamShares divides the service among teams over all instances. Default on.
	TeamShares Feature = "team_shares"
	// MemoryGuard starts requests only where the memory of a backend server has room for them. It
	// is for servers that fail beyond their memory, and costs throughput elsewhere. Default off.
	MemoryGuard Feature = "memory_guard"
)

// featureDefaults are the features with their defaults.
var featureDefaults = map[Feature]bool{AdmissionByEnd: true, TeamShares: true, MemoryGuard: false}

// Enabled reports whether the feature is switched on.
func (p *Policy) Enabled(feature Feature) bool {
	if on, listed := p.FeatureGates[feature]; listed {
		return on
	}
	return featureDefaults[feature]
}

func (p *Policy) validateFeatures() (all []error) {
	for _, feature := range slices.Sorted(maps.Keys(p.FeatureGates)) {
		if _, known := featureDefaults[feature]; !known {
			all = append(all, &Problem{Line: 1, Field: "policy.feature_gates", Message: fmt.Sprintf("%q is not a feature; use %s, %s or %s", feature, AdmissionByEnd, TeamShares, MemoryGuard)})
		}
	}
	return all
}

// TermPressure states that callers compete for too little room at times: all pools of
// backend servers count as contended.
const TermPressure = "pressure"

// Pressure reports whether TermPressure is in force.
func (p *Policy) Pressure() bool { return slices.Contains(p.Terms, TermPressure) }

const (
	defaultBodyBytes   = 1 << 20
	defaultHeaderBytes = 16 << 10
	defaultReadTimeout = 10 * time.Second
	defaultDrainLag    = 3 * time.Second
	defaultDrain       = 5 * time.Minute
	defaultRemoteCost  = 50 * time.Millisecond
	defaultRetryShare  = 0.1
	defaultRetryExtra  = 50
	defaultRetryWindow = 10 * time.Second
	defaultWasteWeight = 0.5
)

// minRetryWindow is the shortest RetryWindow.
const minRetryWindow = time.Second

// RetryExtraOrDefault returns RetryExtra, or its default.
func (p *Policy) RetryExtraOrDefault() float64 {
	if p.RetryExtra == nil {
		return defaultRetryExtra
	}
	return *p.RetryExtra
}

// RetryWindowOrDefault returns RetryWindow, or its default.
func (p *Policy) RetryWindowOrDefault() time.Duration { return p.RetryWindow.Or(defaultRetryWindow) }

// Validate checks the settings beyond what their types do, and sets defaults.
func (e *Entry) Validate() error {
	all := e.validateCommon()
	all = append(all, validatePeers("state", e.State)...)
	all = append(all, validatePeers("entries", e.Entries)...)
	required := func(missing bool, field string) {
		if missing {
			all = append(all, &Problem{Line: 1, Field: field, Message: "missing; add it, see docs/OPERATING.md"})
		}
	}
	e.State = append(e.State, e.seedPeers()...)
	required(len(e.State) == 0, "state")
	standalone := e.Gateway == nil
	required(e.Callers.Value == "" && standalone, "callers")
	required(e.Operators.Value == "" && standalone, "operators")
	required(e.CallerKeyFile == "" && e.Callers.Value != "", "caller_key_file")
	required(e.OperatorTokensFile == "" && e.Operators.Value != "", "operator_tokens_file")
	if e.Gateway != nil {
		required(e.Gateway.Callers.Value == "", "gateway.callers")
		required(e.Gateway.Readiness.Value == "", "gateway.readiness")
		required(e.Gateway.ServerList.Value == "", "gateway.server_list")
		e.Gateway.setDefaults()
	}
	all = append(all, validateNumber("policy.attainment_weight", e.Policy.AttainmentWeight, math.MaxFloat64, "must be a number, 0 or more")...)
	all = append(all, validateNumber("policy.waste_weight", e.Policy.WasteWeight, math.MaxFloat64, "must be a number, 0 or more")...)
	all = append(all, validateNumber("policy.retry_share", e.Policy.RetryShare, 1, "must be between 0 and 1")...)
	if extra := e.Policy.RetryExtra; extra != nil {
		all = append(all, validateNumber("policy.retry_extra", *extra, math.MaxFloat64, "must be a number of retries, 0 or more")...)
	}
	if window := e.Policy.RetryWindow; window.Line != 0 && window.Duration < minRetryWindow {
		all = append(all, &Problem{Line: window.Line, Field: "policy.retry_window", Message: fmt.Sprintf("must be %v or more", minRetryWindow)})
	}
	all = append(all, e.Policy.validateFeatures()...)
	all = append(all, e.Duties.validate()...)
	e.setDefaults()
	all = append(all, e.Limits.validate()...)
	if e.Gateway != nil && e.CloseTimeout() < minCloseTimeout {
		all = append(all, &Problem{Line: 1, Field: "gateway.grace", Message: fmt.Sprintf(
			"is %v, and drain_lag and drain use %v of it; at least %v must remain, so shorten or omit them",
			e.Gateway.Grace.Duration, e.DrainLag.Duration+e.Drain.Duration, 2*minCloseTimeout)})
	}
	return errors.Join(all...)
}

// CloseTimeout returns how long listeners may take to close after the drain. With a
// gateway it is half of the remaining grace time; the other half is for the process to
// exit.
func (e *Entry) CloseTimeout() time.Duration {
	if e.Gateway == nil {
		return defaultCloseTimeout
	}
	return (e.Gateway.Grace.Duration - e.DrainLag.Duration - e.Drain.Duration) / 2
}

// Gateway holds the settings of the gateway interface, which routes by host and path.
type Gateway struct {
	// Callers is the listen address for callers' requests. No default.
	Callers Address `yaml:"callers"`
	// Readiness is the listen address of the load balancer's readiness check. No default.
	Readiness Address `yaml:"readiness"`
	// ServerList is the address of the platform's list of backend servers. No default.
	ServerList Address `yaml:"server_list"`
	// ListInterval is the polling interval of that list. Default 1s.
	ListInterval Duration `yaml:"list_every"`
	// Revocation is the maximum time from the acceptance of a document that revokes a key
	// until every instance must know of it; 0 means no limit. Default 0.
	Revocation Duration `yaml:"revocation"`
	// AppliedWithin is the maximum time from the acceptance of a document until every
	// instance must know it. An instance that may not have the newest document rejects no
	// route or key as unknown. 0 means no limit. Default 0.
	AppliedWithin Duration `yaml:"applied_within"`
	// Grace is how long the process may take to exit after SIGTERM. The defaults of
	// drain_lag and drain depend on it. Default 8s.
	Grace Duration `yaml:"grace"`
}

const (
	// defaultListInterval keeps the age of the list well below the 4 s after which a
	// leaving server must get no new requests.
	defaultListInterval = time.Second
	defaultGrace        = 8 * time.Second
	// drainLagShare and drainShare are the default shares of DrainLag and Drain in the
	// grace time: of 8 s, 2 s until the load balancer has noticed and 5.3 s for running
	// requests. Together they extend into the last sixth of the grace time. Requests that
	// still run by then have had all the time that a planned stop allows.
	drainLagShare = 0.25
	drainShare    = 0.6625
	// defaultCloseTimeout applies without a gateway, when there is no grace time.
	defaultCloseTimeout = 10 * time.Second
	// minCloseTimeout is enough for listeners to close on a busy machine.
	minCloseTimeout = 25 * time.Millisecond
)

func (g *Gateway) setDefaults() {
	g.ListInterval.Duration = g.ListInterval.Or(defaultListInterval)
	g.Grace.Duration = g.Grace.Or(defaultGrace)
}

func (e *Entry) setDefaults() {
	e.Limits.setDefaults()
	if e.Policy.AttainmentWeight == 0 {
		e.Policy.AttainmentWeight = 1
	}
	if e.Policy.WasteWeight == 0 {
		e.Policy.WasteWeight = defaultWasteWeight
	}
	if e.Policy.RetryShare == 0 {
		e.Policy.RetryShare = defaultRetryShare
	}
	e.Policy.RemoteCost.Duration = e.Policy.RemoteCost.Or(defaultRemoteCost)
	lag, drain := defaultDrainLag, defaultDrain
	if e.Gateway != nil {
		grace := float64(e.Gateway.Grace.Duration)
		lag, drain = number.Duration(drainLagShare*grace), number.Duration(drainShare*grace)
	}
	e.Drain.Duration = e.Drain.Or(drain)
	e.DrainLag.Duration = e.DrainLag.Or(lag)
}
