// Package clock provides the time type and the clock of the project. Decision
// logic takes instants as arguments; only code that does I/O reads a Clock.
package clock

import (
	"context"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Millis is an instant, counted from the Unix epoch, or a duration, in
// milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a duration to the standard library's type.
func (span Millis) Duration() time.Duration {
	return time.Duration(span) * time.Millisecond
}

// String formats a duration in Go's duration format.
func (span Millis) String() string {
	return span.Duration().String()
}

// exponentForm matches a number with an exponent and its unit, which
// time.ParseDuration does not accept.
var exponentForm = regexp.MustCompile(`^([+-]?[0-9.]+[eE][+-]?[0-9]{1,4})(ms|s|m|h)$`)

// UnmarshalFlag parses a duration such as "250ms", "2.5s" or "2.5e+03ms" from a
// flag.
func (span *Millis) UnmarshalFlag(text string) error {
	if parts := exponentForm.FindStringSubmatch(text); parts != nil {
		if number, err := strconv.ParseFloat(parts[1], 64); err == nil {
			text = strconv.FormatFloat(number, 'f', -1, 64) + parts[2]
		}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("%q is not a duration such as 250ms or 3s", text)
	}
	*span = Millis(parsed.Milliseconds())
	return nil
}

// MarshalFlag formats a duration for help texts.
func (span Millis) MarshalFlag() (string, error) {
	return span.String(), nil
}

// Clock returns the current time and sleeps. The zero value is not usable; see
// NewSystem and NewManual.
type Clock struct {
	// base is the wall clock time and start the time since boot at the creation of
	// the clock. Time is monotonic from then on: steps of the wall clock are ignored.
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

// NewSystem returns a clock that advances with the time since the machine's
// boot. That includes the time for which the machine was suspended, so that a
// lease which expired meanwhile counts as expired.
func NewSystem() *Clock {
	return &Clock{base: Millis(time.Now().UnixMilli()), start: sinceBoot()}
}

func sinceBoot() Millis {
	var now unix.Timespec
	// The call fails only for a clock that the kernel lacks. Every kernel that Go
	// supports has this clock.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}

// NewManual returns a clock for tests whose time changes only by Advance.
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

// Advance advances a manual clock and wakes the sleepers whose wake time has been
// reached.
func (clock *Clock) Advance(span Millis) {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	clock.instant += span
	remaining := clock.waiters[:0]
	for _, sleeper := range clock.waiters {
		if sleeper.at > clock.instant {
			remaining = append(remaining, sleeper)
			continue
		}
		close(sleeper.done)
	}
	clock.waiters = remaining
}

// Sleep waits for a duration, or returns the context's error if the context ends
// first.
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
