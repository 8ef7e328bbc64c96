package feed

import (
	"time"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// watchdog calls a function when it is not reset within its timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
}

func newWatchdog(timeout clock.Millis, expired func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(timeout.Duration(), expired), timeout: timeout.Duration()}
}

func (guard *watchdog) reset() { guard.timer.Reset(guard.timeout) }

func (guard *watchdog) stop() { guard.timer.Stop() }
