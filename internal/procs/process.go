// Package procs starts real processes of the system for tests and benchmarks.
// Processes listen on free ports, so that tests can run in parallel.
package procs

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

const (
	readyLimit = 20 * time.Second
	stopLimit  = 40 * time.Second
	// readyWord begins the line that a process prints once it accepts requests.
	readyWord = "ready"
)

// Process is a started process.
type Process struct {
	Name string
	// Address is the address for other processes or, for a process that only
	// serves HTTP, its base URL.
	Address string
	// HTTP is the base URL of an entry VM for callers.
	HTTP    string
	command *exec.Cmd
	done    chan error
	log     *output
	// rest reads the output after the ready line.
	rest conc.WaitGroup
}

// output collects the output of a process.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the output.
func (log *output) Write(data []byte) (int, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.text.Write(data)
}

// Binary returns the path of a program in bin, where `make build` puts it.
func Binary(name string) string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..", "bin", name)
}

// Start starts a program and waits for its ready line.
func Start(name, program string, arguments ...string) (*Process, error) {
	process, ready, err := run(name, Binary(program), arguments)
	if err != nil {
		return nil, err
	}
	select {
	case line := <-ready:
		return process, process.parse(line)
	case <-time.After(readyLimit):
		return nil, errors.CombineErrors(errors.Newf("%s is not ready after %s", name, readyLimit), process.Kill())
	}
}

// StartFull starts a program that can write no file until FreeDisk, and does not wait for its
// ready line.
func StartFull(name, program string, arguments ...string) (*Process, error) {
	process, _, err := run(name, "/bin/sh", append([]string{"-c", `ulimit -S -f 0 && exec "$0" "$@"`, Binary(program)}, arguments...))
	return process, err
}

// run starts a program. The channel returns its ready line or, if it ends before that, its
// last line.
func run(name, path string, arguments []string) (*Process, <-chan string, error) {
	command := exec.CommandContext(context.Background(), path, arguments...)
	process := &Process{Name: name, command: command, done: make(chan error, 1), log: &output{}}
	command.Stderr = process.log
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := command.Start(); err != nil {
		return nil, nil, errors.Wrapf(err, "start %s (run make build first)", name)
	}
	ready := make(chan string, 1)
	go func() {
		ready <- process.follow(bufio.NewReader(out))
		process.rest.Wait()
		process.done <- command.Wait()
	}()
	return process, ready, nil
}

// FillDisk makes the writes of the process fail that end behind an offset in a file, in bytes,
// as on a full disk; 0 fails all. Its output and its connections are not affected.
func (process *Process) FillDisk(offset uint64) error { return process.limitFiles(offset) }

// FreeDisk ends the effect of FillDisk.
func (process *Process) FreeDisk() error { return process.limitFiles(unix.RLIM_INFINITY) }

// limitFiles sets the soft limit of the size of files, in bytes.
func (process *Process) limitFiles(size uint64) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(process.ID(), unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return errors.Wrapf(err, "read the limits of %s", process.Name)
	}
	limit.Cur = size
	return errors.Wrapf(unix.Prlimit(process.ID(), unix.RLIMIT_FSIZE, &limit, nil), "limit the files of %s", process.Name)
}

// PeakMemory returns the largest resident memory of the process so far, in MiB.
func (process *Process) PeakMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.ID()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kibibytes, err := strconv.Atoi(strings.Fields(value)[0])
			return kibibytes >> 10, err
		}
	}
	return 0, errors.Newf("the system tells no peak of the resident memory of %s", process.Name)
}

// follow returns the ready line of standard output or, if the output ends before
// it, the last line. It collects all other output, in the background once the
// ready line has been read.
func (process *Process) follow(reader *bufio.Reader) string {
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, readyWord) || err != nil {
			process.rest.Go(func() {
				// The copy ends when the process exits.
				_, _ = io.Copy(process.log, reader)
			})
			return line
		}
		// Writing to an output cannot fail.
		_, _ = process.log.Write([]byte(line))
	}
}

func (process *Process) parse(line string) error {
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != readyWord {
		return errors.Newf("%s did not start: %s", process.Name, process.Log())
	}
	process.Address = words[1]
	if len(words) > 2 {
		process.HTTP = "http://" + words[2]
	}
	return nil
}

// Log returns the output of the process so far, without the ready line.
func (process *Process) Log() string {
	process.log.mu.Lock()
	defer process.log.mu.Unlock()
	return process.log.text.String()
}

// Signal sends a signal to the process.
func (process *Process) Signal(signal syscall.Signal) error {
	return process.command.Process.Signal(signal)
}

// Pause sends SIGSTOP and waits until no thread of the process runs any more, which takes
// some milliseconds on a busy machine.
func (process *Process) Pause() error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(stopLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if paused, err := process.isPaused(); paused || err != nil {
			return err
		}
	}
	return errors.Newf("%s did not pause within %s", process.Name, stopLimit)
}

// isPaused reports whether all threads of the process are stopped.
func (process *Process) isPaused() (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", process.ID()))
	if err != nil {
		return false, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return false, err
		}
		// The state follows the name, which is in parentheses.
		if state := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))[0]; state != "T" {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Stop sends SIGTERM and waits for the process to exit. After stopLimit it kills
// the process and returns an error.
func (process *Process) Stop() error {
	if err := process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case err := <-process.done:
		process.done <- err
		return err
	case <-time.After(stopLimit):
		return errors.CombineErrors(errors.Newf("%s did not stop within %s", process.Name, stopLimit), process.Kill())
	}
}

// Kill kills the process and waits for it to exit.
func (process *Process) Kill() error {
	if err := process.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	process.done <- <-process.done
	return nil
}
