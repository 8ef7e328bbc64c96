package front

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// setRetryAfter sets the Retry-After header if the request did not run, and returns the
// status of the response.
func setRetryAfter(ctx *fiber.Ctx, result route.Result) int {
	status := statusOf(result)
	if result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		return status
	}
	wait := clock.Second
	var refusal *admit.RefusalError
	if errors.As(result.Err, &refusal) {
		wait = refusal.RetryAfter
		if refusal.Reason == admit.CustomerFull {
			status = fiber.StatusTooManyRequests
		}
	}
	ctx.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64((wait+clock.Second-1)/clock.Second), 10))
	return status
}
