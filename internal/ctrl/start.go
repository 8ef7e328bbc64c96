package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/store"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// start is what a control process has before it knows its group.
type start struct {
	server *link.Server
	// self is the name of the member, and seeds are the addresses in the settings.
	self     string
	seeds    []string
	store    *store.Store
	contents *store.Contents
}

// newStart opens the listening socket and the data folder.
func newStart(settings Settings) (*start, error) {
	server, err := link.Listen(settings.Node.Listen)
	if err != nil {
		return nil, err
	}
	made := &start{server: server, self: settings.Node.Name}
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

// awaitRoom returns the start of a control process, once the disk takes the writes of a start.
// Meanwhile the process does not listen, so that others go to another control VM at once.
func awaitRoom(settings Settings, ticker *clock.Clock, log *event.Log) (*start, error) {
	for refused := false; ; refused = true {
		made, err := newStart(settings)
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
