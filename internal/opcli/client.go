// Package opcli is the operators' command-line client.
package opcli

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Exit codes.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnavailable = 3
	exitConflict    = 4
)

type settings struct {
	Address   []string     `long:"address" env:"HIB_ADDRESS" env-delim:"," default:"127.0.0.1:7000" description:"IP:port of an entry or control VM; may be repeated, and the next one is tried when one does not answer"`
	JSON      bool         `long:"json" env:"HIB_JSON" description:"Print JSON instead of a table"`
	ID        string       `long:"id" env:"HIB_COMMAND_ID" description:"Command id; the same id is never done twice. Made at random when empty"`
	Timeout   clock.Millis `long:"timeout" env:"HIB_TIMEOUT" default:"10s" description:"Time for one address (100ms to 10m)"`
	Rounds    int          `long:"rounds" env:"HIB_ROUNDS" default:"2" description:"How often the addresses are tried, in rounds (1 to 100)"`
	KeepGoing bool         `long:"keep-going" env:"HIB_KEEP_GOING" description:"Go on after a refused command when reading from standard input"`
	progress  io.Writer
}

const usage = `[OPTIONS] COMMAND
  hibctl [OPTIONS] - < FILE

Sends one command of docs/COMMANDS.md, or with "-" every line of standard
input; empty lines and lines that begin with # are skipped.

Examples:
  hibctl show nodes
  hibctl 'show requests where tier = free and waited > 1s order by waited desc limit 10'
  hibctl --json show config limit 5
  hibctl create customer clinic tier paid token s3cret weight 2
  hibctl alter customer clinic weight 3 if revision 12
  hibctl drain endpoint endpoint3
  hibctl explain request entry1-5ab3c2d1-17
  hibctl --address 10.0.0.1:7000 --address 10.0.1.1:7000 --id change-17 drop rule booking
  hibctl - < rules.txt

Exit codes:
  0  done
  1  refused: invalid, notFound or exists
  2  wrong option, or an error at a column of the command
  3  no address could do it; send a change again with the same --id
  4  conflict: "if revision N" was overtaken by another change`

// Run runs one command, or the commands read from standard input, and returns
// the exit code.
func Run(arguments []string, in io.Reader, out, progress io.Writer) (int, error) {
	set := settings{progress: progress}
	parser := flags.NewParser(&set, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.Usage = "hibctl", usage
	words, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return exitOK, nil
	}
	if err := bounds.First(err, set.check()); err != nil {
		return exitUsage, err
	}
	if len(words) == 0 {
		return exitUsage, errors.New("no command given; see hibctl --help")
	}
	client := newClient(set)
	defer client.close()
	if len(words) == 1 && words[0] == "-" {
		return runLines(client, in, out)
	}
	id := set.ID
	if id == "" {
		id = rand.Text()
	}
	return client.run(id, join(words), out)
}

func (set settings) check() error {
	return bounds.First(
		bounds.RequiredList("address", set.Address),
		bounds.Addresses("address", set.Address),
		bounds.Span("timeout", set.Timeout, "100ms", "10m"),
		bounds.Int("rounds", set.Rounds, 1, 100, "rounds"),
	)
}

// join joins the arguments to one command. An argument that was quoted in the
// shell is quoted again, unless it is the whole command.
func join(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	quoted := make([]string, len(words))
	for at, word := range words {
		quoted[at] = word
		if word == "" || strings.ContainsAny(word, " \t\"") {
			quoted[at] = strconv.Quote(word)
		}
	}
	return strings.Join(quoted, " ")
}

// runLines runs the commands read from standard input. With --id, the command in
// line N has the id ID.N, so that the same input can be sent again safely.
func runLines(client *client, in io.Reader, out io.Writer) (int, error) {
	lines := bufio.NewScanner(in)
	maxCode := exitOK
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		id := rand.Text()
		if client.settings.ID != "" {
			id = client.settings.ID + "." + strconv.Itoa(number)
		}
		code, err := client.run(id, text, out)
		if code == exitOK && err == nil {
			continue
		}
		err = errors.Wrapf(err, "line %d", number)
		if !client.settings.KeepGoing {
			return code, err
		}
		fmt.Fprintln(client.settings.progress, "hibctl:", err)
		maxCode = max(maxCode, code)
	}
	return maxCode, lines.Err()
}

// exitCode returns the exit code for a reply. Only errors found in the text of
// the command have a column.
func exitCode(reply *wire.CommandReply) int {
	switch {
	case reply.GetCode() == "":
		return exitOK
	case reply.GetColumn() > 0:
		return exitUsage
	}
	switch reply.GetCode() {
	case query.CodeUnavailable:
		return exitUnavailable
	case query.CodeConflict:
		return exitConflict
	}
	return exitRefused
}
