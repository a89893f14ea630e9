package state

import (
	"context"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// query answers this process's part of an operator's SHOW leases.
func (s *Service) query(_ context.Context, _ link.Peer, r *lilacv1.QueryRequest) (*lilacv1.QueryReply, error) {
	if r.GetSubject() != "leases" {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "state processes know no %q; ask for leases", r.GetSubject())
	}
	reply := &lilacv1.QueryReply{Revision: s.machine.Revision(), Columns: []string{"lease", "holder", "fencing", "left"}}
	for _, e := range s.machine.Leases() {
		reply.Rows = append(reply.Rows, &lilacv1.QueryRow{Values: []string{
			e.GetName(), e.GetHolder(), strconv.FormatUint(e.GetFencing(), 10), s.leaseTimer.remaining(e),
		}})
	}
	return reply, nil
}

// remaining tells how long the lease still lasts as this process counts it; "-" for
// one that nobody holds.
func (t *leaseTimer) remaining(e *lilacv1.LeaseEntry) string {
	if e.GetHolder() == "" {
		return "-"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	length := time.Duration(e.GetDurationMs()) * time.Millisecond
	seen, ok := t.renewals[e.GetName()]
	if !ok || seen.renewal != e.GetRenewal() {
		return "at most " + length.String()
	}
	return max(0, length-t.now().Sub(seen.at)).Round(time.Millisecond).String()
}
