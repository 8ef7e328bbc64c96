// Command hibbench runs the benchmark suites and saves their figures. It is run by
// `make bench`.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/hibiscuslug/hibiscuslug/bench/claim"
	"github.com/hibiscuslug/hibiscuslug/bench/control"
	"github.com/hibiscuslug/hibiscuslug/bench/expert"
	"github.com/hibiscuslug/hibiscuslug/bench/models"
	"github.com/hibiscuslug/hibiscuslug/bench/operate"
	"github.com/hibiscuslug/hibiscuslug/bench/path"
	"github.com/hibiscuslug/hibiscuslug/bench/place"
	"github.com/hibiscuslug/hibiscuslug/bench/queue"
	"github.com/hibiscuslug/hibiscuslug/bench/route"
	"github.com/hibiscuslug/hibiscuslug/bench/scale"
	"github.com/hibiscuslug/hibiscuslug/bench/storm"
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

type settings struct {
	Suite []string `long:"suite" description:"Suite to run; default is all suites; may be repeated"`
	Seed  uint64   `long:"seed" default:"1" description:"Seed of the random number generators"`
	Out   string   `long:"out" default:"bench/out/figures.json" description:"Output file for the figures"`
}

// suite is a benchmark that measures a group of figures. Each suite is a package
// below bench.
type suite struct {
	name string
	run  func(*figure.Report) error
}

var suites = []suite{
	{"control", control.Run},
	{"place", place.Run},
	{"route", route.Run},
	{"path", path.Run},
	{"claim", claim.Run},
	{"expert", expert.Run},
	{"models", models.Run},
	{"queue", queue.Run},
	{"queueReal", queue.RunReal},
	{"operate", operate.Run},
	{"scale", scale.Run},
	{"storm", storm.Run},
}

func revision() string {
	out, err := exec.CommandContext(context.Background(), "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

func selected(set settings, name string) bool {
	for _, chosen := range set.Suite {
		if chosen == name {
			return true
		}
	}
	return len(set.Suite) == 0
}

func run() error {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		return err
	}
	report := figure.NewReport(os.Stdout, set.Seed, revision())
	for _, current := range suites {
		if !selected(set, current.name) {
			continue
		}
		if err := current.run(report); err != nil {
			return fmt.Errorf("suite %s: %w", current.name, err)
		}
	}
	return report.Save(set.Out)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibbench:", err)
		os.Exit(1)
	}
}
