package endpt

import "github.com/hibiscuslug/hibiscuslug/internal/feed"

// View returns the configuration that is in force here.
func (endpoint *Endpoint) View() *feed.View { return endpoint.view }
