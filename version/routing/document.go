// Package routing is the configuration of the gateway: routes by host and path,
// the services behind them, the teams with their keys, and limits.
//
// A Document is what operators send, decoded and checked. A Table is the same
// indexed for the request path; it is never changed once made.
package routing

import (
	"fmt"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Kind says what may be repeated on a route.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// Document is a whole configuration of the gateway.
type Document struct {
	// Version grows with each document, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route sends the requests of a host whose path begins with PathPrefix to one
// or more services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream, within
	// which a request counts in full.
	TargetLatency time.Duration
	// EventGap is the longest pause between two events of a stream that is on
	// time; 0 for routes without streams.
	EventGap time.Duration
	// Priority 0 is the most urgent.
	Priority int
	Backends []Backend
	// MaxAttempts is how many backend servers one request may be sent to; 0
	// means no bound but the policy's own.
	MaxAttempts int
	// Public routes ask for no key.
	Public bool
	// Resumable streams may go on at another backend server after their last event.
	Resumable bool
}

// Repeatable tells whether a request of the route may run again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// HealthPath answers whether a server is well.
	HealthPath string
	// Connections is how many a server takes from all callers together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is what all model engines of a service have in common.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the size of the KV cache.
	CacheTokens int
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int
	// FetchTime is how long one token of KV cache takes from engine to engine; 0 if
	// it can't be fetched.
	FetchTime time.Duration
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a header may take, IdleTimeout how long a
	// connection may stay without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func invalid(format string, args ...any) error {
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, fmt.Sprintf(format, args...),
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}

// Validate returns why the document can't come into force, naming the route and
// the field; nil if it can.
func (d *Document) Validate() error {
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		at := place{r.Host, r.PathPrefix}
		if other, taken := places[at]; taken {
			return invalid("route %q has the host and path prefix of route %q; give each its own", r.Name, other)
		}
		places[at] = r.Name
	}
	return d.validateTeams()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout; write one above 0", r.Name)
	}
	if len(r.Backends) == 0 {
		return invalid("route %q names no service; name one", r.Name)
	}
	total := 0
	for _, backend := range r.Backends {
		if !services[backend.Service] {
			return invalid("route %q names service %q, which the document does not hold; add the service or name another", r.Name, backend.Service)
		}
		if backend.Weight < 0 {
			return invalid("route %q gives service %q a weight below 0; write 0 or more", r.Name, backend.Service)
		}
		total += backend.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0; give at least one service a weight", r.Name)
	}
	return nil
}

func (d *Document) validateTeams() error {
	holders := make(map[string]string)
	for _, team := range d.Teams {
		for _, key := range team.Keys {
			if other, taken := holders[key]; taken && other != team.Name {
				return invalid("teams %q and %q share a key; give each its own", other, team.Name)
			}
			holders[key] = team.Name
		}
	}
	return nil
}
