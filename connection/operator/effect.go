package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/version/table"
)

// requestSelector selects the running requests that have the value in a column of SHOW
// requests. An empty column selects none.
type requestSelector struct{ column, value string }

// affectedBy returns the selector of the requests that the change affects.
func affectedBy(change *lilacv1.Change) requestSelector {
	switch op := change.GetOp().(type) {
	case *lilacv1.Change_SetClass:
		return requestSelector{"class", op.SetClass.GetName()}
	case *lilacv1.Change_DropClass:
		return requestSelector{"class", op.DropClass}
	case *lilacv1.Change_SetTeam:
		return requestSelector{"team", op.SetTeam.GetName()}
	case *lilacv1.Change_DropTeam:
		return requestSelector{"team", op.DropTeam}
	case *lilacv1.Change_SetServer:
		return requestSelector{"server", op.SetServer.GetName()}
	case *lilacv1.Change_DropServer:
		return requestSelector{"server", op.DropServer}
	case *lilacv1.Change_DrainServer:
		return requestSelector{"server", op.DrainServer.GetServer()}
	case *lilacv1.Change_SetInstance:
		return requestSelector{"instance", op.SetInstance.GetName()}
	case *lilacv1.Change_OrderModel:
		return requestSelector{"server", op.OrderModel.GetServer()}
	}
	return requestSelector{}
}

// effect returns the lines of a dry run: how many running requests each change affects and
// at how many instances, and which instances did not reply.
func (h *handler) effect(ctx context.Context, changes []*lilacv1.Change) ([]string, error) {
	var affected []requestSelector
	var columns []string
	for _, change := range changes {
		selector := affectedBy(change)
		if selector.column == "" {
			continue
		}
		affected = append(affected, selector)
		if !slices.Contains(columns, selector.column) {
			columns = append(columns, selector.column)
		}
	}
	if len(affected) == 0 {
		return nil, nil
	}
	counts, err := h.gather(ctx, &lilacv1.QueryRequest{Subject: "requests", CountBy: columns})
	if err != nil {
		return nil, err
	}
	running := sumCounts(counts.Table)
	var lines []string
	for _, selector := range affected {
		count := running[selector]
		lines = append(lines, fmt.Sprintf("%s %s: %d running requests at %d instances", selector.column, selector.value, count.requests, count.instances))
	}
	for _, missing := range counts.Missing {
		lines = append(lines, fmt.Sprintf("%s did not answer; its requests are not counted", missing.Instance))
	}
	return lines, nil
}

// requestCount is the number of running requests, and of the instances that run them.
type requestCount struct{ requests, instances int }

// sumCounts adds up the counts of all instances. The columns of counts are the instance and
// countColumns.
func sumCounts(counts *table.Table) map[requestSelector]requestCount {
	sums := make(map[requestSelector]requestCount)
	for _, row := range counts.Rows {
		count, err := strconv.Atoi(row[3])
		if err != nil {
			continue
		}
		key := requestSelector{column: row[1], value: row[2]}
		sum := sums[key]
		sums[key] = requestCount{requests: sum.requests + count, instances: sum.instances + 1}
	}
	return sums
}
