// Package table filters, sorts and limits the rows of an operator's query.
package table

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/version/statement"
)

// Table is the result of a query. Each row has one value per column.
type Table struct {
	Columns []string   `json:"columns" yaml:"columns"`
	Rows    [][]string `json:"rows" yaml:"rows"`
}

// Select applies WHERE, ORDER BY and LIMIT of the query in place.
func (t *Table) Select(query *statement.Show) error {
	for _, condition := range query.Where {
		column, err := t.columnIndex(condition.Column)
		if err != nil {
			return err
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return !matches(row[column], condition) })
	}
	if query.OrderBy != "" {
		column, err := t.columnIndex(query.OrderBy)
		if err != nil {
			return err
		}
		slices.SortStableFunc(t.Rows, func(a, b []string) int {
			if query.Desc {
				a, b = b, a
			}
			return compare(a[column], b[column])
		})
	}
	if query.Limit != nil && *query.Limit < len(t.Rows) {
		t.Rows = t.Rows[:*query.Limit]
	}
	return nil
}

func (t *Table) columnIndex(name string) (int, error) {
	for i, column := range t.Columns {
		if strings.EqualFold(column, name) {
			return i, nil
		}
	}
	return 0, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "no column %q; the columns are %s", name, strings.Join(t.Columns, ", "))
}

func matches(value string, condition statement.Condition) bool {
	if strings.EqualFold(condition.Op, "CONTAINS") {
		return strings.Contains(value, condition.Value)
	}
	order := compare(value, condition.Value)
	switch condition.Op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

// compare compares numbers and durations by value, anything else as text.
func compare(a, b string) int {
	x, okX := parseNumber(a)
	y, okY := parseNumber(b)
	if okX && okY {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}

func parseNumber(text string) (float64, bool) {
	if value, err := strconv.ParseFloat(text, 64); err == nil {
		return value, true
	}
	if value, err := time.ParseDuration(text); err == nil {
		return value.Seconds(), true
	}
	return 0, false
}
