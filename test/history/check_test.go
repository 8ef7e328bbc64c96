package history_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

const checkLimit = 2 * time.Minute

// violations returns everything in a history that the system must not do.
func (history *history) violations() []string {
	var found []string
	for _, check := range []func() []string{
		history.checkChanges, history.checkAgain, history.checkBookings, history.checkStreams, history.checkRevisions,
	} {
		found = append(found, check()...)
	}
	return found
}

// revisions is the model of the configuration: a change makes the next
// revision, a conditional one only at its revision.
func revisions(start uint64) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{start} },
		Step: func(state, input, _ any) []any {
			revision, made := state.(uint64), input.(change)
			fits := made.IfRevision == 0 || made.IfRevision == revision
			switch made.Outcome {
			case "accepted":
				if fits && made.Revision == revision+1 {
					return []any{revision + 1}
				}
			case "conflict":
				if !fits {
					return []any{revision}
				}
			case "unknown":
				if fits {
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
	for _, made := range history.Changes {
		end = max(end, made.Call, made.Return)
	}
	for at, made := range history.Changes {
		returned := made.Return
		if made.Outcome == "unknown" {
			// The command may still take effect at any later time.
			returned = end + 1
		}
		operations = append(operations, porcupine.Operation{ClientId: at, Input: made, Call: made.Call, Output: made, Return: returned})
	}
	switch porcupine.CheckOperationsTimeout(revisions(history.Start), operations, checkLimit) {
	case porcupine.Illegal:
		return []string{"the changes are not linearizable"}
	case porcupine.Unknown:
		return []string{"the check of the changes did not end in time"}
	default:
		return nil
	}
}

// checkAgain compares the answers to resent commands with the first ones.
func (history *history) checkAgain() []string {
	first := map[string]change{}
	for _, made := range history.Changes {
		first[made.ID] = made
	}
	var found []string
	for _, again := range history.Again {
		made := first[again.ID]
		if made.Outcome == "unknown" || again.Outcome == "unknown" {
			continue
		}
		if made.Outcome != again.Outcome || made.Revision != again.Revision {
			found = append(found, fmt.Sprintf("command %s was answered %s at %d, and %s at %d when sent again", made.ID, made.Outcome, made.Revision, again.Outcome, again.Revision))
		}
	}
	return found
}

func (history *history) checkBookings() []string {
	var found []string
	for body, count := range history.Booked {
		if count > 1 {
			found = append(found, fmt.Sprintf("%q was booked %d times", body, count))
		}
	}
	texts, denied := map[string]string{}, map[string]bool{}
	for _, heard := range history.Bookings {
		only, asked := denied[heard.Key]
		denied[heard.Key] = heard.Outcome == "notRun" && (only || !asked)
		if heard.Status != 200 || heard.Outcome == "lost" {
			continue
		}
		if text, ok := texts[heard.Key]; ok && text != heard.Text {
			found = append(found, fmt.Sprintf("key %s has two answers", heard.Key))
		}
		texts[heard.Key] = heard.Text
		if history.Booked[heard.Body] == 0 || !strings.Contains(heard.Text, heard.Body) {
			found = append(found, fmt.Sprintf("key %s has an answer that is not its own: %s", heard.Key, heard.Text))
		}
	}
	for key, only := range denied {
		if only && history.Booked["kit "+key] > 0 {
			found = append(found, fmt.Sprintf("every caller with key %s was told notRun, but it ran", key))
		}
	}
	return found
}

func (history *history) checkStreams() []string {
	var found []string
	for _, heard := range history.Streams {
		switch {
		case heard.Outcome == "notRun" && history.Ran[heard.ID] > 0:
			found = append(found, fmt.Sprintf("request %s was told notRun, but an engine ran it", heard.ID))
		case heard.Status == 200 && heard.Outcome == "" && !whole(heard):
			found = append(found, fmt.Sprintf("request %s has an answer that is not its own and whole: %s", heard.ID, heard.Text))
		}
	}
	return found
}

// whole compares an answer token by token. An answer that ends with an error
// event must be the start of the whole one.
func whole(heard answer) bool {
	_, limit, _ := strings.Cut(heard.Body, `"max_tokens":`)
	count := 0
	if _, err := fmt.Sscanf(limit, "%d,", &count); err != nil {
		return false
	}
	events := strings.Split(strings.TrimSuffix(heard.Text, "\n\n"), "\n\n")
	last := events[len(events)-1]
	broken := strings.HasPrefix(last, "event: error")
	if !broken && (last != "data: [DONE]" || len(events) != count+1) {
		return false
	}
	for n, event := range events[:len(events)-1] {
		if !strings.Contains(event, fake.Token([]byte(heard.Body), n)) {
			return false
		}
	}
	return true
}

// checkRevisions tells whether a process went back, or two processes had
// different contents for the same revision.
func (history *history) checkRevisions() []string {
	var found []string
	type life struct {
		node string
		life int
	}
	newest, contents := map[life]uint64{}, map[uint64]string{}
	for _, seen := range history.Seen {
		at := life{seen.Node, seen.Life}
		if seen.Revision < newest[at] {
			found = append(found, fmt.Sprintf("%s went back from revision %d to %d", seen.Node, newest[at], seen.Revision))
		}
		newest[at] = max(newest[at], seen.Revision)
		if content, ok := contents[seen.Revision]; ok && content != seen.Content {
			found = append(found, fmt.Sprintf("%s has other contents for revision %d", seen.Node, seen.Revision))
		}
		contents[seen.Revision] = seen.Content
	}
	return found
}
