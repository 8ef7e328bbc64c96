package engine

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// progressTimeout bounds a query for the progress of one request.
const progressTimeout = 300 * time.Millisecond

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
func (runner *Runner) CloseIdleConnections() { runner.client.CloseIdleConnections() }

// Progress queries an engine for the progress of an attempt. It opens a new
// connection, because existing ones may be silent.
func (runner *Runner) Progress(target Engine, attempt *wire.Attempt) (Progress, error) {
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		Dial:                      func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, progressTimeout) },
	}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(URL(target) + "/engine/load")
	request.URI().QueryArgs().Set("id", ID(attempt.GetRequestId(), attempt.GetAttempt()))
	request.SetConnectionClose()
	if err := client.DoTimeout(request, response, progressTimeout); err != nil {
		return Progress{}, errors.Wrapf(err, "query engine %s for the progress of a request", target.Info().GetName())
	}
	var page struct {
		Request *struct {
			State    string `json:"state"`
			Produced int    `json:"produced"`
		} `json:"request"`
	}
	if err := json.Unmarshal(response.Body(), &page); err != nil || page.Request == nil {
		// The page is optional, so its absence does not mean that the connection is
		// silent.
		return Progress{}, nil //nolint:nilerr // the page is optional
	}
	return Progress{Reported: true, Gone: page.Request.State == "gone", Produced: page.Request.Produced}, nil
}
