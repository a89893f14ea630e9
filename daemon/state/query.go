package state

import (
	"context"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// query returns this process's part of an operator's SHOW statement about leases, duties or
// replicas.
func (s *Service) query(_ context.Context, _ link.Peer, r *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
	switch r.GetSubject() {
	case "leases":
		return s.leaseRows(), nil
	case "duties":
		return s.dutyRows(), nil
	case "replicas":
		return s.replicaRows(), nil
	}
	return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "unknown subject %q: state processes answer leases, duties or replicas", r.GetSubject())
}

func (s *Service) leaseRows() *lilacv1.QueryReply {
	reply := &lilacv1.QueryReply{Revision: s.machine.Revision(), Columns: []string{"lease", "holder", "fencing", "left"}}
	for _, e := range s.machine.Leases() {
		reply.Rows = append(reply.Rows, &lilacv1.QueryRow{Values: []string{
			e.GetName(), e.GetHolder(), strconv.FormatUint(e.GetFencing(), 10), s.leaseTimer.remaining(e),
		}})
	}
	return reply
}

// remaining returns the remaining time of the lease as measured by this process, or "-"
// if nobody holds it. If this process has not observed the last renewal, it returns the
// upper bound.
func (t *leaseTimer) remaining(e *lilacv1.LeaseEntry) string {
	if e.GetHolder() == "" {
		return "-"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	duration := time.Duration(e.GetDurationMs()) * time.Millisecond
	observed, ok := t.renewals[e.GetName()]
	if !ok || observed.renewal != e.GetRenewal() {
		return "at most " + duration.String()
	}
	return max(0, duration-t.now().Sub(observed.at)).Round(time.Millisecond).String()
}
