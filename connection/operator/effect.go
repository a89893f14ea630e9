package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/table"
)

// touched names the running requests that a change concerns: those with the
// value in the column of SHOW requests. Column is empty for none.
type touched struct{ column, value string }

func touchedBy(change *lilacv1.Change) touched {
	switch op := change.GetOp().(type) {
	case *lilacv1.Change_SetClass:
		return touched{"class", op.SetClass.GetName()}
	case *lilacv1.Change_DropClass:
		return touched{"class", op.DropClass}
	case *lilacv1.Change_SetTeam:
		return touched{"team", op.SetTeam.GetName()}
	case *lilacv1.Change_DropTeam:
		return touched{"team", op.DropTeam}
	case *lilacv1.Change_SetServer:
		return touched{"server", op.SetServer.GetName()}
	case *lilacv1.Change_DropServer:
		return touched{"server", op.DropServer}
	case *lilacv1.Change_DrainServer:
		return touched{"server", op.DrainServer.GetServer()}
	case *lilacv1.Change_SetInstance:
		return touched{"instance", op.SetInstance.GetName()}
	case *lilacv1.Change_OrderModel:
		return touched{"server", op.OrderModel.GetServer()}
	}
	return touched{}
}

// effect tells, for a dry run, how many running requests each change concerns
// and at how many instances. Instances that do not answer are named.
func (h *handler) effect(ctx context.Context, changes []*lilacv1.Change) ([]string, error) {
	var concerned []touched
	var columns []string
	for _, change := range changes {
		t := touchedBy(change)
		if t.column == "" {
			continue
		}
		concerned = append(concerned, t)
		if !slices.Contains(columns, t.column) {
			columns = append(columns, t.column)
		}
	}
	if len(concerned) == 0 {
		return nil, nil
	}
	counts, err := h.gather(ctx, &lilacv1.QueryRequest{Subject: "requests", CountBy: columns})
	if err != nil {
		return nil, err
	}
	running := runningBy(counts.Table)
	var lines []string
	for _, t := range concerned {
		now := running[t]
		lines = append(lines, fmt.Sprintf("%s %s: %d running requests at %d instances", t.column, t.value, now.requests, now.instances))
	}
	for _, missing := range counts.Missing {
		lines = append(lines, fmt.Sprintf("%s did not answer; its requests are not counted", missing.Instance))
	}
	return lines, nil
}

// running is how many requests run, and at how many instances.
type running struct{ requests, instances int }

// runningBy adds the instances' counts up, whose columns are countColumns after
// the instance.
func runningBy(counts *table.Table) map[touched]running {
	sums := make(map[touched]running)
	for _, row := range counts.Rows {
		count, err := strconv.Atoi(row[3])
		if err != nil {
			continue
		}
		key := touched{column: row[1], value: row[2]}
		sum := sums[key]
		sums[key] = running{requests: sum.requests + count, instances: sum.instances + 1}
	}
	return sums
}
