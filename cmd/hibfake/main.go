// Command hibfake runs a fake outside system as a process of its own, for
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
	Kind       string        `long:"kind" default:"model" choice:"model" choice:"desk" description:"System to stand in for"`
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"IP:port"`
	FirstToken time.Duration `long:"first-token" default:"0s" description:"Time before the first event, or of a booking"`
	Interval   time.Duration `long:"interval" default:"0s" description:"Time between events"`
	Slots      int           `long:"slots" default:"0" description:"Requests that run at once; any number when 0"`
	LoadLag    time.Duration `long:"load-lag" default:"0s" description:"Age of the load page"`
	Status     int           `long:"status" default:"0" description:"Error status of every answer; none when 0"`
	CrashOn    string        `long:"crash-on" description:"Text in a request that takes the endpoint VM down"`
	CrashFile  string        `long:"crash-file" description:"File with the id of the endpoint process, which a crash ends as well"`
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
		Status: set.Status, CrashOn: set.CrashOn, Crash: func() { crash(set.CrashFile) },
	})
}

// crash takes the endpoint VM down: its endpoint process and this engine.
func crash(path string) {
	if text, err := os.ReadFile(path); err == nil {
		if id, err := strconv.Atoi(strings.TrimSpace(string(text))); err == nil && id > 1 {
			_ = syscall.Kill(id, syscall.SIGKILL)
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
