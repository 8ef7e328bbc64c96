package quorum_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// changeRetry is the time after which a control VM offers a change to the leader again.
	changeRetry = 20 * clock.Millis(1)
	// answerLimit is the time in which an operator's change must be accepted while no more
	// than one disk is full: the users' bound for acks.
	answerLimit = 4 * clock.Second
)

// change is an operator's change, which is offered to the leader until it is committed.
type change struct {
	number int
	// index and term are those of its entry in the log; 0 if no leader has accepted it.
	index, term uint64
}

func (change change) WithIndex(index, term uint64) change {
	change.index, change.term = index, term
	return change
}

// isCommitted reports whether a leader has committed the change. Of several leaders only one
// can commit in its term.
func (group *group) isCommitted() bool {
	for _, each := range group.voters {
		status := each.core.Status()
		if !each.isGone && status.Role == quorum.Leader && status.Term == group.change.term && status.Commit >= group.change.index {
			return group.change.index > 0
		}
	}
	return false
}

// offer proposes the change to each leader that has not accepted it.
func (group *group) offer() {
	for _, each := range group.voters {
		status := each.core.Status()
		if each.isGone || status.Role != quorum.Leader || status.Term == group.change.term {
			continue
		}
		body := &wire.Entry_Change{Change: &wire.Change{CommandId: fmt.Sprint(group.change.number)}}
		group.feed(each, quorum.Propose{ID: uint64(group.change.number), Entries: []*wire.Entry{{Body: body}}})
	}
}

// answer sends a change and waits until it is committed.
func (group *group) answer(limit clock.Millis) error {
	group.change = change{number: group.change.number + 1}
	end := group.now + limit
	for group.now < end {
		group.offer()
		if group.runUntil(changeRetry, group.isCommitted) {
			return nil
		}
	}
	return fmt.Errorf("change %d is not accepted after %s", group.change.number, limit)
}

// doDisk runs a step about full disks, and changes beside them.
func (places *places) doDisk(step placeStep) error {
	switch step.Do {
	case "full", "room":
		for _, each := range places.voters {
			if slices.Contains(step.On, each.name) {
				each.isFull = step.Do == "full"
			}
		}
	case "sentWithin":
		if places.oldest > step.For {
			return fmt.Errorf("a message was sent %s after it was made", places.oldest)
		}
	case "level":
		if !places.runUntil(step.For, places.isLevel) {
			return fmt.Errorf("not all voters have applied all changes after %s", step.For)
		}
	case "changes":
		return places.answerUntil(places.now + step.For)
	case "fullNext":
		return places.fillNext(step.For)
	case "change":
		return places.answer(step.For)
	case "fullInTurn":
		return places.fillInTurn(step)
	default:
		Fail("no step " + step.Do)
	}
	return nil
}

// fillNext has the leader hand over, and fills the disk of the next one when it is elected.
func (places *places) fillNext(limit clock.Millis) error {
	if leader := places.leader(); leader != nil {
		places.feed(leader, quorum.Resign{})
	}
	if !places.runUntil(limit, func() bool { return places.leader() != nil }) {
		return fmt.Errorf("no next leader after %s", limit)
	}
	places.leader().isFull = true
	return nil
}

// answerUntil sends changes until a time.
func (places *places) answerUntil(end clock.Millis) error {
	for places.now < end {
		if err := places.answer(answerLimit); err != nil {
			return err
		}
		places.pass(places.between([2]int64{0, 500}))
	}
	return nil
}

// isLevel reports whether all voters that run have applied what the leader has committed.
func (places *places) isLevel() bool {
	leader := places.leader()
	if leader == nil {
		return false
	}
	status := leader.core.Status()
	return status.Commit == status.Last && !slices.ContainsFunc(places.voters, func(each *voter) bool {
		return !each.isGone && each.core.Status().Role != quorum.Learner && each.applied < status.Commit
	})
}

// pass lets time pass.
func (group *group) pass(time clock.Millis) {
	group.runUntil(time, func() bool { return false })
}

// fillInTurn fills the disks of the listed VMs, drawn by lot and never two at once, for a time
// below 6 s each, and sends changes meanwhile. Some of these VMs are restarted while full.
func (places *places) fillInTurn(step placeStep) error {
	for end := places.now + step.For; places.now < end; {
		listed := slices.DeleteFunc(slices.Clone(places.voters), func(each *voter) bool {
			return each.isGone || !slices.Contains(step.On, each.name)
		})
		full := listed[places.random.IntN(len(listed))]
		if leader := places.leader(); leader != nil && places.random.IntN(2) == 0 {
			full = leader
		}
		full.isFull = true
		until := places.now + places.between([2]int64{400, 5900})
		restarts := places.random.IntN(3) == 0
		for places.now < until {
			if restarts && places.random.IntN(4) == 0 {
				places.stop([]string{full.name})
				places.pass(places.between([2]int64{50, 1000}))
				places.start([]string{full.name}, false)
				full = places.voters[slices.IndexFunc(places.voters, func(each *voter) bool { return each.name == full.name })]
			}
			if err := places.answer(answerLimit); err != nil {
				return fmt.Errorf("disk of %s is full: %w", full.name, err)
			}
			places.pass(places.between([2]int64{0, 500}))
		}
		full.isFull = false
		places.pass(places.between([2]int64{50, 3500}))
		if err := places.answer(answerLimit); err != nil {
			return fmt.Errorf("disk of %s has room again: %w", full.name, err)
		}
	}
	return nil
}
