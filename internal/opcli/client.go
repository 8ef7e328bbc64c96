// Package opcli is the operators' command-line client.
package opcli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Exit codes.
const (
	exitOK      = 0
	exitRefused = 1
	exitUsage   = 2
)

type settings struct {
	Address []string     `long:"address" env:"HIB_ADDRESS" env-delim:"," default:"127.0.0.1:7000" description:"IP:port of an entry or control VM; may be repeated"`
	JSON    bool         `long:"json" env:"HIB_JSON" description:"Print JSON instead of a table"`
	ID      string       `long:"id" env:"HIB_COMMAND_ID" description:"Command id; the same id is never done twice. Made at random when empty"`
	Timeout clock.Millis `long:"timeout" env:"HIB_TIMEOUT" default:"5s" description:"Time for one address"`
}

const examples = `hibctl [OPTIONS] COMMAND

Examples:
  hibctl show nodes
  hibctl show requests where tier = free order by waited desc limit 10
  hibctl create customer clinic tier paid token s3cret weight 2
  hibctl drain endpoint endpoint3`

// Run runs one command and returns the exit code.
func Run(arguments []string, out io.Writer) (int, error) {
	var set settings
	parser := flags.NewParser(&set, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.Usage = "hibctl", strings.TrimPrefix(examples, "hibctl ")
	words, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return exitOK, nil
	}
	if err != nil {
		return exitUsage, err
	}
	if len(words) == 0 {
		return exitUsage, errors.New("no command given; see hibctl --help")
	}
	command := &wire.Command{Id: set.ID, Text: strings.Join(words, " ")}
	if command.Id == "" {
		command.Id = rand.Text()
	}
	reply, err := send(set, command)
	if err != nil {
		return exitRefused, errors.Wrapf(err, "command id %s", command.Id)
	}
	return show(set, command, reply, out)
}

// send tries one address after the other with the same command id, so that a
// lost answer is no reason to do the command twice.
func send(set settings, command *wire.Command) (*wire.CommandReply, error) {
	pool := link.NewPool()
	defer func() { _ = pool.Close() }()
	var failure error
	for _, address := range set.Address {
		ctx, cancel := context.WithTimeout(context.Background(), set.Timeout.Duration())
		reply, err := wire.NewDRPCOperateClient(pool.Conn(ctx, address)).Execute(ctx, command)
		cancel()
		if err == nil {
			return reply, nil
		}
		failure = errors.CombineErrors(failure, err)
	}
	return nil, failure
}

func show(set settings, command *wire.Command, reply *wire.CommandReply, out io.Writer) (int, error) {
	if reply.GetCode() != "" {
		if set.JSON {
			if err := json.NewEncoder(out).Encode(map[string]any{"code": reply.GetCode(), "error": reply.GetError(), "column": reply.GetColumn()}); err != nil {
				return exitRefused, err
			}
		}
		return exitRefused, refusal(command, reply)
	}
	if set.JSON {
		return exitOK, json.NewEncoder(out).Encode(document(reply))
	}
	return exitOK, table(reply, out)
}

func refusal(command *wire.Command, reply *wire.CommandReply) error {
	if reply.GetColumn() == 0 {
		return errors.Newf("%s: %s", reply.GetCode(), reply.GetError())
	}
	pointer := strings.Repeat(" ", int(reply.GetColumn())-1) + "^"
	return errors.Newf("%s: %s\n%s\n%s", reply.GetCode(), reply.GetError(), command.GetText(), pointer)
}

func document(reply *wire.CommandReply) map[string]any {
	rows := make([]map[string]string, 0, len(reply.GetTable().GetRows()))
	for _, row := range reply.GetTable().GetRows() {
		record := map[string]string{}
		for at, column := range reply.GetTable().GetColumns() {
			record[column] = row.GetCells()[at]
		}
		rows = append(rows, record)
	}
	return map[string]any{"revision": reply.GetRevision(), "rows": rows}
}

func table(reply *wire.CommandReply, out io.Writer) error {
	if reply.GetTable() == nil {
		_, err := fmt.Fprintf(out, "accepted as revision %d at %s\n", reply.GetRevision(), time.Now().Format(time.TimeOnly))
		return err
	}
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(reply.GetTable().GetColumns(), "\t"))
	for _, row := range reply.GetTable().GetRows() {
		fmt.Fprintln(writer, strings.Join(row.GetCells(), "\t"))
	}
	return writer.Flush()
}
