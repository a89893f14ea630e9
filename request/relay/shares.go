package relay

import (
	"context"
	"strconv"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/number"
	"github.com/lilacbridge/lilacbridge/request/policy"
)

// ShareColumns are the columns of Shares.
var ShareColumns = []string{"pool", "team", "weight", "share", "here", "elsewhere", "asked", "age", "over"}

// teamSharer is implemented by cores that share service among teams.
type teamSharer interface {
	TeamShares(now time.Time) []policy.TeamShare
}

// Shares returns a row for each team that contended pools served lately, by pool and name. It
// waits for Run.
func (r *Relay) Shares(ctx context.Context) ([]*lilacv1.QueryRow, error) {
	all, err := queryCore(ctx, r.mailbox, func(core policy.Core, now time.Time) []policy.TeamShare {
		if sharer, ok := core.(teamSharer); ok {
			return sharer.TeamShares(now)
		}
		return nil
	})
	rows := make([]*lilacv1.QueryRow, 0, len(all))
	for _, s := range all {
		rows = append(rows, shareRow(s))
	}
	return rows, err
}

func shareRow(s policy.TeamShare) *lilacv1.QueryRow {
	age := ""
	if s.Age >= 0 {
		age = s.Age.Round(time.Millisecond).String()
	}
	return &lilacv1.QueryRow{Values: []string{
		s.Pool, s.Team, strconv.FormatFloat(s.Weight, 'f', -1, 64), formatShare(s.Share), strconv.Itoa(number.Int(s.Here)),
		strconv.Itoa(number.Int(s.Elsewhere)), strconv.Itoa(number.Int(s.Asked)), age, strconv.FormatBool(s.Excess > 0),
	}}
}
