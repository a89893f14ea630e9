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
	// maxGathered bounds the rows that one query gathers from all instances.
	//
	// It guards against a query that ends the instance which asks: 1,100 instances
	// before 5,900 backend servers have 6.5 million rows of SHOW servers. It shows
	// as an instance out of memory. It holds because each instance sends its share
	// of the bound at most, and says how many rows it left out.
	maxGathered = 50000
	// leastShare is what an instance may send, however many there are.
	leastShare = 10
)

var countColumns = []string{"column", "value", "requests"}

// shareOf returns how many rows one of so many instances may send.
func shareOf(instances int) int { return max(leastShare, maxGathered/max(1, instances)) }

// FilterReply brings an instance's own part of a query down to what the request asks
// for, before it is sent: the rows that match, in order, up to the limit, or
// their counts.
func FilterReply(request *lilacv1.QueryRequest, instance string, reply *lilacv1.QueryReply) error {
	show, err := showOf(request.GetStatement())
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
		reply.Columns, reply.Rows = countColumns, countsOf(rows, request.GetCountBy())
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

func showOf(text string) (*statement.Show, error) {
	if text == "" {
		return &statement.Show{}, nil
	}
	parsed, err := statement.Parse(text)
	if err != nil {
		return nil, err
	}
	if parsed.Show == nil {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%q is no SHOW statement; changes go to the operators' address", text)
	}
	return parsed.Show, nil
}

// countsOf counts the rows by value of each column, in order of the values.
func countsOf(rows *table.Table, columns []string) []*lilacv1.QueryRow {
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
