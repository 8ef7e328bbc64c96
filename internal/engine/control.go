package engine

import (
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// orderTimeout bounds an order to an engine. It is short because the work that
// takes over the slot waits for the order.
const orderTimeout = 300 * clock.Millis(1)

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
	status, _, err := runner.query(orderTimeout, call{
		target: target, method: http.MethodPost, path: "/engine/" + string(action) + "?id=" + url.QueryEscape(ID(attempt.GetRequestId(), attempt.GetAttempt())),
	})
	if err != nil {
		return errors.Wrapf(err, "%s attempt at engine %s", action, target.Info().GetName())
	}
	if status >= http.StatusBadRequest {
		return errors.Newf("engine %s responded to %s with status %d", target.Info().GetName(), action, status)
	}
	return nil
}
