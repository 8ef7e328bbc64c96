package entry

import "github.com/hibiscuslug/hibiscuslug/internal/feed"

// View returns the configuration that is in force here.
func (entry *Entry) View() *feed.View { return entry.view }
