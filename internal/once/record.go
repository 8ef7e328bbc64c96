package once

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// record collects an answer, so that it can be recorded before the caller gets it.
type record struct {
	answer *wire.ClaimAnswer
}

// Head takes the status and content type of the answer.
func (record *record) Head(status int, contentType string) {
	record.answer.Status, record.answer.ContentType = uint32(status), contentType
}

// Data takes a part of the answer.
func (record *record) Data(events [][]byte) error {
	for _, event := range events {
		record.answer.Body = append(record.answer.Body, event...)
	}
	return nil
}

func (record *record) end(outcome wire.Outcome, err error) *wire.ClaimAnswer {
	record.answer.Outcome = outcome
	if err != nil {
		record.answer.Error = err.Error()
	}
	return record.answer
}

// deliver gives the caller an answer that was recorded.
func (work *work) deliver(answer *wire.ClaimAnswer) route.Result {
	result := route.Result{Outcome: answer.GetOutcome()}
	if answer.GetError() != "" {
		result.Err = errors.Newf("%s", answer.GetError())
	}
	body, contentType := answer.GetBody(), answer.GetContentType()
	if answer.GetBodyOmitted() {
		contentType = "application/json"
		body = fmt.Appendf(nil, `{"bodyOmitted":true,"message":"this work is done; its answer was larger than the %d KiB that are recorded"}`, recordedKiB)
	}
	work.sink.Head(int(max(answer.GetStatus(), fasthttp.StatusOK)), contentType)
	if len(body) == 0 {
		return result
	}
	if err := work.sink.Data([][]byte{body}); err != nil {
		// The outcome is recorded; the caller that has gone can ask for it again.
		result.Err = err
	}
	return result
}
