package operator

import (
	"context"
	"fmt"
	"slices"

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
	running, err := h.gather(ctx, "requests")
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, change := range changes {
		if t := touchedBy(change); t.column != "" {
			lines = append(lines, t.count(running.Table))
		}
	}
	for _, missing := range running.Missing {
		lines = append(lines, fmt.Sprintf("%s did not answer; its requests are not counted", missing.Instance))
	}
	return lines, nil
}

func (t touched) count(running *table.Table) string {
	column := slices.Index(running.Columns, t.column)
	requests, instances := 0, make(map[string]bool)
	for _, row := range running.Rows {
		if column >= 0 && row[column] == t.value {
			requests++
			instances[row[0]] = true
		}
	}
	return fmt.Sprintf("%s %s: %d running requests at %d instances", t.column, t.value, requests, len(instances))
}
