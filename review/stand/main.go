// Command stand plays the cases of the review. It starts the project's own programs as
// separate processes on loopback addresses and stands in for clients, engines, operators
// and the platform.
//
//	stand CASE PROGRAM RECORD
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playLimit bounds a case.
const playLimit = 115 * time.Second

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		return exitFailed
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := play(os.Args[1], os.Args[2], record)
	status := exitHeld
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		status = exitFailed
	case broken > 0:
		record.note("the rule was broken %d times", broken)
		status = exitBroken
	default:
		record.note("the rule held")
	}
	if err := record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return status
}

func play(name, program string, record *record) (int, error) {
	site, err := newSite(program, record)
	if err != nil {
		return 0, err
	}
	defer func() { site.close(os.Getenv("REVIEW_LOGS")) }()
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func() (int, error){
		"starved": func() (int, error) { return (&starved{site: site, record: record, trouble: trouble}).play(ctx) },
	}
	cases["poison"] = func() (int, error) { return (&poison{site: site, record: record, trouble: trouble}).play(ctx) }
	selected, ok := cases[name]
	if !ok {
		return 0, fmt.Errorf("there is no case %q", name)
	}
	return selected()
}
