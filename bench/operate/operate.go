// Package operate benchmarks operator commands with real processes: the time until
// a change is in force everywhere, the time until a drained endpoint gets no new
// work, and the cost of control traffic at an entry VM.
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
	// maxLatency is the histogram's maximum, in microseconds.
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	drains            = 5
	// drainWindow is the time that new attempts are watched for after a drain.
	drainWindow = 4 * time.Second
	// drainWarmUp is the time of normal load before a drain.
	drainWarmUp = time.Second
	// costDuration is the measurement time for each rate of changes.
	costDuration = 10 * time.Second
)

// Run measures all figures of the suite on one fleet.
func Run(report *figure.Report) (err error) {
	folder, err := os.MkdirTemp("", "hibiscuslug-operate-")
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(folder)) }()
	running, err := startFleet(folder)
	defer func() { err = errors.CombineErrors(err, running.close()) }()
	if err != nil {
		return err
	}
	for _, measure := range []func(*fleet, *figure.Report) error{inForce, cost, lastNewWork} {
		if err := measure(running, report); err != nil {
			return err
		}
	}
	return nil
}

// inForce measures the time from the answer that accepts a change until the change
// is in force on all processes.
func inForce(fleet *fleet, report *figure.Report) error {
	times := hdrhistogram.New(1, maxLatency, significantDigits)
	for number := range changes {
		time.Sleep(changePause)
		span, err := fleet.changeEverywhere(number + 1)
		if err != nil {
			return err
		}
		if err := times.RecordValue(min(max(span.Microseconds(), 1), maxLatency)); err != nil {
			return err
		}
	}
	report.Note("config.inForce: %d changes, %d entry VMs, %d endpoint processes, 3 control VMs", changes, entryVMs, endpointVMs)
	report.Add("config.inForceP50", float64(times.ValueAtQuantile(50))/1000, "ms")
	report.Add("config.inForceP99", float64(times.ValueAtQuantile(99))/1000, "ms")
	return nil
}

// lastNewWork drains one endpoint after another under constant load and measures
// the time until the last new attempt began there.
func lastNewWork(fleet *fleet, report *figure.Report) error {
	load := fleet.startLoad(report.Seed)
	defer load.stop()
	var worst time.Duration
	minAttempts := math.MaxInt
	for at := range drains {
		before := fleet.attempts(at)
		time.Sleep(drainWarmUp)
		minAttempts = min(minAttempts, fleet.attempts(at)-before)
		if minAttempts == 0 {
			return errors.Newf("endpoint%d got no attempts before it was drained", at+1)
		}
		span, err := fleet.drain(at)
		if err != nil {
			return err
		}
		worst = max(worst, span)
	}
	sent, failed := load.counts()
	report.Note("drain.lastNewWork: worst of %d drains, at least %d attempts on the endpoint in the second before; %d requests from %d entry VMs, %d not ok", drains, minAttempts, sent, entryVMs, failed)
	report.Add("drain.lastNewWork", float64(worst.Microseconds())/1000, "ms")
	return nil
}

// cost measures an entry VM's CPU time, memory and control traffic without requests,
// at 0, 1 and 10 configuration changes per second.
func cost(fleet *fleet, report *figure.Report) error {
	for _, level := range []struct {
		name  string
		pause time.Duration
	}{{"Idle", 0}, {"1", time.Second}, {"10", 100 * time.Millisecond}} {
		before, err := fleet.usage()
		if err != nil {
			return err
		}
		began := time.Now()
		if err := fleet.keepChanging(level.pause, costDuration); err != nil {
			return err
		}
		after, err := fleet.usage()
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
