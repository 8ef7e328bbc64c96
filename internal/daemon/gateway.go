package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/envset"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/gate"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

const (
	settingsFlag = "--settings"
	seedVariable = "HIB_SEED"
	// apiHeaderBytes bounds the header of a request.
	apiHeaderBytes = 16 << 10
	// apiRequestTimeout limits the time in which a whole request arrives, and apiWriteStall
	// the time in which nothing of a response is read.
	apiRequestTimeout = 30 * clock.Second
	apiWriteStall     = 10 * clock.Second
	// apiIdleTimeout limits the time between two requests on a connection.
	apiIdleTimeout = 2 * time.Minute
	// apiShutdownTimeout limits the wait for requests in progress at shutdown.
	apiShutdownTimeout = time.Second
)

type gatewayCommand struct {
	opts.Node
	opts.Gateway
	out  io.Writer
	file *settingsFile
}

func (command *gatewayCommand) check() error {
	return bounds.First(command.Node.Check(), command.Gateway.Check())
}

// Execute runs a gateway process.
func (command *gatewayCommand) Execute([]string) error {
	guard.LimitMemory(command.Node)
	log := event.NewBounded(os.Stdout, command.Name, command.Zone)
	defer log.Close()
	running, err := gate.New(gate.Settings{
		Node: command.Node, Gateway: command.Gateway, Dialect: platform.Dialect{}, Seeds: command.file.seeds(command.Seed),
	}, clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address())
	return command.file.watch(log, func() error { return wait(running) })
}

// settingsFile is the file given by --settings; its file is nil if the flag is
// not set.
type settingsFile struct {
	file *envset.File
	// refusals are the errors of the values that were withdrawn.
	refusals []error
}

// parse returns the role of the command line with settings from the file.
func (settings *settingsFile) parse(arguments []string, out io.Writer) (roleCommand, error) {
	command, err := parse(arguments, out, settings)
	for err != nil && settings.withdraw(err) {
		command, err = parse(arguments, out, settings)
	}
	return command, err
}

// withdraw replaces a number or duration of the file that cannot be used by the
// setting's default, and reports whether the error was due to one: a process that
// can serve does not end because of a limit that it cannot read.
func (settings *settingsFile) withdraw(err error) bool {
	var refusal *bounds.SettingError
	if settings.file == nil || !errors.As(err, &refusal) {
		return false
	}
	name := "HIB_" + strings.ToUpper(strings.ReplaceAll(refusal.Setting, "-", "_"))
	withdrawn, failure := settings.file.Withdraw(name)
	if !withdrawn || failure != nil {
		return false
	}
	settings.refusals = append(settings.refusals, err)
	return true
}

// openSettings removes --settings from the arguments and exports the file's
// values as environment variables that are not set yet, so that flags and the
// environment take precedence.
func openSettings(arguments []string) ([]string, *settingsFile, error) {
	for at, argument := range arguments {
		path, ok := strings.CutPrefix(argument, settingsFlag+"=")
		rest := arguments[min(at+1, len(arguments)):]
		if argument == settingsFlag && len(rest) > 0 {
			path, rest, ok = rest[0], rest[1:], true
		}
		if !ok {
			continue
		}
		file, err := envset.Open(path)
		if err != nil {
			return nil, nil, err
		}
		return append(append([]string(nil), arguments[:at]...), rest...), &settingsFile{file: file}, file.Export()
	}
	return arguments, &settingsFile{}, nil
}

// seeds returns a function that returns the current seeds of the file, or the
// initial ones if the file has none.
func (settings *settingsFile) seeds(initial []string) func() []string {
	return func() []string {
		if settings.file == nil {
			return initial
		}
		if seeds := settings.file.List(seedVariable); len(seeds) > 0 {
			return seeds
		}
		return initial
	}
}

// watch reloads the settings file on changes and on SIGHUP while a role runs.
// Without a file it ignores SIGHUP, which would otherwise end the process.
func (settings *settingsFile) watch(log *event.Log, run func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if settings.file == nil {
		return run()
	}
	for _, refusal := range settings.refusals {
		log.Write(event.SettingWithdrawn, "error", refusal)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var watching conc.WaitGroup
	defer watching.Wait()
	defer cancel()
	watching.Go(func() { settings.file.Watch(ctx, signals, clock.NewSystem(), log) })
	return run()
}

// controlAPI is a control process that also serves the HTTP API of deployments.
type controlAPI struct {
	*ctrl.Control
	server  *http.Server
	running conc.WaitGroup
}

func serveAPI(control *ctrl.Control, address string, log *event.Log) (role, error) {
	if address == "" {
		return control, nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "setting --api-listen"), control.Close())
	}
	api := &controlAPI{Control: control, server: &http.Server{
		Handler: platform.NewControlHandler(control), MaxHeaderBytes: apiHeaderBytes, ReadHeaderTimeout: apiRequestTimeout.Duration(), IdleTimeout: apiIdleTimeout,
		ConnState: guard.Follow,
	}}
	guarded := control.Guard().Listen(listener, guard.Options{
		Name: "operators", Share: guard.OperatorsShare, HeadLimit: func() int { return apiHeaderBytes }, HeadTime: apiRequestTimeout,
		WholeBody: platform.MaxDocumentBytes, Decoded: true, WriteStall: apiWriteStall,
	})
	api.running.Go(func() {
		if err := api.server.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
			log.Write(event.ServeFailed, "error", err)
		}
	})
	return api, nil
}

// Close waits for requests in progress, up to apiShutdownTimeout, then closes
// the control process.
func (api *controlAPI) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), apiShutdownTimeout)
	defer cancel()
	failure := api.server.Shutdown(ctx)
	if errors.Is(failure, context.DeadlineExceeded) {
		failure = api.server.Close()
	}
	api.running.Wait()
	return errors.CombineErrors(failure, api.Control.Close())
}
