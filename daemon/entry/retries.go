package entry

import (
	"context"
	"time"

	"github.com/lilacbridge/lilacbridge/connection/retrylink"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// newRetries connects the policy core to the loans of retries between entries.
func (d *Daemon) newRetries() *retrylink.Link {
	return retrylink.New(retrylink.Options{
		Dial: d.dialer.dial,
		Lend: func(ctx context.Context, pool string, wanted int) int {
			count, err := d.entry.relay.LendRetries(ctx, pool, wanted)
			if err != nil {
				// What the core lends after that is lost when its term is over.
				return 0
			}
			return count
		},
		OnAnswer: func(pool string, count int, askedAt time.Time) {
			d.entry.relay.Post(policy.RetriesBorrowed{Pool: pool, Count: count, AskedAt: askedAt})
		},
	})
}

// askForRetries carries out the core's request for loans.
func (d *Daemon) askForRetries(ask policy.BorrowRetries) {
	names := make([]string, len(ask.From))
	for i, from := range ask.From {
		names[i] = from.Name
	}
	d.retries.Ask(names, ask.Pool, ask.Wanted)
}
