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
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
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

func (command *entryCommand) check() error {
	return bounds.First(command.Node.Check(), command.Entry.Check())
}

// Execute runs an entry VM's process.
func (command *entryCommand) Execute([]string) error {
	guard.LimitMemory(command.Node)
	log := event.New(os.Stderr, command.Name, command.Zone)
	running, err := entry.New(entry.Settings{Node: command.Node, Entry: command.Entry}, clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address(), running.HTTPAddress())
	return wait(running)
}

func (command *endpointCommand) check() error {
	return bounds.First(command.Node.Check(), command.Endpoint.Check(), checkEngines(command.Engine), checkLifetime(command.Endpoint))
}

// Execute runs an endpoint process.
func (command *endpointCommand) Execute([]string) error {
	guard.LimitMemory(command.Node)
	log := event.New(os.Stderr, command.Name, command.Zone)
	running, err := endpt.New(endpt.Settings{Node: command.Node, Endpoint: command.Endpoint}, clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address())
	return wait(running)
}

func (command *controlCommand) check() error {
	return bounds.First(command.Node.Check(), command.Control.Check())
}

// Execute runs a control VM's process.
func (command *controlCommand) Execute([]string) error {
	guard.LimitMemory(command.Node)
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

func (command *embeddedCommand) check() error { return command.Check() }

// Execute runs the embedded fleet, or its demo.
func (command *embeddedCommand) Execute([]string) error {
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

// roleCommand is a role with its settings.
type roleCommand interface {
	flags.Commander
	// check returns an error for the first setting that cannot be used.
	check() error
}

// Run parses the command line and runs the role until a signal stops it.
func Run(arguments []string, out io.Writer) error {
	arguments, file, err := openSettings(arguments)
	if err != nil {
		return err
	}
	command, err := file.parse(arguments, out)
	if err != nil || command == nil {
		return err
	}
	return command.Execute(nil)
}

// parse returns the role of the command line with checked settings, or nil if
// only help was asked for.
func parse(arguments []string, out io.Writer, file *settingsFile) (roleCommand, error) {
	var selected roleCommand
	parser := flags.NewNamedParser("hibiscuslug", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	for _, command := range subcommands(out, file) {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return nil, err
		}
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return errors.Newf("argument %q is not a setting; settings begin with --", rest[0])
		}
		role, ok := command.(roleCommand)
		if !ok {
			return errors.Newf("command %T has no settings", command)
		}
		selected = role
		return role.check()
	}
	_, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return nil, nil
	}
	return selected, withDescription(parser, err)
}

var flagName = regexp.MustCompile("flag `--([a-z-]+)'")

// withDescription turns the error about a value that could not be parsed into a
// SettingError with the description of the setting, which has its range and unit.
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
	return &bounds.SettingError{Setting: match[1], Reason: fmt.Sprintf("is refused: %s; it is: %s", failure.Message, option.Description)}
}
