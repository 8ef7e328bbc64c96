package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/store"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// startup is what a control process opens before it takes part in a group.
type startup struct {
	server *link.Server
	// self is the name of the member, and seeds are the addresses in the settings.
	self     string
	seeds    []string
	store    *store.Store
	contents *store.Contents
}

// newStartup opens the listening socket and the data folder.
func newStartup(settings Settings) (*startup, error) {
	server, err := link.Listen(settings.Node.Listen)
	if err != nil {
		return nil, err
	}
	made := &startup{server: server, self: settings.Node.Name}
	if len(settings.Control.Seed) > 0 {
		made.self = advertised(settings.Node, server)
		if made.seeds, err = ParseSeeds(settings.Control.Seed, made.self); err != nil {
			return nil, errors.CombineErrors(err, server.Close())
		}
	}
	made.store, made.contents, err = store.Open(settings.Control.Data, settings.Disk, founders(settings.Control, made.seeds))
	if err != nil {
		return nil, errors.CombineErrors(err, server.Close())
	}
	return made, nil
}

// awaitRoom opens the socket and the data folder once the disk takes the writes that this needs.
// Meanwhile the process does not listen, so that others go to another control VM at once.
func awaitRoom(settings Settings, ticker *clock.Clock, log *event.Log) (*startup, error) {
	for refused := false; ; refused = true {
		made, err := newStartup(settings)
		switch {
		case err == nil && refused:
			log.Write(event.DiskRecovered)
			return made, nil
		case err == nil:
			return made, nil
		case !store.IsRefused(err):
			return nil, err
		case !refused:
			log.Write(event.DiskRefused, "error", err)
		}
		if err := ticker.Sleep(context.Background(), writeRetryDelay); err != nil {
			return nil, err
		}
	}
}
