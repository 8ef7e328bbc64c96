// Package daemon starts the roles of hibiscuslug from the command line.
package daemon

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"regexp"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/endpt"
	"github.com/hibiscuslug/hibiscuslug/internal/entry"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fleet"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// role is a running process of any role.
type role interface {
	Address() string
	Close() error
}

type entryCommand struct {
	opts.Node
	opts.Entry
	out io.Writer
}

type endpointCommand struct {
	opts.Node
	opts.Endpoint
	out io.Writer
}

type controlCommand struct {
	opts.Node
	opts.Control
	out  io.Writer
	file *settingsFile
}

type embeddedCommand struct {
	opts.Embedded
	out io.Writer
}

// Execute runs an entry VM's process.
func (command *entryCommand) Execute([]string) error {
	if err := bounds.First(command.Node.Check(), command.Entry.Check()); err != nil {
		return err
	}
	log := event.New(os.Stderr, command.Name, command.Zone)
	running, err := entry.New(entry.Settings{Node: command.Node, Entry: command.Entry}, clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address(), running.HTTPAddress())
	return wait(running)
}

// Execute runs an endpoint process.
func (command *endpointCommand) Execute([]string) error {
	if err := bounds.First(command.Node.Check(), command.Endpoint.Check(), checkEngines(command.Engine), checkLifetime(command.Endpoint)); err != nil {
		return err
	}
	log := event.New(os.Stderr, command.Name, command.Zone)
	running, err := endpt.New(endpt.Settings{Node: command.Node, Endpoint: command.Endpoint}, clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address())
	return wait(running)
}

// Execute runs a control VM's process.
func (command *controlCommand) Execute([]string) error {
	if err := bounds.First(command.Node.Check(), command.Control.Check()); err != nil {
		return err
	}
	log := event.New(os.Stderr, command.Name, command.Zone)
	if command.APIListen != "" {
		log = event.NewBounded(os.Stdout, command.Name, command.Zone)
		defer log.Close()
	}
	ticker := clock.NewSystem()
	control, err := ctrl.New(ctrl.Settings{
		Node: command.Node, Control: command.Control, Seeds: command.file.seeds(command.Seed),
	}, ticker, log)
	if err != nil {
		return err
	}
	running, err := serveAPI(control, command.APIListen, log)
	if err != nil {
		return err
	}
	if command.APIListen != "" {
		running = withCoordinator(running, control, command.Node, ticker, log)
	}
	fmt.Fprintln(command.out, "ready", running.Address())
	return command.file.watch(log, func() error { return wait(running) })
}

// Execute runs the embedded fleet, or its demo.
func (command *embeddedCommand) Execute([]string) error {
	if err := command.Check(); err != nil {
		return err
	}
	if command.Demo {
		return fleet.Demo(command.Embedded, command.out)
	}
	running, err := fleet.New(command.Embedded)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address(), running.HTTP[0])
	for at, address := range running.Entries() {
		fmt.Fprintf(command.out, "entry%d: hibctl --address %s; callers at %s\n", at+1, address, running.HTTP[at])
	}
	return wait(running)
}

func wait(running role) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return running.Close()
}

// subcommand is the subcommand that runs a role.
type subcommand struct {
	name, short, long string
	data              any
}

func subcommands(out io.Writer, file *settingsFile) []subcommand {
	return []subcommand{
		{"entry", "Run an entry VM's process", entryHelp, &entryCommand{out: out}},
		{"endpoint", "Run an endpoint process", endpointHelp, &endpointCommand{out: out}},
		{"control", "Run a control VM's process", controlHelp, &controlCommand{out: out, file: file}},
		{"gateway", "Run a gateway process", gatewayHelp, &gatewayCommand{out: out, file: file}},
		{"agent", "Run the agent beside a rank's engine", agentHelp, &agentCommand{out: out, file: file}},
		{"embedded", "Run a small fleet of three zones in one process", embeddedHelp, &embeddedCommand{out: out}},
	}
}

// Run parses the command line and runs the role until a signal stops it.
func Run(arguments []string, out io.Writer) error {
	arguments, file, err := openSettings(arguments)
	if err != nil {
		return err
	}
	parser := flags.NewNamedParser("hibiscuslug", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	for _, command := range subcommands(out, file) {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return err
		}
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return errors.Newf("argument %q is not a setting; settings begin with --", rest[0])
		}
		return command.Execute(rest)
	}
	_, err = parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return nil
	}
	return withDescription(parser, err)
}

var flagName = regexp.MustCompile("flag `--([a-z-]+)'")

// withDescription adds the description of a setting, which has its range and
// unit, to the error about a value that could not be parsed.
func withDescription(parser *flags.Parser, err error) error {
	var failure *flags.Error
	if !errors.As(err, &failure) || failure.Type != flags.ErrMarshal || parser.Active == nil {
		return err
	}
	match := flagName.FindStringSubmatch(failure.Message)
	if match == nil {
		return err
	}
	option := parser.Active.FindOptionByLongName(match[1])
	if option == nil {
		return err
	}
	return errors.Newf("setting --%s: %s; it is: %s", match[1], failure.Message, option.Description)
}
