package endpt

import "github.com/hibiscuslug/hibiscuslug/internal/feed"

// View returns the process's view of the replicated configuration.
func (endpoint *Endpoint) View() *feed.View { return endpoint.view }
