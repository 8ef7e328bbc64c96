// Command hibfake runs a fake of an external system as a separate process, for
// tests and benchmarks.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

type settings struct {
	Kind       string        `long:"kind" default:"model" choice:"model" choice:"desk" description:"System to simulate"`
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	FirstToken time.Duration `long:"first-token" default:"0s" description:"Time before the first event, or for a booking"`
	Interval   time.Duration `long:"interval" default:"0s" description:"Time between events"`
	Slots      int           `long:"slots" default:"0" description:"Maximum number of concurrent requests; 0 means no limit"`
	LoadLag    time.Duration `long:"load-lag" default:"0s" description:"Age of the values on the load page"`
	Status     int           `long:"status" default:"0" description:"HTTP error status of every response; 0 means no errors"`
	CrashOn    string        `long:"crash-on" description:"Text in a request that crashes the endpoint VM"`
	CrashFile  string        `long:"crash-file" description:"File with the process id of the endpoint process, which a crash kills as well"`
}

type system interface {
	URL() string
	Close() error
}

func start(set settings) (system, error) {
	if set.Kind == "desk" {
		return fake.NewDesk(set.Listen, set.FirstToken)
	}
	return fake.NewModel(fake.ModelSettings{
		Listen: set.Listen, FirstToken: set.FirstToken, Interval: set.Interval, Slots: set.Slots, LoadLag: set.LoadLag,
		Status: set.Status, CrashOn: set.CrashOn, Crash: func() { crashVM(set.CrashFile) },
	})
}

// crashVM simulates a crash of the endpoint VM: it kills the endpoint process and
// exits.
func crashVM(path string) {
	if text, err := os.ReadFile(path); err == nil {
		if pid, err := strconv.Atoi(strings.TrimSpace(string(text))); err == nil && pid > 1 {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	os.Exit(3)
}

func run() error {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		return err
	}
	running, err := start(set)
	if err != nil {
		return err
	}
	fmt.Println("ready", running.URL())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return running.Close()
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibfake:", err)
		os.Exit(1)
	}
}
