package daemon

import (
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
)

// minAnnouncements is the minimum number of announcements per lifetime, so that
// a single lost announcement does not expire a live endpoint.
const minAnnouncements = 2

func checkEngines(engines []string) error {
	for _, text := range engines {
		parsed, err := engine.Parse(text)
		if err != nil {
			return errors.Wrap(err, "setting --engine")
		}
		address, err := url.Parse(engine.URL(parsed))
		if err != nil {
			return errors.Wrapf(err, "setting --engine is %q", text)
		}
		if err := bounds.Address("engine", address.Host); err != nil {
			return errors.Wrapf(err, "address in %q", text)
		}
	}
	return nil
}

func checkLifetime(set opts.Endpoint) error {
	if set.Lifetime < minAnnouncements*set.AnnounceEvery {
		return errors.Newf("setting --lifetime is %s; allowed is at least %d times --announce-every, which is %s",
			set.Lifetime, minAnnouncements, set.AnnounceEvery)
	}
	return nil
}
