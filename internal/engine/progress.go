package engine

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// progressTimeout bounds a query for the progress of one request.
const progressTimeout = 300 * clock.Millis(1)

// Progress is the state of one attempt as reported by an engine's load page.
type Progress struct {
	// Reported is false when the engine does not report single requests.
	Reported bool
	// Gone is set when the engine no longer has the request.
	Gone bool
	// Produced is the number of events produced so far.
	Produced int
}

// CloseIdleConnections closes the idle connections to engines. After one
// connection fell silent, the idle ones may be silent as well.
func (runner *Runner) CloseIdleConnections() { runner.pool.CloseIdle() }

// Progress queries an engine for the progress of an attempt. It opens a new
// connection, because existing ones may be silent.
func (runner *Runner) Progress(target Engine, attempt *wire.Attempt) (Progress, error) {
	_, body, err := runner.query(progressTimeout, call{
		target: target, method: http.MethodGet, path: "/engine/load?id=" + url.QueryEscape(ID(attempt.GetRequestId(), attempt.GetAttempt())), fresh: true,
	})
	if err != nil {
		return Progress{}, errors.Wrapf(err, "query engine %s for the progress of a request", target.Info().GetName())
	}
	var page struct {
		Request *struct {
			State    string `json:"state"`
			Produced int    `json:"produced"`
		} `json:"request"`
	}
	if err := json.Unmarshal(body, &page); err != nil || page.Request == nil {
		// The page is optional, so its absence does not mean that the connection is
		// silent.
		return Progress{}, nil //nolint:nilerr // the page is optional
	}
	return Progress{Reported: true, Gone: page.Request.State == "gone", Produced: page.Request.Produced}, nil
}
