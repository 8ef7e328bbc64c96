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

func newWatchdog(span clock.Millis, bark func()) *watchdog {
	return &watchdog{timer: time.AfterFunc(span.Duration(), bark), span: span.Duration()}
}

func (dog *watchdog) reset() { dog.timer.Reset(dog.span) }

func (dog *watchdog) stop() { dog.timer.Stop() }
