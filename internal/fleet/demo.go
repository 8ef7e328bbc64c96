package fleet

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	readyLimit  = 20 * time.Second
	changeLimit = 10 * time.Second
	demoCommand = "drain endpoint endpoint4"
)

// setupCommands create the customers and rules of the demo.
var setupCommands = []string{
	"create customer agency tier paid token agency-token weight 2",
	"create customer walkin tier free token walkin-token",
	"create rule booking path /services/desk/book kind order repeat never",
}

// Demo starts a fleet, sends a mixed load while one endpoint is drained, and
// prints the results for callers and the operator. It returns an error if a
// response was wrong or missing, or if the change was not applied on every process.
func Demo(settings opts.Embedded, out io.Writer) (err error) {
	began := time.Now()
	fleet, err := New(settings)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	fmt.Fprintf(out, "%d control VMs, %d entry VMs, %d endpoint processes, 1 order desk, 1 plain service, in %d zones\n",
		controlVMs, zones, zones*endpointsPerZone, zones)
	operator := newOperator(fleet.entries)
	defer operator.close()
	if err := fleet.prepare(operator); err != nil {
		return err
	}
	load := newLoad(fleet.HTTP, uint64(settings.DemoSeed))
	fmt.Fprintf(out, "mixed load over HTTP for %s, seed %d; half-way the operator runs %q\n\n", settings.DemoLoad, settings.DemoSeed, demoCommand)
	ctx, cancel := context.WithTimeout(context.Background(), settings.DemoLoad.Duration())
	defer cancel()
	var running conc.WaitGroup
	running.Go(func() { load.run(ctx) })
	err = fleet.operate(operator, settings.DemoLoad/2, out)
	running.Wait()
	if err != nil {
		return err
	}
	if err := load.print(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nfinished in %s\n", time.Since(began).Round(100*time.Millisecond))
	return load.check()
}

// prepare runs the setup commands and waits until every entry VM is ready.
func (fleet *Fleet) prepare(operator *operator) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	for _, text := range setupCommands {
		if _, _, err := operator.change(ctx, fleet.members, text); err != nil {
			return err
		}
	}
	return fleet.WaitReady(ctx)
}

// operate drains an endpoint after a delay and prints the time until the change
// was in force on each process.
func (fleet *Fleet) operate(operator *operator, delay clock.Millis, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), delay.Duration()+changeLimit)
	defer cancel()
	if err := clock.NewSystem().Sleep(ctx, delay); err != nil {
		return err
	}
	revision, results, err := operator.change(ctx, fleet.members, demoCommand)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%q accepted as revision %d; in force, from the accepted answer, on\n", demoCommand, revision)
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "  process\trole\tzone\tin force")
	for _, result := range results {
		text := "not within " + changeLimit.String()
		switch {
		case result.applied && result.delay <= 0:
			text = "before the answer"
		case result.applied:
			text = fmt.Sprintf("%.2f ms", float64(result.delay.Microseconds())/1000)
		default:
			err = errors.Newf("revision %d is not in force on %s", revision, result.member.name)
		}
		fmt.Fprintf(writer, "  %s\t%s\t%s\t%s\n", result.member.name, result.member.role, result.member.zone, text)
	}
	fmt.Fprintln(writer)
	return errors.CombineErrors(err, writer.Flush())
}
