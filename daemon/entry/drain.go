package entry

import (
	"context"
	"errors"
	"time"
)

var (
	errLeaving         = errors.New("leaving: requests in progress are being finished")
	errKeysStale       = errors.New("cut off from the state processes: keys can't be checked; see the links to them")
	errNoConfiguration = errors.New("no configuration yet: no state process has answered; check that they run")
)

// outcomeStoreTimeout is how long outcomes may take to be stored after the last request.
const outcomeStoreTimeout = 10 * time.Second

// Drain ends the entry's service without cutting a request off.
//
// It guards against a balancer that looks late: requests that it still sends
// after SIGTERM would meet a closed port. It shows as refused connections during
// a restart. It holds because /readyz says no first, the entry goes on accepting
// for the lag, then refuses with a typed error, and only closes its port when
// the last request has ended and its outcome is stored.
func (e *Entry) Drain(ctx context.Context) error {
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
		e.logger.Warn("cutting requests off; raise drain in the settings", "in_flight", e.relay.InFlight())
		e.relay.Abort()
		<-e.relay.Idle()
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeStoreTimeout)
	defer cancel()
	return e.claims.Wait(ctx)
}

// Close frees what New took.
func (e *Entry) Close() {
	e.cancel()
	e.clients.Close()
	if e.gatewayUpstream != nil {
		e.gatewayUpstream.Close()
	}
}

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
