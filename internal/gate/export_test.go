package gate

import (
	"github.com/hibiscuslug/hibiscuslug/internal/notice"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

// NoticeOf returns what the gateway knows of a start of an endpoint.
func (gateway *Gateway) NoticeOf(record roster.Record) notice.State {
	return gateway.board.Notice(endpointKey(record))
}

// SetPace states the pace of an endpoint, as the control leader does.
func (gateway *Gateway) SetPace(record roster.Record, pace float64) {
	gateway.board.SetPace(endpointKey(record), pace)
}
