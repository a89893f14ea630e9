package operator

import (
	"slices"
	"strconv"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/statement"
	"github.com/lilacbridge/lilacbridge/version/table"
)

const (
	// maxGatheredRows bounds the rows that one query gathers from all instances, so that
	// the instance that gathers them does not run out of memory: with 1,100 instances and
	// 5,900 backend servers, SHOW servers has 6.5 million rows. Each instance sends at most
	// its share and the number of rows that it left out.
	maxGatheredRows = 50000
	// minRowsPerInstance is the minimum share of an instance.
	minRowsPerInstance = 10
)

// countColumns are the columns of a reply to a request with CountBy.
var countColumns = []string{"column", "value", "requests"}

// rowsPerInstance returns the number of rows that each instance may send.
func rowsPerInstance(instances int) int {
	return max(minRowsPerInstance, maxGatheredRows/max(1, instances))
}

// FilterReply reduces an instance's reply to what the request asks for: the matching rows,
// sorted, up to the limit, or their counts. reply must contain all rows of the subject.
func FilterReply(request *lilacv1.QueryRequest, instance string, reply *lilacv1.QueryReply) error {
	show, err := parseShow(request.GetStatement())
	if err != nil {
		return err
	}
	rows := &table.Table{Columns: withInstance("instance", reply.GetColumns())}
	for _, row := range reply.GetRows() {
		if len(row.GetValues()) == len(reply.GetColumns()) {
			rows.Rows = append(rows.Rows, withInstance(instance, row.GetValues()))
		}
	}
	show.Limit = nil
	if err := rows.Select(show); err != nil {
		return err
	}
	reply.Matched = uint32(len(rows.Rows))
	if len(request.GetCountBy()) > 0 {
		reply.Columns, reply.Rows = countColumns, countRows(rows, request.GetCountBy())
		return nil
	}
	if limit := int(request.GetLimit()); limit > 0 && limit < len(rows.Rows) {
		rows.Rows = rows.Rows[:limit]
	}
	reply.Rows = reply.Rows[:0]
	for _, row := range rows.Rows {
		reply.Rows = append(reply.Rows, &lilacv1.QueryRow{Values: row[1:]})
	}
	return nil
}

func withInstance(instance string, values []string) []string {
	return append([]string{instance}, values...)
}

// parseShow parses a SHOW statement; an empty text selects all rows.
func parseShow(text string) (*statement.Show, error) {
	if text == "" {
		return &statement.Show{}, nil
	}
	parsed, err := statement.Parse(text)
	if err != nil {
		return nil, err
	}
	if parsed.Show == nil {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%q is not a SHOW statement; send changes to the operator address", text)
	}
	return parsed.Show, nil
}

// countRows counts the rows per value of each column, sorted by value.
func countRows(rows *table.Table, columns []string) []*lilacv1.QueryRow {
	var counts []*lilacv1.QueryRow
	for _, name := range columns {
		column := slices.Index(rows.Columns, name)
		if column < 0 {
			continue
		}
		byValue := make(map[string]int)
		for _, row := range rows.Rows {
			byValue[row[column]]++
		}
		var values []string
		for value := range byValue {
			values = append(values, value)
		}
		slices.Sort(values)
		for _, value := range values {
			counts = append(counts, &lilacv1.QueryRow{Values: []string{name, value, strconv.Itoa(byValue[value])}})
		}
	}
	return counts
}
