// Command drive runs one case of the review: it starts the project's own programs as
// separate processes on loopback addresses, plays the operator, the clients and the
// engines, and judges what they saw. Exit status 1 means that the rule was broken, 0 that
// it held, 2 that the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held    = 0
	broken  = 1
	noCase  = 2
	maxTime = 115 * time.Second
)

// cases holds the cases by name; some are played in several deployments.
var cases = map[string]func(*system, bool) (int, error){
	"second-group":  secondGroup,
	"other-writer":  otherWriter,
	"revoked-key":   inTurn(3, revokedKey),
	"lost-majority": inTurn(4, lostMajority),
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD; the cases are second-group, other-writer, revoked-key and lost-majority")
		os.Exit(noCase)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCase
	}
	defer func() { _ = record.Close() }()
	started, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCase
	}
	defer started.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		status int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		status, err := cases[name](started, os.Getenv("TROUBLE") != "0")
		done <- outcome{status, err}
	}()
	select {
	case result := <-done:
		if result.err != nil {
			started.note("the case could not run: %v", result.err)
			return noCase
		}
		started.note("exit status %d", result.status)
		return result.status
	case <-time.After(maxTime):
		started.note("the case took more than %s", maxTime)
	case <-ended:
		started.note("interrupted")
	}
	return noCase
}
