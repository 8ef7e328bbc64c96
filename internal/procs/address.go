package procs

import (
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
)

// FreeAddress returns a loopback address that was free at the time of the call,
// for processes whose port must be known before they start.
func FreeAddress() (string, error) {
	listener, err := ports.Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// ID returns the process id.
func (process *Process) ID() int { return process.command.Process.Pid }
