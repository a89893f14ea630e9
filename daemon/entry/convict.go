package entry

import (
	"context"
	"crypto/rand"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

const (
	// maxPendingConvictions is the capacity of the queue of convictions to propose.
	maxPendingConvictions = 256
	// convictionTTL is how long a conviction stays in force.
	convictionTTL        = 24 * time.Hour
	proposeRetryInterval = 500 * time.Millisecond
	// proposeTimeout bounds one attempt to propose a conviction.
	proposeTimeout = 5 * time.Second
)

// queueConviction is called by the core's goroutine and must not block: if the queue
// is full, it drops the conviction and counts a broken invariant.
func (e *Entry) queueConviction(c policy.Convict) {
	select {
	case e.convictions <- c:
	default:
		e.counters.InvariantViolated("convictions_pile_up")
	}
}

// proposeConvictions proposes each queued conviction until it is accepted, so that
// all instances refuse the request that crashes servers.
func (e *Entry) proposeConvictions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-e.convictions:
			e.proposeConviction(ctx, c)
		}
	}
}

func (e *Entry) proposeConviction(ctx context.Context, c policy.Convict) {
	now := time.Now()
	proposal := &lilacv1.Proposal{
		// All attempts share one id, so that the proposal is accepted only once.
		CommandId: rand.Text(), Who: "lilacbridge", Instance: e.settings.Name, Statement: "CONVICT " + c.Digest,
		ProposedUnixMs: now.UnixMilli(),
		Changes: []*lilacv1.Change{{Op: &lilacv1.Change_Convict{Convict: &lilacv1.Conviction{
			Digest: c.Digest, Team: c.Team, Servers: c.Servers, ExpiresUnixMs: now.Add(convictionTTL).UnixMilli(),
		}}}},
	}
	e.logger.Warn("convicted a request that crashed backend servers", "digest", c.Digest, "servers", c.Servers)
	for ctx.Err() == nil {
		if e.proposeOnce(ctx, proposal) {
			return
		}
		_ = sleep(ctx, proposeRetryInterval)
	}
}

func (e *Entry) proposeOnce(ctx context.Context, proposal *lilacv1.Proposal) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := e.state.Propose(ctx, proposal)
	return err == nil
}
