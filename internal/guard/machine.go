package guard

import (
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/internal/opts"
)

// heldParts gives the part of the memory, 1/heldParts, that clients may make a process use.
// The rest is for the process itself, for garbage and for what the estimate of the cost of
// a request leaves out.
const heldParts = 4

const (
	// programBytes is the memory of the program itself, which the collector does not count.
	programBytes = 32 << 20
	// collectorParts gives the part of the rest, 1/collectorParts, that is left for what is
	// allocated while the collector runs.
	collectorParts = 4
)

// Machine returns the bounds that follow from the settings of a process and, where these
// say nothing, from its VM.
func Machine(node opts.Node) Settings {
	settings := Settings{Bytes: int64(node.MaxHeld), Descriptors: int(node.Descriptors)}
	if memory := Memory(node); memory > 0 {
		settings.Bytes = min(settings.Bytes, memory/heldParts)
	}
	var limit unix.Rlimit
	if settings.Descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		settings.Descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return settings
}

// LimitMemory lets the garbage collector run more often when the memory of the process
// becomes short. The variable GOMEMLIMIT goes before it.
func LimitMemory(node opts.Node) {
	memory := Memory(node) - programBytes
	if memory <= 0 || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	debug.SetMemoryLimit(memory - memory/collectorParts)
}

// maxDescriptors is the number of descriptors at which there is no limit in practice.
const maxDescriptors = 1 << 30

// Memory returns the memory of a process in bytes, or 0 if it is not known.
func Memory(node opts.Node) int64 {
	if node.MemoryMib > 0 {
		return int64(node.MemoryMib) << 20
	}
	var system unix.Sysinfo_t
	if unix.Sysinfo(&system) != nil {
		return 0
	}
	return int64(system.Totalram) * int64(system.Unit)
}
