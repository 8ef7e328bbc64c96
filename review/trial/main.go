// Command trial plays one case of the third review: it starts the project's own programs
// as separate processes on loopback addresses, serves stand-ins for engines, clients and
// the operator, and checks one rule by what these see.
//
//	trial CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// trialLimit ends a case that hangs.
	trialLimit = 110 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// play runs a case on a fleet that it builds.
type play func(fleet *fleet, trouble bool) (verdict, error)

var plays = map[string]play{"crash": playCrash, "dark": playDark, "leave": playLeave, "refusal": playRefusal, "late": playLate}

func main() {
	os.Exit(runMain())
}

func runMain() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	result, err := runCase(os.Args[1], os.Args[2], trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	fmt.Println(result.summary)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}

// runCase plays a case and ends all that it started.
func runCase(name, folder string, trouble bool) (result verdict, err error) {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return verdict{}, err
	}
	fleet, err := newFleet(record)
	if err != nil {
		return verdict{}, errors.CombineErrors(err, record.close())
	}
	defer func() {
		fleet.close()
		record.note("verdict broken=%t error=%v %s", result.broken, err, result.summary)
		err = errors.CombineErrors(err, record.close())
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		record.note("case %s trouble=%t", name, trouble)
		result, err = plays[name](fleet, trouble)
	}()
	select {
	case <-done:
		return result, err
	case <-ended:
		return verdict{}, errors.New("the case was interrupted")
	case <-time.After(trialLimit):
		return verdict{}, errors.Newf("the case took longer than %s", trialLimit)
	}
}
