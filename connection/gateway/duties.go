package gateway

import (
	"context"
	"errors"

	"github.com/lilacbridge/lilacbridge/version/routing"
)

// Holder identifies the holder of the fleet's duties in a call to the platform.
type Holder struct {
	// Name is the name of the holder's machine.
	Name string
	// Fencing increases with each holder; the platform refuses calls with a lower number
	// than it has seen.
	Fencing uint64
}

// UsageReport is the number of each team's requests that began to run in a window.
type UsageReport struct {
	Window   int64
	Requests map[string]uint64
}

// ReplicaOrder is the desired number of replicas of one kind in a data centre.
type ReplicaOrder struct {
	routing.ReplicaGroup
	Replicas int
}

// DutyCalls are the platform's calls that one process at a time may make. Both are
// idempotent. A call that fails with another error than those below may still take effect
// later.
type DutyCalls interface {
	ReportUsage(ctx context.Context, by Holder, report UsageReport) error
	OrderReplicas(ctx context.Context, by Holder, order ReplicaOrder) error
}

var (
	// ErrConflict means that the platform refused the call: it has seen a higher fencing
	// number or, for an order, has no such replicas at the moment.
	ErrConflict = errors.New("the platform refused the call: another holder has a higher fencing number, or no such replicas are available")
	// ErrRateLimited means that the platform refused the call since there were too many.
	ErrRateLimited = errors.New("the platform refused the call: too many calls a second")
)
