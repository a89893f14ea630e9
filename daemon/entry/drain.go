package entry

import (
	"context"
	"errors"
	"time"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

var (
	errLeaving         = errors.New("leaving: requests in progress are being finished")
	errKeysStale       = errors.New("cut off from the state processes: keys can't be checked; see the links to them")
	errNoConfiguration = errors.New("no configuration yet: no state process has answered; check that they run")
)

// outcomeStoreTimeout bounds the wait for outcomes to be stored after the last request.
const outcomeStoreTimeout = 10 * time.Second

// Drain stops accepting requests and waits until those in progress have ended and
// their outcomes are stored. Requests still running after the configured drain time
// are aborted.
//
// A load balancer may notice the shutdown late and keep sending requests after
// SIGTERM; if the port closed at once, callers would see refused connections on each
// restart. Drain therefore fails /readyz first, keeps accepting for the drain lag what can
// end in time, then refuses with a typed error. The listener is closed only after Drain returns.
func (e *Entry) Drain(ctx context.Context) error {
	e.relay.Post(policy.Leaving{Until: time.Now().Add(e.settings.DrainLag.Duration + e.settings.Drain.Duration)})
	e.leaving.Store(true)
	e.callers.DisableKeepAlives()
	if e.onLeave != nil {
		e.onLeave()
	}
	e.logger.Info("leaving", "in_flight", e.relay.InFlight(), "lag", e.settings.DrainLag.Duration)
	if err := sleep(ctx, e.settings.DrainLag.Duration); err != nil {
		return err
	}
	e.relay.Drain()
	e.logger.Info("draining", "in_flight", e.relay.InFlight(), "limit", e.settings.Drain.Duration)
	select {
	case <-e.relay.Idle():
	case <-time.After(e.settings.Drain.Duration):
		e.logger.Warn("drain time exceeded, aborting requests; increase drain in the settings", "in_flight", e.relay.InFlight())
		e.relay.Abort()
		<-e.relay.Idle()
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeStoreTimeout)
	defer cancel()
	return e.claims.Wait(ctx)
}

// Close cancels background work and closes all upstream connections.
func (e *Entry) Close() {
	e.cancel()
	e.clients.Close()
	if e.gatewayUpstream != nil {
		e.gatewayUpstream.Close()
	}
}

// sleep waits for d or until ctx ends, in which case it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
