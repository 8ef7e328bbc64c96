package quota

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Message encodes a limit. Its instant is encoded relative to the given one.
func (limit Limit) Message(reference clock.Millis) *wire.EndpointLimit {
	return &wire.EndpointLimit{
		Endpoint: limit.Endpoint.ID, Incarnation: limit.Endpoint.Incarnation, Rate: limit.Rate, Lifted: limit.Lifted, At: int64(limit.At - reference),
		Cold: limit.Cold, Burst: limit.Burst,
	}
}

// FromMessage decodes a limit whose instant is relative to the given one.
func FromMessage(message *wire.EndpointLimit, reference clock.Millis) Limit {
	return Limit{
		Endpoint: Endpoint{ID: message.GetEndpoint(), Incarnation: message.GetIncarnation()},
		Rate:     message.GetRate(), Lifted: message.GetLifted(), At: clock.Millis(message.GetAt()) + reference,
		Cold: message.GetCold(), Burst: message.GetBurst(),
	}
}
