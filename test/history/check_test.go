package history_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

const checkLimit = 2 * time.Minute

// violations returns all violations of the guarantees in a history.
func (history *history) violations() []string {
	var found []string
	for _, check := range []func() []string{
		history.checkChanges, history.checkResent, history.checkBookings, history.checkStreams, history.checkRevisions,
	} {
		found = append(found, check()...)
	}
	return found
}

// configurationModel is the sequential model of the configuration: an accepted
// change increments the revision, and a conditional change is accepted only at
// its revision.
func configurationModel(start uint64) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{start} },
		Step: func(state, input, _ any) []any {
			revision, command := state.(uint64), input.(change)
			applies := command.IfRevision == 0 || command.IfRevision == revision
			switch command.Outcome {
			case "accepted":
				if applies && command.Revision == revision+1 {
					return []any{revision + 1}
				}
			case "conflict":
				if !applies {
					return []any{revision}
				}
			case "unknown":
				if applies {
					return []any{revision, revision + 1}
				}
				return []any{revision}
			}
			return nil
		},
	}
	return model.ToModel()
}

func (history *history) checkChanges() []string {
	var operations []porcupine.Operation
	end := int64(0)
	for _, command := range history.Changes {
		end = max(end, command.Call, command.Return)
	}
	for at, command := range history.Changes {
		returned := command.Return
		if command.Outcome == "unknown" {
			// The command may still take effect at any later time.
			returned = end + 1
		}
		operations = append(operations, porcupine.Operation{ClientId: at, Input: command, Call: command.Call, Output: command, Return: returned})
	}
	for at, made := range history.Own {
		if !strings.HasPrefix(made.ID, "block") {
			return []string{fmt.Sprintf("nobody is known to have made revision %d: %s (%s)", made.Revision, made.Text, made.ID)}
		}
		// The time at which it was made is not recorded; the revision orders it.
		own := change{ID: made.ID, Revision: made.Revision, Outcome: "accepted"}
		operations = append(operations, porcupine.Operation{ClientId: len(history.Changes) + at, Input: own, Output: own, Return: end + 1})
	}
	switch porcupine.CheckOperationsTimeout(configurationModel(history.Start), operations, checkLimit) {
	case porcupine.Illegal:
		return []string{"the changes are not linearizable"}
	case porcupine.Unknown:
		return []string{"the check of the changes did not end in time"}
	default:
		return nil
	}
}

// checkResent compares the results of resent commands with the first results.
func (history *history) checkResent() []string {
	first := map[string]change{}
	for _, command := range history.Changes {
		first[command.ID] = command
	}
	var found []string
	for _, resent := range history.Resent {
		command := first[resent.ID]
		if command.Outcome == "unknown" || resent.Outcome == "unknown" {
			continue
		}
		if command.Outcome != resent.Outcome || command.Revision != resent.Revision {
			found = append(found, fmt.Sprintf("command %s was answered %s at %d, and %s at %d when sent again", command.ID, command.Outcome, command.Revision, resent.Outcome, resent.Revision))
		}
	}
	return found
}

// checkBookings checks that no booking ran twice, that all answers to a key are
// the same and its own, and that a booking did not run if every answer to its key
// was notRun.
func (history *history) checkBookings() []string {
	var found []string
	for body, count := range history.Booked {
		if count > 1 {
			found = append(found, fmt.Sprintf("%q was booked %d times", body, count))
		}
	}
	texts, allNotRun := map[string]string{}, map[string]bool{}
	for _, answer := range history.Bookings {
		earlier, exists := allNotRun[answer.Key]
		allNotRun[answer.Key] = answer.Outcome == "notRun" && (earlier || !exists)
		if answer.Status != 200 || answer.Outcome == "lost" {
			continue
		}
		if text, ok := texts[answer.Key]; ok && text != answer.Text {
			found = append(found, fmt.Sprintf("key %s has two answers", answer.Key))
		}
		texts[answer.Key] = answer.Text
		if history.Booked[answer.Body] == 0 || !strings.Contains(answer.Text, answer.Body) {
			found = append(found, fmt.Sprintf("key %s has an answer that is not its own: %s", answer.Key, answer.Text))
		}
	}
	for key, notRun := range allNotRun {
		if notRun && history.Booked["kit "+key] > 0 {
			found = append(found, fmt.Sprintf("every caller with key %s got notRun, but it ran", key))
		}
	}
	return found
}

func (history *history) checkStreams() []string {
	var found []string
	for _, answer := range history.Streams {
		switch {
		case answer.Outcome == "notRun" && history.Ran[answer.ID] > 0:
			found = append(found, fmt.Sprintf("request %s got notRun, but an engine ran it", answer.ID))
		case answer.Status == 200 && answer.Outcome == "" && !complete(answer):
			found = append(found, fmt.Sprintf("request %s has an answer that is incomplete or not its own: %s", answer.ID, answer.Text))
		}
	}
	return found
}

// complete checks an answer token by token. An answer that ends with an error
// event must be a prefix of the complete answer.
func complete(answer answer) bool {
	_, limit, _ := strings.Cut(answer.Body, `"max_tokens":`)
	count := 0
	if _, err := fmt.Sscanf(limit, "%d,", &count); err != nil {
		return false
	}
	events := strings.Split(strings.TrimSuffix(answer.Text, "\n\n"), "\n\n")
	last := events[len(events)-1]
	broken := strings.HasPrefix(last, "event: error")
	if !broken && (last != "data: [DONE]" || len(events) != count+1) {
		return false
	}
	for n, event := range events[:len(events)-1] {
		if !strings.Contains(event, fake.Token([]byte(answer.Body), n)) {
			return false
		}
	}
	return true
}

// checkRevisions checks that the revision of a process never decreases and that
// the content of a revision is the same on all processes.
func (history *history) checkRevisions() []string {
	var found []string
	type incarnation struct {
		node   string
		number int
	}
	newest, contents := map[incarnation]uint64{}, map[uint64]string{}
	for _, observed := range history.Observations {
		at := incarnation{observed.Node, observed.Incarnation}
		if observed.Revision < newest[at] {
			found = append(found, fmt.Sprintf("%s went back from revision %d to %d", observed.Node, newest[at], observed.Revision))
		}
		newest[at] = max(newest[at], observed.Revision)
		if content, ok := contents[observed.Revision]; ok && content != observed.Content {
			found = append(found, fmt.Sprintf("%s has other contents for revision %d", observed.Node, observed.Revision))
		}
		contents[observed.Revision] = observed.Content
	}
	return found
}
