package state

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Recent is a list of the latest changes, oldest first. It must not be modified.
type Recent []*wire.Numbered

// With returns the list with one more change and without changes that are too old.
// Only the newest deployment keeps its document, because a reader that applies an
// earlier deployment applies the newest one as well.
func (recent Recent) With(numbered *wire.Numbered) Recent {
	_, isDeployment := numbered.GetChange().GetBody().(*wire.Change_Deployment)
	switch {
	case isDeployment:
		next := make(Recent, 0, min(len(recent), keptChanges)+1)
		for _, old := range recent[max(len(recent)-keptChanges, 0):] {
			next = append(next, withoutDocument(old))
		}
		return append(next, numbered)
	case len(recent) > 2*keptChanges:
		recent = append(Recent(nil), recent[len(recent)-keptChanges:]...)
	}
	return append(recent, numbered)
}

func withoutDocument(numbered *wire.Numbered) *wire.Numbered {
	change := numbered.GetChange()
	if change.GetDeployment().GetDocument() == nil {
		return numbered
	}
	return &wire.Numbered{Revision: numbered.GetRevision(), Change: &wire.Change{
		CommandId: change.GetCommandId(), Text: change.GetText(), At: change.GetAt(),
		Body: &wire.Change_Deployment{Deployment: &wire.Deployment{Version: change.GetDeployment().GetVersion()}},
	}}
}
