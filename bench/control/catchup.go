package control

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// catchUp measures the time that a restarted control VM and a restarted entry VM take
// to apply 1,000 changes that they missed.
func catchUp(report *figure.Report, group *procs.Group) error {
	leader, err := group.Leader(startTimeout, 0, 1, 2)
	if err != nil {
		return err
	}
	stopped := (leader + 1) % members
	if err := group.Process(stopped).Stop(); err != nil {
		return err
	}
	entry, err := startEntry(group, leader)
	if err != nil {
		return err
	}
	if err := entry.Stop(); err != nil {
		return err
	}
	for n := range missedChanges {
		if _, err := commitChange(group, leader, fmt.Sprintf("missed%d", n)); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := group.Start(stopped); err != nil {
		return err
	}
	if err := waitForControl(group, stopped); err != nil {
		return err
	}
	report.Add("recover.catchUpControl", milliseconds(time.Since(start)), "ms")
	start = time.Now()
	if entry, err = startEntry(group, leader); err != nil {
		return err
	}
	err = waitForEntry(group, entry)
	report.Add("recover.catchUpEntry", milliseconds(time.Since(start)), "ms")
	return errors.CombineErrors(err, entry.Stop())
}

func startEntry(group *procs.Group, control int) (*procs.Process, error) {
	return procs.Start("entry1", "hibiscuslug", "entry", "--name", "entry1", "--zone", "zone1",
		"--http-listen", "127.0.0.1:0", "--control", group.Address(control))
}

// waitForControl waits until a control VM has applied all missed changes.
func waitForControl(group *procs.Group, at int) error {
	for end := time.Now().Add(catchUpTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		rows, err := group.Rows(at)
		if err != nil {
			continue
		}
		for _, row := range rows {
			revision, _ := strconv.Atoi(row["revision"])
			if row["name"] == group.Name(at) && revision >= missedChanges {
				return nil
			}
		}
	}
	return errors.Newf("%s did not apply all missed changes within %s", group.Name(at), catchUpTimeout)
}

// waitForEntry waits until an entry VM's feed includes all missed changes.
func waitForEntry(group *procs.Group, entry *procs.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	stream, err := wire.NewDRPCFeedClient(group.Pool.Conn(ctx, entry.Address)).Watch(ctx, &wire.WatchRequest{Node: "bench"})
	if err != nil {
		return err
	}
	for {
		item, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "entry VM did not apply all missed changes")
		}
		if item.GetRevision() >= missedChanges {
			return stream.Close()
		}
	}
}

func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// percentile returns the value below which the given part of the values lies.
func percentile(values []float64, part float64) float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered[min(int(part*float64(len(ordered))), len(ordered)-1)]
}
