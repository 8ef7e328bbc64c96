// Package bounds validates settings. Each error names the setting, its value,
// the allowed range and the unit.
package bounds

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Required returns an error if a text setting is empty.
func Required(name, value string) error {
	if value == "" {
		return errors.Newf("setting --%s is required but empty", name)
	}
	return nil
}

// RequiredList returns an error if a list setting has no element.
func RequiredList(name string, value []string) error {
	if len(value) == 0 {
		return errors.Newf("setting --%s needs at least one value", name)
	}
	return nil
}

// Int returns a SettingError if an integer is out of range.
func Int(name string, value, low, high int, unit string) error {
	if value < low || value > high {
		return refuse(name, "is %d; allowed are %s", value, strings.TrimSpace(fmt.Sprintf("%d to %d %s", low, high, unit)))
	}
	return nil
}

// Float returns a SettingError if a number is out of range or NaN.
func Float(name string, value, low, high float64, unit string) error {
	if !(value >= low && value <= high) {
		return refuse(name, "is %g; allowed are %s", value, strings.TrimSpace(fmt.Sprintf("%g to %g %s", low, high, unit)))
	}
	return nil
}

// Span returns a SettingError if a duration is out of range. The bounds are in Go's
// duration format.
func Span(name string, value clock.Millis, low, high string) error {
	minimum, err := time.ParseDuration(low)
	if err != nil {
		return errors.Wrapf(err, "lower bound of --%s", name)
	}
	maximum, err := time.ParseDuration(high)
	if err != nil {
		return errors.Wrapf(err, "upper bound of --%s", name)
	}
	if value.Duration() < minimum || value.Duration() > maximum {
		return refuse(name, "is %s; allowed are %s to %s", value, low, high)
	}
	return nil
}

// First returns the first error that is not nil, or nil.
func First(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// Address returns an error unless value is IP:port to connect to. Port 0 is
// refused: it is valid only for listening, where the system chooses the port.
func Address(name, value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return errors.Newf("setting --%s is %q; allowed is IP:port with a port of 1 to 65535, such as 127.0.0.1:7000", name, value)
	}
	return nil
}

// Listen returns an error unless value is IP:port to listen on. With port 0 the
// system chooses the port.
func Listen(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.Newf("setting --%s is %q; allowed is IP:port with a port of 0 to 65535, such as 127.0.0.1:7000", name, value)
	}
	return nil
}

// Addresses returns an error for the first element that Address refuses.
func Addresses(name string, values []string) error {
	for _, value := range values {
		if err := Address(name, value); err != nil {
			return err
		}
	}
	return nil
}

// Members returns an error for the first element that is not NAME@IP:port.
func Members(name string, values []string) error {
	for _, value := range values {
		member, address, ok := strings.Cut(value, "@")
		if _, err := netip.ParseAddrPort(address); !ok || member == "" || err != nil {
			return errors.Newf("setting --%s is %q; allowed is NAME@IP:port, such as control1@127.0.0.1:7100", name, value)
		}
	}
	return nil
}

// Optional runs a check unless the value is empty.
func Optional(check func(name, value string) error, name, value string) error {
	if value == "" {
		return nil
	}
	return check(name, value)
}
