package loadgen

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/operator"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Change is an accepted change.
type Change struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// ChangeLog records the results of submitted changes.
type ChangeLog struct {
	Accepted []Change `json:"accepted"`
	// Refused is the number of refused changes by error kind. They did not take effect.
	Refused map[string]int `json:"refused"`
	// Unknown are the teams of changes whose outcome is unknown.
	Unknown []string `json:"unknown"`
	// MaxGapMS is the longest time between two accepted changes, in milliseconds.
	MaxGapMS int64 `json:"longest_gap_ms"`
	// OutOfOrder describes accepted changes whose revision is not above the previous one.
	OutOfOrder []string `json:"disorder"`
}

// ChangePlan describes the changes to submit.
type ChangePlan struct {
	// Prefix is the prefix of the names of the created teams, one for each change.
	Prefix string
	// Count is the number of changes; 0 means until the context ends.
	Count int
	// Interval is the pause between changes.
	Interval time.Duration
	// Resend is how long a change with unknown outcome is retried under its command id.
	Resend time.Duration
}

// ApplyChanges submits one change after the other until the plan is complete or the
// context ends.
func ApplyChanges(ctx context.Context, client *operator.Client, plan ChangePlan) *ChangeLog {
	log := &ChangeLog{Refused: make(map[string]int)}
	last := time.Now()
	for n := 1; (plan.Count == 0 || n <= plan.Count) && ctx.Err() == nil; n++ {
		team := fmt.Sprintf("%s-%d", plan.Prefix, n)
		revision, err := submitChange(client, plan, team)
		log.record(team, revision, err)
		if err == nil {
			log.MaxGapMS = max(log.MaxGapMS, time.Since(last).Milliseconds())
			last = time.Now()
		}
		waitUntil(ctx, time.Now().Add(plan.Interval))
	}
	log.MaxGapMS = max(log.MaxGapMS, time.Since(last).Milliseconds())
	return log
}

// submitChange sends a change until its outcome is known or plan.Resend is over. It takes
// no context, so that a stop leaves no change with unknown outcome.
func submitChange(client *operator.Client, plan ChangePlan, team string) (uint64, error) {
	request := &operator.StatementRequest{Statement: "SET TEAM " + team + " WEIGHT 1", CommandID: uuid.NewString()}
	giveUp := time.Now().Add(plan.Resend)
	for {
		reply, err := client.Statement(context.Background(), request)
		if err == nil && reply.Change != nil {
			return reply.Change.Revision, nil
		}
		if err == nil {
			return 0, fault.New(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "the reply to a change contains no change")
		}
		if !mayTakeEffect(err) || time.Now().After(giveUp) {
			return 0, err
		}
	}
}

// mayTakeEffect reports whether a change that failed with err may have taken effect, or may
// still do so.
func mayTakeEffect(err error) bool {
	switch fault.KindOf(err) {
	case lilacv1.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, lilacv1.ErrorKind_ERROR_KIND_TIMEOUT,
		lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, lilacv1.ErrorKind_ERROR_KIND_NO_QUORUM, lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER:
		return true
	}
	return false
}

func (l *ChangeLog) record(team string, revision uint64, err error) {
	switch {
	case err == nil:
		if n := len(l.Accepted); n > 0 && revision <= l.Accepted[n-1].Revision {
			l.OutOfOrder = append(l.OutOfOrder, fmt.Sprintf("%s got revision %d after %d", team, revision, l.Accepted[n-1].Revision))
		}
		l.Accepted = append(l.Accepted, Change{Team: team, Revision: revision})
	case mayTakeEffect(err):
		l.Unknown = append(l.Unknown, team)
	default:
		l.Refused[fault.Name(fault.KindOf(err))]++
	}
}

// verifyInterval is the time between two queries of an endpoint.
const verifyInterval = 100 * time.Millisecond

// VerifyChanges queries an endpoint until it shows all accepted changes or the time limit
// is reached. It returns the teams that are still missing.
func VerifyChanges(ctx context.Context, client *operator.Client, log *ChangeLog, within time.Duration) (lost []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		lost, err = missingTeams(client, log)
		if (err == nil && len(lost) == 0) || !waitUntil(ctx, time.Now().Add(verifyInterval)) {
			return lost, err
		}
	}
}

func missingTeams(client *operator.Client, log *ChangeLog) ([]string, error) {
	reply, err := client.Statement(context.Background(), &operator.StatementRequest{Statement: "SHOW TEAMS"})
	if err != nil {
		return nil, err
	}
	if reply.Table == nil {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "the reply to a query contains no table")
	}
	team := slices.Index(reply.Table.Columns, "team")
	if team < 0 {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "the table of teams has no column team")
	}
	present := make(map[string]bool)
	for _, row := range reply.Table.Rows {
		present[row[team]] = true
	}
	lost := []string{}
	for _, change := range log.Accepted {
		if !present[change.Team] {
			lost = append(lost, change.Team)
		}
	}
	return lost, nil
}
