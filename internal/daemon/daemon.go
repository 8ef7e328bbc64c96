// Package daemon starts the roles of hibiscuslug from the command line.
package daemon

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/endpt"
	"github.com/hibiscuslug/hibiscuslug/internal/entry"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
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
	out io.Writer
}

// Execute runs an entry VM's process.
func (command *entryCommand) Execute([]string) error {
	if err := errors.CombineErrors(command.Node.Check(), command.Entry.Check()); err != nil {
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
	if err := errors.CombineErrors(command.Node.Check(), command.Endpoint.Check()); err != nil {
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
	if err := errors.CombineErrors(command.Node.Check(), command.Control.Check()); err != nil {
		return err
	}
	log := event.New(os.Stderr, command.Name, command.Zone)
	running, err := ctrl.New(ctrl.Settings{Node: command.Node, Control: command.Control}, clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address())
	return wait(running)
}

func wait(running role) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return running.Close()
}

// Run parses the command line and runs the role until it is told to stop.
func Run(arguments []string, out io.Writer) error {
	parser := flags.NewNamedParser("hibiscuslug", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"entry", "Run an entry VM's process", "Takes callers' requests and places them on engines.\n\nExample:\n  hibiscuslug entry --name entry1 --zone zone1 --control 127.0.0.1:7100 --http-listen 127.0.0.1:8080", &entryCommand{out: out}},
		{"endpoint", "Run an endpoint process", "Stands before the engines of an endpoint VM.\n\nExample:\n  hibiscuslug endpoint --name endpoint1 --zone zone1 --entry 127.0.0.1:7000 --engine model,engine1,http://127.0.0.1:9000,guide-1", &endpointCommand{out: out}},
		{"control", "Run a control VM's process", "Holds the configuration on disk.\n\nExample:\n  hibiscuslug control --name control1 --zone zone1 --data /var/lib/hibiscuslug\n\nExample of one in a group of three:\n  hibiscuslug control --name control1 --zone zone1 --listen 10.0.0.1:7100 --data /var/lib/hibiscuslug --group control1@10.0.0.1:7100 --group control2@10.0.0.2:7100 --group control3@10.0.0.3:7100", &controlCommand{out: out}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return err
		}
	}
	_, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return nil
	}
	return err
}
