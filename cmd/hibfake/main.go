// Command hibfake runs a fake outside system as a process of its own, for
// tests and benchmarks.
package main

import (
	"fmt"
	"os"
	"os/signal"
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
}

type system interface {
	URL() string
	Close() error
}

func start(set settings) (system, error) {
	if set.Kind == "desk" {
		return fake.NewDesk(set.Listen, set.FirstToken)
	}
	return fake.NewModel(fake.ModelSettings{Listen: set.Listen, FirstToken: set.FirstToken, Interval: set.Interval})
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
