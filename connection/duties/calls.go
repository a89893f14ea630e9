package duties

import (
	"context"
	"errors"
	"sync"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/process/lease"
	"github.com/lilacbridge/lilacbridge/process/usage"
	"github.com/lilacbridge/lilacbridge/version/scaling"
)

// perform makes the calls, reports in order and beside them all orders at once, and applies
// the results.
func (h *Holder) perform(ctx context.Context, by gateway.Holder, reports []*lilacv1.WindowUsage, orders []scaling.Order) {
	var calls sync.WaitGroup
	if len(reports) > 0 {
		calls.Go(func() { h.reportUsage(ctx, by, reports) })
	}
	for _, order := range orders {
		calls.Go(func() { h.order(ctx, by, order) })
	}
	calls.Wait()
}

func (h *Holder) reportUsage(ctx context.Context, by gateway.Holder, reports []*lilacv1.WindowUsage) {
	acknowledged := int64(0)
	for _, report := range reports {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := h.options.Calls.ReportUsage(callCtx, by, gateway.UsageReport{Window: report.GetWindow(), Requests: usage.Requests(report)})
		cancel()
		h.finished("usage", by, err, "window", report.GetWindow())
		if err != nil {
			h.mu.Lock()
			h.usageRetryAt = h.options.Now().Add(usageRetryInterval)
			h.mu.Unlock()
			break
		}
		acknowledged = report.GetWindow()
	}
	if acknowledged > 0 {
		_ = h.apply(ctx, &lilacv1.UsageCommand{Op: &lilacv1.UsageCommand_Acknowledged{Acknowledged: acknowledged}})
	}
}

func (h *Holder) order(ctx context.Context, by gateway.Holder, order scaling.Order) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := h.options.Calls.OrderReplicas(callCtx, by, gateway.ReplicaOrder{ReplicaGroup: order.Group, Replicas: order.Replicas})
	h.finished("scaling", by, err, "service", order.Group.Service, "data_center", order.Group.DataCenter,
		"reclaimable", order.Group.Reclaimable, "replicas", order.Replicas, "reason", order.Reason)
	outcome := scaling.Unknown
	switch {
	case err == nil:
		outcome = scaling.Accepted
	case errors.Is(err, gateway.ErrConflict):
		outcome = scaling.Refused
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scaling.Step(h.options.Now(), scaling.Answered{Order: order, Outcome: outcome})
}

// finished logs and counts a call. After a failure the fencing number is not used again:
// the platform may have seen a higher one, or may carry the call out later.
func (h *Holder) finished(duty string, by gateway.Holder, err error, args ...any) {
	outcome := "accepted"
	switch {
	case errors.Is(err, gateway.ErrConflict):
		outcome = "refused"
	case errors.Is(err, gateway.ErrRateLimited):
		outcome = "rate_limited"
	case err != nil:
		outcome = "unknown"
	}
	args = append(args, "fencing", by.Fencing, "outcome", outcome)
	if err != nil {
		args = append(args, "error", err)
	}
	h.options.Logger.Info("duty call", append([]any{"duty", duty}, args...)...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCall = h.options.Now()
	h.calls[CallKind{duty, outcome}]++
	if (outcome == "refused" || outcome == "unknown") && h.grant.Fencing() == by.Fencing {
		h.grant = lease.Grant{}
	}
}
