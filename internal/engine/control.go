package engine

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// orderTimeout bounds an order to an engine. It is short because the work that
// takes over the slot waits for the order.
const orderTimeout = 300 * time.Millisecond

// order is the operation that a model engine is to perform on an attempt.
type order string

// Pause suspends an attempt at its next event; the engine keeps its state.
func (runner *Runner) Pause(target Engine, attempt *wire.Attempt) error {
	return runner.order(target, attempt, "pause")
}

// Resume continues a paused attempt.
func (runner *Runner) Resume(target Engine, attempt *wire.Attempt) error {
	return runner.order(target, attempt, "resume")
}

// Cancel ends an attempt.
func (runner *Runner) Cancel(target Engine, attempt *wire.Attempt) error {
	return runner.order(target, attempt, "cancel")
}

func (runner *Runner) order(target Engine, attempt *wire.Attempt, action order) error {
	if _, ok := target.(Model); !ok {
		return errors.Newf("engine %s does not support orders for single requests", target.Info().GetName())
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(URL(target) + "/engine/" + string(action))
	request.URI().QueryArgs().Set("id", ID(attempt.GetRequestId(), attempt.GetAttempt()))
	request.Header.SetMethod(fasthttp.MethodPost)
	if err := runner.client.DoTimeout(request, response, orderTimeout); err != nil {
		return errors.Wrapf(err, "%s attempt at engine %s", action, target.Info().GetName())
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return errors.Newf("engine %s responded to %s with status %d", target.Info().GetName(), action, response.StatusCode())
	}
	return nil
}
