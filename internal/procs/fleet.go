// Package procs starts real processes of the system for tests and benchmarks.
// Ports are chosen by the system, so that tests can run side by side.
package procs

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	readyLimit = 20 * time.Second
	stopLimit  = 40 * time.Second
	// readyWord begins the line that a process writes once it serves.
	readyWord = "ready"
)

// Process is a started process.
type Process struct {
	Name string
	// Address is for other processes, or for HTTP where the process has only that.
	Address string
	// HTTP is an entry VM's address for callers.
	HTTP    string
	command *exec.Cmd
	done    chan error
	log     *tail
	// rest reads the output behind the ready line.
	rest conc.WaitGroup
}

// tail keeps what a process wrote.
type tail struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write keeps a piece of log.
func (log *tail) Write(piece []byte) (int, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.text.Write(piece)
}

// Binary returns the path of a program that `make build` left in bin.
func Binary(name string) string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..", "bin", name)
}

// Start runs a program and waits for its ready line.
func Start(name, program string, arguments ...string) (*Process, error) {
	command := exec.CommandContext(context.Background(), Binary(program), arguments...)
	process := &Process{Name: name, command: command, done: make(chan error, 1), log: &tail{}}
	command.Stderr = process.log
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s (run make build first)", name)
	}
	ready := make(chan string, 1)
	go func() {
		ready <- process.follow(bufio.NewReader(out))
		process.rest.Wait()
		process.done <- command.Wait()
	}()
	select {
	case line := <-ready:
		return process, process.parse(line)
	case <-time.After(readyLimit):
		return nil, errors.CombineErrors(errors.Newf("%s is not ready after %s", name, readyLimit), process.Kill())
	}
}

// follow keeps what the process writes to standard output, and returns its ready
// line; log lines may come before it.
func (process *Process) follow(reader *bufio.Reader) string {
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, readyWord) || err != nil {
			process.rest.Go(func() {
				// The end of the process ends its output.
				_, _ = io.Copy(process.log, reader)
			})
			return line
		}
		// A tail takes every write.
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

// Log returns what the process wrote.
func (process *Process) Log() string {
	process.log.mu.Lock()
	defer process.log.mu.Unlock()
	return process.log.text.String()
}

// Signal sends a signal such as SIGSTOP.
func (process *Process) Signal(signal syscall.Signal) error {
	return process.command.Process.Signal(signal)
}

// Stop ends the process gracefully and waits for it.
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

// Kill ends the process at once and waits for it.
func (process *Process) Kill() error {
	if err := process.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	process.done <- <-process.done
	return nil
}
