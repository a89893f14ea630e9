package state

import (
	"context"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// Log is the replicated log as used by a Service.
type Log interface {
	// Propose replicates a command and returns its result once it has been committed
	// and applied by this process. On a process that does not lead it fails with
	// NOT_LEADER.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this process has applied everything that was committed when
	// Barrier was called. On a process that does not lead it fails with NOT_LEADER.
	Barrier(ctx context.Context) error
	// Status returns the current status of this process.
	Status() LogStatus
}

// LogStatus is the status of one process of the group.
type LogStatus struct {
	// IsLeader is true if this process believes that it leads. It may be outdated.
	IsLeader bool
	// Staleness is the time since this process is known to have applied everything that
	// was committed.
	Staleness time.Duration
	// Members are the processes of the group, learners included.
	Members []*lilacv1.StateMember
	// Status is reported to operators. The Service fills in Revision and Claims.
	Status *lilacv1.StateStatus
}
