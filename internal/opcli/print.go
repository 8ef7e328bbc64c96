package opcli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// print prints a reply and returns the exit code. Warnings go to standard error,
// or into the JSON document.
func (client *client) print(command *wire.Command, reply *wire.CommandReply, out io.Writer) (int, error) {
	code := exitCode(reply)
	if client.settings.JSON {
		if err := json.NewEncoder(out).Encode(newDocument(command, reply)); err != nil {
			return exitRefused, err
		}
	} else {
		for _, warning := range reply.GetWarnings() {
			fmt.Fprintln(client.settings.progress, "hibctl: warning:", warning)
		}
	}
	if code != exitOK {
		return code, replyError(command, reply)
	}
	if client.settings.JSON {
		return code, nil
	}
	return code, printTable(reply, out)
}

func replyError(command *wire.Command, reply *wire.CommandReply) error {
	if reply.GetColumn() == 0 {
		return errors.Newf("%s: %s", reply.GetCode(), reply.GetError())
	}
	pointer := strings.Repeat(" ", int(reply.GetColumn())-1) + "^"
	return errors.Newf("%s: column %d: %s\n%s\n%s", reply.GetCode(), reply.GetColumn(), reply.GetError(), command.GetText(), pointer)
}

// replyDocument is the JSON document printed for a reply.
type replyDocument struct {
	ID       string           `json:"id"`
	Revision uint64           `json:"revision"`
	Rows     []map[string]any `json:"rows,omitzero"`
	Warnings []string         `json:"warnings,omitempty"`
	Code     string           `json:"code,omitempty"`
	Error    string           `json:"error,omitempty"`
	Column   uint32           `json:"column,omitempty"`
}

func newDocument(command *wire.Command, reply *wire.CommandReply) replyDocument {
	result := replyDocument{
		ID: command.GetId(), Revision: reply.GetRevision(), Warnings: reply.GetWarnings(),
		Code: reply.GetCode(), Error: reply.GetError(), Column: reply.GetColumn(),
	}
	if reply.GetTable() == nil {
		return result
	}
	result.Rows = make([]map[string]any, 0, len(reply.GetTable().GetRows()))
	for _, row := range reply.GetTable().GetRows() {
		record := map[string]any{}
		for at, column := range reply.GetTable().GetColumns() {
			record[column] = jsonValue(reply.GetTable().GetTypes(), at, row.GetCells()[at])
		}
		result.Rows = append(result.Rows, record)
	}
	return result
}

// jsonValue returns the JSON value of a cell: a number for numbers, milliseconds
// for durations, and null for an empty cell of a typed column.
func jsonValue(types []wire.ColumnType, at int, cell string) any {
	if at >= len(types) {
		return cell
	}
	switch types[at] {
	case wire.ColumnType_COLUMN_TYPE_NUMBER:
		if cell == "" {
			return nil
		}
		return json.Number(cell)
	case wire.ColumnType_COLUMN_TYPE_DURATION:
		span, err := time.ParseDuration(cell)
		if err != nil {
			return nil
		}
		return span.Milliseconds()
	case wire.ColumnType_COLUMN_TYPE_TIME:
		if cell == "" {
			return nil
		}
	default:
	}
	return cell
}

func printTable(reply *wire.CommandReply, out io.Writer) error {
	if reply.GetTable() == nil {
		_, err := fmt.Fprintf(out, "accepted as revision %d at %s\n", reply.GetRevision(), time.Now().UTC().Format("15:04:05.000Z"))
		return err
	}
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(reply.GetTable().GetColumns(), "\t"))
	for _, row := range reply.GetTable().GetRows() {
		fmt.Fprintln(writer, strings.Join(row.GetCells(), "\t"))
	}
	return writer.Flush()
}
