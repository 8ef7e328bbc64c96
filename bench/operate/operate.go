// Package operate measures the operator plane on real processes: when a change
// is in force everywhere, when a drained endpoint gets its last new work, and
// what control traffic costs an entry VM.
package operate

import (
	"math"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

const (
	entryVMs    = 18
	endpointVMs = 15
	zones       = 3
	changes     = 100
	changePause = 50 * time.Millisecond
	// slowest bounds the histogram, in microseconds.
	slowest   = int64(time.Minute / time.Microsecond)
	digits    = 3
	drains    = 5
	drainLook = 4 * time.Second
	drainWarm = time.Second
	costSpan  = 10 * time.Second
)

// Run measures all figures of the suite on one fleet.
func Run(report *figure.Report) (err error) {
	folder, err := os.MkdirTemp("", "hibiscuslug-operate-")
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(folder)) }()
	system, err := startSystem(folder)
	defer func() { err = errors.CombineErrors(err, system.close()) }()
	if err != nil {
		return err
	}
	for _, measure := range []func(*fleet, *figure.Report) error{inForce, cost, lastNewWork} {
		if err := measure(system, report); err != nil {
			return err
		}
	}
	return nil
}

// inForce measures the time from the operator's accepted answer until the
// change is in force on the last process.
func inForce(system *fleet, report *figure.Report) error {
	times := hdrhistogram.New(1, slowest, digits)
	for number := range changes {
		time.Sleep(changePause)
		span, err := system.changeEverywhere(number + 1)
		if err != nil {
			return err
		}
		if err := times.RecordValue(min(max(span.Microseconds(), 1), slowest)); err != nil {
			return err
		}
	}
	report.Note("config.inForce: %d changes, %d entry VMs, %d endpoint processes, 3 control VMs", changes, entryVMs, endpointVMs)
	report.Add("config.inForceP50", float64(times.ValueAtQuantile(50))/1000, "ms")
	report.Add("config.inForceP99", float64(times.ValueAtQuantile(99))/1000, "ms")
	return nil
}

// lastNewWork drains one endpoint after another under steady load.
func lastNewWork(system *fleet, report *figure.Report) error {
	load := system.startLoad(report.Seed)
	defer load.stop()
	var worst time.Duration
	least := math.MaxInt
	for at := range drains {
		before := system.started(at)
		time.Sleep(drainWarm)
		least = min(least, system.started(at)-before)
		if least == 0 {
			return errors.Newf("endpoint%d had no work before it was drained", at+1)
		}
		span, err := system.drain(at)
		if err != nil {
			return err
		}
		worst = max(worst, span)
	}
	sent, failed := load.counts()
	report.Note("drain.lastNewWork: worst of %d drains, at least %d attempts on the endpoint in the second before; %d requests from %d entry VMs, %d not ok", drains, least, sent, entryVMs, failed)
	report.Add("drain.lastNewWork", float64(worst.Microseconds())/1000, "ms")
	return nil
}

// cost measures what an entry VM spends without requests, idle and at 1 and 10
// configuration changes a second.
func cost(system *fleet, report *figure.Report) error {
	for _, level := range []struct {
		name  string
		pause time.Duration
	}{{"Idle", 0}, {"1", time.Second}, {"10", 100 * time.Millisecond}} {
		before, err := system.usage()
		if err != nil {
			return err
		}
		began := time.Now()
		if err := system.keepChanging(level.pause, costSpan); err != nil {
			return err
		}
		after, err := system.usage()
		if err != nil {
			return err
		}
		span := time.Since(began).Seconds()
		report.Add("control.cpu"+level.name, 100*(after.cpu-before.cpu)/span/entryVMs, "%")
		report.Add("control.memory"+level.name, after.memory/entryVMs/1e6, "MB")
		report.Add("control.bytes"+level.name, (after.bytes-before.bytes)/span/entryVMs, "bytes/s")
	}
	return nil
}
