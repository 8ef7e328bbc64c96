package feed

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Recent returns the latest changes that this process received, oldest first.
func (view *View) Recent() []*wire.Numbered {
	view.mu.Lock()
	defer view.mu.Unlock()
	return slices.Clone(view.recent)
}
