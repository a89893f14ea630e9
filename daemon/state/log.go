package state

import (
	"context"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Log is the replicated log as a Service needs it.
type Log interface {
	// Propose replicates a command, and returns its result once it is committed
	// and applied here. On any but the leader it fails as NOT_LEADER.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this process has applied all that was committed when
	// it was called; only the leader can tell.
	Barrier(ctx context.Context) error
	// Status tells where this process stands.
	Status() LogStatus
}

// LogStatus is where one process of the group stands.
type LogStatus struct {
	// IsLeader is true on the leader, as far as it knows.
	IsLeader bool
	// Staleness is how long ago all that was committed was surely applied here.
	Staleness time.Duration
	// Members are the processes of the group, learners included.
	Members []*lilacv1.StateMember
	// Status is what operators see; Revision and Claims are filled in by the Service.
	Status *lilacv1.StateStatus
}
