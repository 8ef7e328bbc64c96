// Package envset reads settings from a file of NAME=value lines, where the names
// are those of the environment variables. A running process reloads the file
// when it changes.
package envset

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// watchInterval is the time between checks of the file, which may change
	// without a signal.
	watchInterval = 2 * clock.Second
	commentPrefix = "#"
)

// File is a settings file.
type File struct {
	path string

	// mu guards the fields below.
	mu     sync.Mutex
	text   []byte
	values map[string]string
	// exported holds the names that Export has set in the environment.
	exported map[string]bool
}

// Open reads a settings file.
func Open(path string) (*File, error) {
	file := &File{path: path}
	if _, err := file.Reload(); err != nil {
		return nil, err
	}
	return file, nil
}

// Reload reads the file again and reports whether it has changed. On an error
// the values are kept.
func (file *File) Reload() (bool, error) {
	text, err := os.ReadFile(file.path)
	if err != nil {
		return false, errors.Wrap(err, "settings file")
	}
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.values != nil && bytes.Equal(text, file.text) {
		return false, nil
	}
	values, err := parse(text)
	if err != nil {
		return false, errors.Wrapf(err, "settings file %s", file.path)
	}
	file.text, file.values = text, values
	return true, nil
}

func parse(text []byte) (map[string]string, error) {
	values := map[string]string{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, commentPrefix) {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok || !strings.HasPrefix(name, "HIB_") {
			return nil, errors.Newf("line %d is %q; allowed is HIB_NAME=value", number, line)
		}
		if value != "" {
			values[name] = value
		}
	}
	return values, lines.Err()
}

// List returns the elements of a comma-separated value, or nil if it is not set.
func (file *File) List(name string) []string {
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.values[name] == "" {
		return nil
	}
	return strings.Split(file.values[name], ",")
}

// Export sets the environment variables of the file that are not set yet.
func (file *File) Export() error {
	file.mu.Lock()
	defer file.mu.Unlock()
	for name, value := range file.values {
		if _, ok := os.LookupEnv(name); ok {
			continue
		}
		if err := os.Setenv(name, value); err != nil {
			return errors.Wrapf(err, "settings file %s: %s", file.path, name)
		}
		if file.exported == nil {
			file.exported = map[string]bool{}
		}
		file.exported[name] = true
	}
	return nil
}

// Withdraw removes a variable that Export has set from the environment, and
// reports whether there was one.
func (file *File) Withdraw(name string) (bool, error) {
	file.mu.Lock()
	defer file.mu.Unlock()
	if !file.exported[name] {
		return false, nil
	}
	delete(file.exported, name)
	return true, errors.Wrapf(os.Unsetenv(name), "settings file %s: %s", file.path, name)
}

// Watch reloads the file when it has changed and at each signal, until the
// context ends. It logs the first of consecutive failures.
func (file *File) Watch(ctx context.Context, signals <-chan os.Signal, ticker *clock.Clock, log *event.Log) {
	failing := false
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, watchInterval.Duration())
		cause := "changed"
		select {
		case <-signals:
			cause = "signal"
		case <-wait.Done():
		}
		cancel()
		changed, err := file.Reload()
		if changed || cause == "signal" && err == nil {
			log.Write(event.SettingsReloaded, "file", file.path, "cause", cause, "changed", changed, "at", ticker.Now())
		}
		if err != nil && !failing {
			log.Write(event.SettingsRefused, "file", file.path, "error", err)
		}
		failing = err != nil
	}
}
