package dedup

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// answerRecorder is a sink that buffers an answer until it is recorded at the control
// VMs.
type answerRecorder struct {
	answer *wire.ClaimAnswer
}

// Head sets the status and content type of the answer.
func (recorder *answerRecorder) Head(status int, contentType string) {
	recorder.answer.Status, recorder.answer.ContentType = uint32(status), contentType
}

// Data appends a part of the answer.
func (recorder *answerRecorder) Data(events [][]byte) error {
	for _, event := range events {
		recorder.answer.Body = append(recorder.answer.Body, event...)
	}
	return nil
}

func (recorder *answerRecorder) end(outcome wire.Outcome, err error) *wire.ClaimAnswer {
	recorder.answer.Outcome = outcome
	if err != nil {
		recorder.answer.Error = err.Error()
	}
	return recorder.answer
}

// deliver writes a recorded answer to the caller.
func (execution *execution) deliver(answer *wire.ClaimAnswer) route.Result {
	result := route.Result{Outcome: answer.GetOutcome()}
	if answer.GetError() != "" {
		result.Err = errors.Newf("%s", answer.GetError())
	}
	body, contentType := answer.GetBody(), answer.GetContentType()
	if answer.GetBodyOmitted() {
		contentType = "application/json"
		body = fmt.Appendf(nil, `{"bodyOmitted":true,"message":"this work is done; its answer was larger than the %d KiB that are recorded"}`, recordedKiB)
	}
	execution.sink.Head(int(max(answer.GetStatus(), fasthttp.StatusOK)), contentType)
	if len(body) == 0 {
		return result
	}
	if err := execution.sink.Data([][]byte{body}); err != nil {
		// The outcome is recorded, so a caller that has disconnected can retry and get it.
		result.Err = err
	}
	return result
}
