package daemon

import (
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
)

// leastAnnouncements is how many announcements must fit in a lifetime, so that
// one that is lost does not take a live endpoint out of use.
const leastAnnouncements = 2

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
	if set.Lifetime < leastAnnouncements*set.AnnounceEvery {
		return errors.Newf("setting --lifetime is %s; allowed is at least %d times --announce-every, which is %s",
			set.Lifetime, leastAnnouncements, set.AnnounceEvery)
	}
	return nil
}
