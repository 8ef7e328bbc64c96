package procs

import (
	"context"
	"net"
)

// FreeAddress returns a loopback address that was free a moment ago, for
// settings whose port must be known before the process runs.
func FreeAddress() (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// ID returns the process id, for measurements.
func (process *Process) ID() int { return process.command.Process.Pid }
