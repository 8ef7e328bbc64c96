// Package claim measures the latency that claiming a booking and storing its answer
// add to it.
package claim

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/bench/small"
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

const (
	rate           = 100
	duration       = 10 * time.Second
	warmUpDuration = 2 * time.Second
	// zoneDelay is the one-way latency between availability zones.
	zoneDelay = 500 * time.Microsecond
)

// Run measures bookings, and at the same time idempotent look-ups at the same desk as
// the reference.
func Run(report *figure.Report) (err error) {
	fleet, err := small.Start(small.Settings{Kind: "order", Engines: 1, ZoneDelay: zoneDelay})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	booking := small.Target{URL: fleet.Entry.HTTP + "/services/desk/book", Body: "kit ", Keyed: true, Prefix: fmt.Sprintf("warm-%d-", report.Seed)}
	lookup := small.Target{URL: fleet.Entry.HTTP + "/services/desk/look", Body: "kit"}
	client := small.NewClient()
	small.Open(client, rate, warmUpDuration, booking, lookup)
	booking.Prefix = fmt.Sprintf("run-%d-", report.Seed)
	times := small.Open(client, rate, duration, booking, lookup)
	if failed := times[0].Failed + times[1].Failed; failed > 0 {
		return errors.Newf("%d requests failed, the first with: %v", failed, errors.CombineErrors(times[0].Err, times[1].Err))
	}
	added := func(percent float64) float64 {
		return float64((times[0].Percentile(percent) - times[1].Percentile(percent)).Microseconds()) / 1e3
	}
	report.Note("claim: a look-up takes p50 %s, p99 %s", times[1].Percentile(50), times[1].Percentile(99))
	report.Add("claim.addedP50", added(50), "ms")
	report.Add("claim.addedP99", added(99), "ms")
	return nil
}
