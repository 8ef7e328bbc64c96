package procs

import (
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
)

// FreeAddress returns a loopback address that was free a moment ago, for
// settings whose port must be known before the process runs.
func FreeAddress() (string, error) {
	listener, err := ports.Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// ID returns the process id, for measurements.
func (process *Process) ID() int { return process.command.Process.Pid }
