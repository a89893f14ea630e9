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

// Change is one change that was given and what became of it.
type Change struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// ChangeLog is what a writer of changes saw.
type ChangeLog struct {
	Accepted []Change `json:"accepted"`
	// Refused by kind: these changes are not in force.
	Refused map[string]int `json:"refused"`
	// Unknown are the teams of changes whose answer never came.
	Unknown []string `json:"unknown"`
	// LongestGapMS is the longest time from one accepted change to the next.
	MaxGapMS int64 `json:"longest_gap_ms"`
	// Disorder names accepted changes whose revision is not above the one before.
	OutOfOrder []string `json:"disorder"`
}

// ChangePlan says which changes are given.
type ChangePlan struct {
	// Prefix of the teams that are made, one a change.
	Prefix string
	// Count of changes; 0 means until the context ends.
	Count int
	// Interval between them.
	Interval time.Duration
	// Resend is how long an unanswered change is sent again under its command id.
	Resend time.Duration
}

// MakeChanges gives one change after the other.
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

// changeOnce sends a change until its fate is known. It does not end with the
// writer's context, so that a stop leaves no change open.
func submitChange(client *operator.Client, plan ChangePlan, team string) (uint64, error) {
	request := &operator.StatementRequest{Statement: "SET TEAM " + team + " WEIGHT 1", CommandID: uuid.NewString()}
	giveUp := time.Now().Add(plan.Resend)
	for {
		reply, err := client.Statement(context.Background(), request)
		if err == nil && reply.Change != nil {
			return reply.Change.Revision, nil
		}
		if err == nil {
			return 0, fault.New(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "the answer to a change holds no change")
		}
		if !mayTakeEffect(err) || time.Now().After(giveUp) {
			return 0, err
		}
	}
}

// mayPass tells whether a change may still be, or become, in force.
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

// verifyPause is the time between two looks at an endpoint.
const verifyInterval = 100 * time.Millisecond

// Verify asks an endpoint until all accepted changes are in force there, or
// the time is over, and returns the teams of those that are not.
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
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "the answer to a query holds no table")
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
