// Package clock holds the project's one time type. Decision code takes
// instants as arguments; only code at the edge reads a Clock.
package clock

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Millis is an instant since the Unix epoch, or a span, in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a span for the standard library.
func (span Millis) Duration() time.Duration {
	return time.Duration(span) * time.Millisecond
}

// String prints the span in Go's duration format.
func (span Millis) String() string {
	return span.Duration().String()
}

// UnmarshalFlag reads a span such as "250ms" or "3s" from a flag.
func (span *Millis) UnmarshalFlag(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("%q is not a duration such as 250ms or 3s", text)
	}
	*span = Millis(parsed.Milliseconds())
	return nil
}

// MarshalFlag prints the span for help pages.
func (span Millis) MarshalFlag() (string, error) {
	return span.String(), nil
}

// Clock tells the time. The zero value is not usable; see NewSystem and NewManual.
type Clock struct {
	// base and start keep system time monotonic: later wall clock steps are ignored.
	base  Millis
	start Millis

	// mu guards the fields of a manual clock.
	mu      sync.Mutex
	manual  bool
	instant Millis
	waiters []waiter
}

type waiter struct {
	at   Millis
	done chan struct{}
}

// NewSystem returns a clock that follows the time since the machine's boot. It
// counts the time for which the machine was suspended, so a lease that ran out
// meanwhile is seen to have ended.
func NewSystem() *Clock {
	return &Clock{base: Millis(time.Now().UnixMilli()), start: sinceBoot()}
}

func sinceBoot() Millis {
	var now unix.Timespec
	// The call fails only for a clock that the kernel does not have; every
	// kernel that Go supports has this one.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}

// NewManual returns a clock that moves only by Advance.
func NewManual(start Millis) *Clock {
	return &Clock{manual: true, instant: start}
}

// Now returns the current instant.
func (clock *Clock) Now() Millis {
	if !clock.manual {
		return clock.base + sinceBoot() - clock.start
	}
	clock.mu.Lock()
	defer clock.mu.Unlock()
	return clock.instant
}

// Advance moves a manual clock and wakes the sleepers whose time has come.
func (clock *Clock) Advance(span Millis) {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.instant += span
	kept := clock.waiters[:0]
	for _, sleeper := range clock.waiters {
		if sleeper.at > clock.instant {
			kept = append(kept, sleeper)
			continue
		}
		close(sleeper.done)
	}
	clock.waiters = kept
}

// Sleep waits for a span, or returns the context's error if that ends first.
func (clock *Clock) Sleep(ctx context.Context, span Millis) error {
	if clock.manual {
		return clock.sleepManual(ctx, span)
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (clock *Clock) sleepManual(ctx context.Context, span Millis) error {
	clock.mu.Lock()
	sleeper := waiter{at: clock.instant + span, done: make(chan struct{})}
	clock.waiters = append(clock.waiters, sleeper)
	clock.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-sleeper.done:
		return nil
	}
}
