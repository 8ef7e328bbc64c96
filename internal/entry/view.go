package entry

import "github.com/hibiscuslug/hibiscuslug/internal/feed"

// View returns the configuration that this entry VM uses.
func (entry *Entry) View() *feed.View { return entry.view }
