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

// catchUp measures how long a control VM and an entry VM need after a restart
// to apply 1,000 changes that they missed.
func catchUp(report *figure.Report, group *procs.Group) error {
	leader, err := group.Leader(startLimit, 0, 1, 2)
	if err != nil {
		return err
	}
	away := (leader + 1) % members
	if err := group.Process(away).Stop(); err != nil {
		return err
	}
	entry, err := startEntry(group, leader)
	if err != nil {
		return err
	}
	if err := entry.Stop(); err != nil {
		return err
	}
	for n := range missed {
		if _, err := accepted(group, leader, fmt.Sprintf("missed%d", n)); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := group.Start(away); err != nil {
		return err
	}
	if err := reached(group, away); err != nil {
		return err
	}
	report.Add("recover.catchUpControl", milliseconds(time.Since(start)), "ms")
	start = time.Now()
	if entry, err = startEntry(group, leader); err != nil {
		return err
	}
	err = watched(group, entry)
	report.Add("recover.catchUpEntry", milliseconds(time.Since(start)), "ms")
	return errors.CombineErrors(err, entry.Stop())
}

func startEntry(group *procs.Group, control int) (*procs.Process, error) {
	return procs.Start("entry1", "hibiscuslug", "entry", "--name", "entry1", "--zone", "zone1",
		"--http-listen", "127.0.0.1:0", "--control", group.Address(control))
}

// reached waits until a control VM has applied all missed changes.
func reached(group *procs.Group, at int) error {
	for end := time.Now().Add(catchUpLimit); time.Now().Before(end); time.Sleep(pollEvery) {
		rows, err := group.Rows(at)
		if err != nil {
			continue
		}
		for _, row := range rows {
			revision, _ := strconv.Atoi(row["revision"])
			if row["name"] == group.Name(at) && revision >= missed {
				return nil
			}
		}
	}
	return errors.Newf("%s did not catch up within %s", group.Name(at), catchUpLimit)
}

// watched waits until an entry VM serves all missed changes to a watcher.
func watched(group *procs.Group, entry *procs.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpLimit)
	defer cancel()
	stream, err := wire.NewDRPCFeedClient(group.Pool.Conn(ctx, entry.Address)).Watch(ctx, &wire.WatchRequest{Node: "bench"})
	if err != nil {
		return err
	}
	for {
		item, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "entry VM did not catch up")
		}
		if item.GetRevision() >= missed {
			return stream.Close()
		}
	}
}

func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// percentile returns the value below which a part of the values lie.
func percentile(values []float64, part float64) float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered[min(int(part*float64(len(ordered))), len(ordered)-1)]
}
