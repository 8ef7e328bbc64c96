package query

import (
	"cmp"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// timeFormat has a fixed width, so that lexical order is chronological.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Time formats a cell of a time column; instant 0 gives an empty cell.
func Time(at clock.Millis) string {
	if at == 0 {
		return ""
	}
	return time.UnixMilli(int64(at)).UTC().Format(timeFormat)
}

// Number formats a cell of a number column.
func Number[T int | int32 | int64 | uint32 | uint64](value T) string {
	return strconv.FormatInt(int64(value), 10)
}

// sortValue returns the value by which cells of a column are compared. Text
// columns have none and give 0.
func sortValue(kind wire.ColumnType, cell string) (float64, error) {
	switch kind {
	case wire.ColumnType_COLUMN_TYPE_NUMBER:
		return strconv.ParseFloat(cell, 64)
	case wire.ColumnType_COLUMN_TYPE_DURATION:
		span, err := time.ParseDuration(cell)
		return float64(span), err
	case wire.ColumnType_COLUMN_TYPE_TIME:
		at, err := time.Parse(time.RFC3339, cell)
		return float64(at.UnixMilli()), err
	default:
		return 0, nil
	}
}

// compareCells compares two cells of a column. Empty cells come first.
func compareCells(kind wire.ColumnType, left, right string) int {
	if kind == wire.ColumnType_COLUMN_TYPE_TEXT || left == "" || right == "" {
		return strings.Compare(left, right)
	}
	first, firstErr := sortValue(kind, left)
	second, secondErr := sortValue(kind, right)
	if firstErr != nil || secondErr != nil {
		return strings.Compare(left, right)
	}
	return cmp.Compare(first, second)
}

// Select filters, sorts and limits the table's rows as the show command demands.
// The table must have the columns of the shown kind.
func (show *Show) Select(table *wire.Table) error {
	kind, ok := KindOf(show.What)
	if !ok || !slices.Equal(table.GetColumns(), kind.Table().GetColumns()) {
		return errors.Newf("table does not have the columns of %s", show.What)
	}
	table.Rows = slices.DeleteFunc(table.Rows, func(row *wire.Row) bool { return !show.matches(kind, row) })
	if show.OrderBy != nil {
		show.sort(kind, table.Rows)
	}
	if show.Limit != nil && len(table.Rows) > show.Limit.Rows {
		table.Rows = table.Rows[:show.Limit.Rows]
	}
	return nil
}

func (show *Show) matches(kind Kind, row *wire.Row) bool {
	for _, condition := range show.Where {
		at, column, _ := kind.Column(condition.Field)
		if !condition.holds(column, row.GetCells()[at]) {
			return false
		}
	}
	return true
}

// holds reports whether a cell fulfils the condition. An empty cell of a typed
// column has no value and fulfils only "not equal".
func (condition Condition) holds(column Column, cell string) bool {
	if cell == "" && column.Type != wire.ColumnType_COLUMN_TYPE_TEXT {
		return condition.Op == "!="
	}
	order := compareCells(column.Type, cell, condition.Value.Text)
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
	default:
		return order >= 0
	}
}

func (show *Show) sort(kind Kind, rows []*wire.Row) {
	at, column, _ := kind.Column(show.OrderBy.Field)
	slices.SortStableFunc(rows, func(first, second *wire.Row) int {
		order := compareCells(column.Type, first.GetCells()[at], second.GetCells()[at])
		if show.OrderBy.Desc {
			return -order
		}
		return order
	})
}

var tokenField = regexp.MustCompile(`(\btoken\s+)("(\\.|[^"\\])*"|\S+)`)

// Redact returns a command's text with the bearer tokens replaced by an ellipsis.
func Redact(text string) string {
	return tokenField.ReplaceAllString(text, "${1}…")
}

// Less reports whether a cell of a column sorts before another.
func Less(kind wire.ColumnType, left, right string) bool {
	return compareCells(kind, left, right) < 0
}
