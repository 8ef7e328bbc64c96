// Package bounds checks settings. Each error names the setting, its value, the
// allowed range and the unit.
package bounds

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Required reports a text setting that is empty.
func Required(name, value string) error {
	if value == "" {
		return errors.Newf("setting --%s is required but empty", name)
	}
	return nil
}

// RequiredList reports a list setting without an element.
func RequiredList(name string, value []string) error {
	if len(value) == 0 {
		return errors.Newf("setting --%s needs at least one value", name)
	}
	return nil
}

// Int reports a number out of range.
func Int(name string, value, low, high int, unit string) error {
	if value < low || value > high {
		return errors.Newf("setting --%s is %d; allowed are %d to %d %s", name, value, low, high, unit)
	}
	return nil
}

// Float reports a number out of range.
func Float(name string, value, low, high float64, unit string) error {
	if value < low || value > high {
		return errors.Newf("setting --%s is %g; allowed are %g to %g %s", name, value, low, high, unit)
	}
	return nil
}

// Span reports a duration out of range. The bounds are in Go's duration format.
func Span(name string, value clock.Millis, low, high string) error {
	least, err := time.ParseDuration(low)
	if err != nil {
		return errors.Wrapf(err, "lower bound of --%s", name)
	}
	most, err := time.ParseDuration(high)
	if err != nil {
		return errors.Wrapf(err, "upper bound of --%s", name)
	}
	if value.Duration() < least || value.Duration() > most {
		return errors.Newf("setting --%s is %s; allowed are %s to %s", name, value, low, high)
	}
	return nil
}

// First returns the first error among checks.
func First(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
