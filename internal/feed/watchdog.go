package feed

import (
	"time"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// watchdog calls a function when it was not reset for a while.
type watchdog struct {
	timer *time.Timer
	span  time.Duration
}

func newWatchdog(span clock.Millis, expired func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(span.Duration(), expired), span: span.Duration()}
}

func (guard *watchdog) reset() { guard.timer.Reset(guard.span) }

func (guard *watchdog) stop() { guard.timer.Stop() }
