// Package control benchmarks the control group with real processes and real disks:
// failover, catching up, claims and commits.
package control

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	members = 3
	// failoversPerSignal is the number of failovers for each signal.
	failoversPerSignal = 5
	// missedChanges is the number of changes made while a process is stopped.
	missedChanges  = 1000
	commits        = 500
	startTimeout   = 20 * time.Second
	catchUpTimeout = 30 * time.Second
	pollInterval   = time.Millisecond
)

// Run measures all figures of the suite, each on a new group.
func Run(report *figure.Report) error {
	for _, measure := range []func(*figure.Report, *procs.Group) error{failover, commit, claims, catchUp} {
		if err := withGroup(report, measure); err != nil {
			return err
		}
	}
	return nil
}

func withGroup(report *figure.Report, measure func(*figure.Report, *procs.Group) error) (failure error) {
	// The system's temporary folder may be in memory, but the measurements need a disk.
	if err := os.MkdirAll("bench/out", 0o750); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("bench/out", "control-")
	if err != nil {
		return err
	}
	defer func() { failure = errors.CombineErrors(failure, os.RemoveAll(folder)) }()
	group, err := procs.NewGroup(folder, members)
	if err != nil {
		return err
	}
	defer func() { failure = errors.CombineErrors(failure, group.Close()) }()
	if err := group.StartAll(); err != nil {
		return err
	}
	if _, err := group.Leader(startTimeout, 0, 1, 2); err != nil {
		return err
	}
	return measure(report, group)
}

// failover measures the time in which no change is accepted after the leader is
// killed or suspended.
func failover(report *figure.Report, group *procs.Group) error {
	var spans []float64
	for attempt := range 2 * failoversPerSignal {
		signal := syscall.SIGKILL
		if attempt%2 == 1 {
			signal = syscall.SIGSTOP
		}
		span, err := failOnce(group, attempt, signal)
		if err != nil {
			return err
		}
		report.Note("failover %d by %s took %.0f ms", attempt, signal, span)
		spans = append(spans, span)
	}
	worst := 0.0
	for _, span := range spans {
		worst = max(worst, span)
	}
	report.Add("failover.unavailableMedian", percentile(spans, 0.5), "ms")
	report.Add("failover.unavailableWorst", worst, "ms")
	return nil
}

// failOnce causes one failover with a signal, and restores the group afterwards. It
// returns the time until a change was accepted, in milliseconds.
func failOnce(group *procs.Group, attempt int, signal syscall.Signal) (float64, error) {
	leader, err := group.Leader(startTimeout, 0, 1, 2)
	if err != nil {
		return 0, err
	}
	if _, err := commitChange(group, leader, fmt.Sprintf("before%d", attempt)); err != nil {
		return 0, err
	}
	start := time.Now()
	if err := group.Process(leader).Signal(signal); err != nil {
		return 0, err
	}
	if _, err := commitChange(group, (leader+1)%members, fmt.Sprintf("after%d", attempt)); err != nil {
		return 0, err
	}
	span := milliseconds(time.Since(start))
	if signal == syscall.SIGSTOP {
		err = group.Process(leader).Signal(syscall.SIGCONT)
	} else if err = group.Process(leader).Kill(); err == nil {
		err = group.Start(leader)
	}
	if err != nil {
		return 0, err
	}
	return span, waitForSameRevision(group, startTimeout)
}

// commitChange sends one change, always with the same ID, until it is accepted. It
// returns the time that the last attempt took.
func commitChange(group *procs.Group, at int, name string) (time.Duration, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		start := time.Now()
		reply, err := group.Execute(at, name, "create customer "+name+" tier paid")
		if err == nil && reply.GetCode() == "" {
			return time.Since(start), nil
		}
	}
	return 0, errors.Newf("change %s was not accepted within %s", name, startTimeout)
}

// waitForSameRevision waits until all members have applied the same revision.
func waitForSameRevision(group *procs.Group, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		rows, err := group.Rows(0)
		if err == nil && len(rows) == members && rows[0]["revision"] == rows[1]["revision"] && rows[1]["revision"] == rows[2]["revision"] {
			return nil
		}
	}
	return errors.Newf("members have not applied the same revision after %s", timeout)
}

// commit measures the latency of changes that are sent one at a time.
func commit(report *figure.Report, group *procs.Group) error {
	var spans []float64
	for n := range commits {
		span, err := commitChange(group, n%members, fmt.Sprintf("commit%d", n))
		if err != nil {
			return err
		}
		spans = append(spans, milliseconds(span))
	}
	report.Add("config.commitP50", percentile(spans, 0.5), "ms")
	report.Add("config.commitP99", percentile(spans, 0.99), "ms")
	return nil
}
