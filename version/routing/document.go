// Package routing defines the configuration of the gateway: routes by host and path, the
// services behind them, the teams with their keys, and limits.
//
// A Document is the decoded and validated configuration that operators send. A Table is
// an immutable index of it for the request path.
package routing

import (
	"fmt"
	"slices"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Document is a complete configuration of the gateway.
type Document struct {
	// Version increases with each document, not necessarily by 1.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route sends the requests for Host whose path begins with PathPrefix to one or more
// services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to the first event of a stream, within
	// which a request meets its target.
	TargetLatency time.Duration
	// EventGap is the maximum time between two events of a stream that meets its target;
	// 0 for routes without streams.
	EventGap time.Duration
	// Priority is the urgency of the route's requests; 0 is the most urgent.
	Priority int
	Backends []Backend
	// MaxAttempts is the maximum number of backend servers that a request is sent to; 0
	// means that only the limits of the policy apply.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue at another backend server after their last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Allows reports whether the route sends requests to the service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// Backend is a service with its weight among the services of a route.
type Backend struct {
	Service string
	Weight  int
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check of a server.
	HealthPath string
	// Connections is the maximum number of connections that a server accepts in total.
	Connections int
	// Engine is nil for services that are not model engines.
	Engine *Engine
	// Scaling is nil for services whose number of replicas is fixed.
	Scaling *Scaling
}

// Engine holds the properties that all model engines of a service share.
type Engine struct {
	// Slots is the number of concurrent requests.
	Slots int
	// CacheTokens is the size of the KV cache in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
	// FetchTime is the time to transfer one token of KV cache between engines; 0 if that
	// is not supported.
	FetchTime time.Duration
}

// Scaling holds the bounds and prices of replicas that may be ordered from the platform.
type Scaling struct {
	// Minimum and Maximum bound the replicas in a data centre, of both kinds together.
	Minimum, Maximum int
	// BootTime is the time from an order until a new replica serves.
	BootTime time.Duration
	// Prices are the prices of a replica by data centre, in any unit.
	Prices map[string]float64
	// ReclaimablePrice is the price of a replica that the platform may reclaim, as a share
	// of the price of an ordinary one; 0 if there are none.
	ReclaimablePrice float64
}

// ReplicaGroup is the set of a service's replicas of one kind in a data centre.
type ReplicaGroup struct {
	Service    string
	DataCenter string
	// Reclaimable replicas are cheaper, and the platform may reclaim all of a data centre
	// at short notice.
	Reclaimable bool
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits restricts what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits reading a header, IdleTimeout the time a connection stays open
	// without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func invalid(format string, args ...any) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, fmt.Sprintf(format, args...),
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}

// Validate returns an error that names the route and the field if the document is not
// valid.
func (d *Document) Validate() error {
	if err := d.validateNumbers(); err != nil {
		return err
	}
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
		if err := d.Services[i].validateScaling(); err != nil {
			return err
		}
	}
	type match struct{ host, prefix string }
	routes := make(map[match]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := match{r.Host, r.PathPrefix}
		if other, exists := routes[key]; exists {
			return invalid("routes %q and %q have the same host and path prefix; make them differ", r.Name, other)
		}
		routes[key] = r.Name
	}
	return d.validateTeams()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout; set one above 0", r.Name)
	}
	if len(r.Backends) == 0 {
		return invalid("route %q has no service; add one", r.Name)
	}
	total := 0
	for _, backend := range r.Backends {
		if !services[backend.Service] {
			return invalid("route %q refers to service %q, which is not in the document; add the service or use another", r.Name, backend.Service)
		}
		if backend.Weight < 0 {
			return invalid("route %q gives service %q a weight below 0; use 0 or more", r.Name, backend.Service)
		}
		total += backend.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0; give at least one service a weight above 0", r.Name)
	}
	return nil
}

func (s *Service) validateScaling() error {
	if s.Scaling == nil {
		return nil
	}
	if s.Scaling.Minimum < 0 || s.Scaling.Maximum < s.Scaling.Minimum {
		return invalid("service %q has a minimum of %d and a maximum of %d replicas; set 0 <= minimum <= maximum", s.Name, s.Scaling.Minimum, s.Scaling.Maximum)
	}
	return nil
}

func (d *Document) validateTeams() error {
	teams := make(map[string]string)
	for _, team := range d.Teams {
		for _, key := range team.Keys {
			if other, exists := teams[key]; exists && other != team.Name {
				return invalid("teams %q and %q have the same key; give each its own", other, team.Name)
			}
			teams[key] = team.Name
		}
	}
	return nil
}
