package procs

// FreeAddress returns a loopback address that was free a moment ago, for
// settings whose port must be known before the process runs.
func FreeAddress() (string, error) { return freeAddress() }

// ID returns the process id, for measurements.
func (process *Process) ID() int { return process.command.Process.Pid }
