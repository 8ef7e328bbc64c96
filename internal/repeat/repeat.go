// Package repeat infers how long callers have waited in earlier attempts of their
// requests. It does no I/O and reads no clock. The gateway process uses it.
//
// A request states only the time that its caller still waits. Callers of a route
// state the same time in their first attempts, so what is missing to the longest
// time stated lately was used by an earlier attempt. The timeout of the route does
// not show it: operators change it while callers keep theirs.
package repeat

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// window is the time after which the longest wait is forgotten, at the latest after
// two windows.
const window = 20 * clock.Second

// Waits holds the longest waits that the callers of a route stated lately. It is an
// immutable value; the zero value takes every caller for a new one.
type Waits struct {
	// number is the number of the current window, longest and previous are the longest
	// waits in it and in the one before.
	number            clock.Millis
	longest, previous clock.Millis
}

// With returns the waits with that of another caller; 0 for one that stated none.
func (waits Waits) With(now, stated clock.Millis) Waits {
	switch number := now / window; number {
	case waits.number:
	case waits.number + 1:
		waits.number, waits.previous, waits.longest = number, waits.longest, 0
	default:
		waits.number, waits.previous, waits.longest = number, 0, 0
	}
	waits.longest = max(waits.longest, stated)
	return waits
}

// Used returns how long a caller has waited before, given the time that it states;
// 0 for one that states none.
func (waits Waits) Used(stated clock.Millis) clock.Millis {
	if stated <= 0 {
		return 0
	}
	return max(waits.longest, waits.previous, stated) - stated
}
