package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// catchUp is the time for which a machine counts as lost after it is back, and a removed
	// one after its successor has started.
	catchUp = 4000 * time.Millisecond
	// successorAfter is the time from the loss of a machine to the start of its successor.
	successorAfter = time.Second
	// killBefore is the time from the end of the other processes to the start of the
	// successor, and backAfter that to their own start.
	killBefore = 50 * time.Millisecond
	backAfter  = 800 * time.Millisecond
	// readTime is how long the operator asks for the configuration at the end; the rules ask
	// for recoveryS (12 s) at most.
	readTime = 25 * time.Second
)

// lose takes a machine away for good. Its address gives no answer from then on.
func (system *system) lose(machine *machine) error {
	system.note("%s is gone for good", machine.name)
	return machine.command.Process.Signal(syscall.SIGSTOP)
}

// successor starts an empty machine with another address.
func (system *system) successor(number int) error {
	return system.start(system.addControl(number), false)
}

// kill ends the processes of machines at the same moment.
func (system *system) kill(machines []*machine) error {
	system.note("the processes of %d control machines are killed", len(machines))
	for _, machine := range machines {
		if err := machine.command.Process.Kill(); err != nil {
			return err
		}
	}
	for _, machine := range machines {
		<-machine.ended
	}
	return nil
}

// inTurn plays a case in several deployments and ends with the first in which the rule was
// broken.
func inTurn(rounds int, play func(*system, bool) (int, error)) func(*system, bool) (int, error) {
	return func(first *system, trouble bool) (int, error) {
		for round := range rounds {
			system, err := newSystem(first.record)
			if err != nil {
				return noCase, err
			}
			system.network = (first.network+round)%250 + 1
			first.parts = append(first.parts, system)
			system.note("deployment %d", round+1)
			status, err := play(system, trouble)
			system.stop()
			if err != nil || status != held {
				return status, err
			}
		}
		return held, nil
	}
}

// lostMajority replaces one control machine and then another. After the loss of the first, all
// processes that serve control are killed and are back within a second. It judges whether
// the configuration that was acknowledged is read back at the end.
func lostMajority(system *system, trouble bool) (int, error) {
	if err := system.begin(1); err != nil {
		return noCase, err
	}
	const key = "n2ctnfzs989anu6wsjnb"
	if err := system.put(config(3, tenant(key), route("r-1", "/lohu930/", "idempotent")), system.controls); err != nil {
		return noCase, err
	}
	if err := system.awaitReady(); err != nil {
		return noCase, err
	}
	time.Sleep(4 * time.Second)
	others := system.controls[1:3]
	if err := system.lose(system.controls[0]); err != nil {
		return noCase, err
	}
	lost := time.Now()
	time.Sleep(successorAfter - killBefore)
	if trouble {
		if err := system.kill(others); err != nil {
			return noCase, err
		}
	}
	killed := time.Now()
	time.Sleep(time.Until(lost.Add(successorAfter)))
	if err := system.successor(4); err != nil {
		return noCase, err
	}
	if trouble {
		time.Sleep(time.Until(killed.Add(backAfter)))
		for _, machine := range others {
			if err := system.start(machine, false); err != nil {
				return noCase, err
			}
		}
		system.note("all are back after %s", time.Since(killed))
	}
	back := time.Now()
	time.Sleep(time.Until(back.Add(catchUp)))
	system.note("no machine counts as lost any more: all have run for %s", time.Since(back))
	if err := system.lose(others[0]); err != nil {
		return noCase, err
	}
	time.Sleep(successorAfter)
	// The list from which seeds are taken lags by 3 s: the first machine has left it.
	system.seeds = nil
	for _, machine := range system.controls[1:4] {
		system.seeds = append(system.seeds, fmt.Sprintf("%s:%d", machine.ip, system.api))
	}
	if err := system.successor(5); err != nil {
		return noCase, err
	}
	return system.judgeReadBack(3, key)
}

// judgeReadBack reads the configuration at the control machines that run, until one answers
// with the version.
func (system *system) judgeReadBack(version uint64, key string) (int, error) {
	running := system.controls[2:]
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(time.Second) {
		for _, control := range running {
			if system.version(control) == version {
				return held, nil
			}
		}
	}
	system.request(system.gateways[0], http.MethodGet, "/lohu930/2f", key)
	system.note("BROKEN: no control machine has answered a read of the configuration for %s, with %d of them running", readTime, len(running))
	return broken, nil
}
