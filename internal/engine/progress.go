package engine

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// progressLimit bounds the question for one request's progress.
const progressLimit = 300 * time.Millisecond

// Progress is what an engine's load page tells of one attempt.
type Progress struct {
	// Known is false when the engine tells nothing of single requests.
	Known bool
	// Gone means that the engine does not have the request any more.
	Gone     bool
	Produced int
}

// Discard closes the idle connections to engines, which may be silent as well.
func (runner *Runner) Discard() { runner.client.CloseIdleConnections() }

// Progress asks an engine for an attempt on a connection that did not exist
// before, since existing ones may be silent.
func (runner *Runner) Progress(target Engine, attempt *wire.Attempt) (Progress, error) {
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		Dial:                      func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, progressLimit) },
	}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(URL(target) + "/engine/load")
	request.URI().QueryArgs().Set("id", ID(attempt.GetRequestId(), attempt.GetAttempt()))
	request.SetConnectionClose()
	if err := client.DoTimeout(request, response, progressLimit); err != nil {
		return Progress{}, errors.Wrapf(err, "ask engine %s for its load", target.Info().GetName())
	}
	var page struct {
		Request *struct {
			State    string `json:"state"`
			Produced int    `json:"produced"`
		} `json:"request"`
	}
	if err := json.Unmarshal(response.Body(), &page); err != nil || page.Request == nil {
		// An engine without this page is not silent for that.
		return Progress{}, nil //nolint:nilerr // the page is optional
	}
	return Progress{Known: true, Gone: page.Request.State == "gone", Produced: page.Request.Produced}, nil
}
