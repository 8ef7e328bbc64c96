package notice

import (
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Message encodes a notice. Its instants are encoded relative to the given one.
func (notice Notice) Message(reference clock.Millis) *wire.EndpointNotice {
	message := &wire.EndpointNotice{
		Endpoint: notice.Endpoint.ID, Incarnation: notice.Endpoint.Incarnation, Leaving: notice.Leaving, Pace: notice.Pace, At: int64(notice.At - reference),
	}
	if notice.PauseEnd > reference {
		message.Pause = int64(notice.PauseEnd - reference)
	}
	return message
}

// FromMessage decodes a notice whose instants are relative to the given one.
func FromMessage(message *wire.EndpointNotice, reference clock.Millis) Notice {
	notice := Notice{
		Endpoint: quota.Endpoint{ID: message.GetEndpoint(), Incarnation: message.GetIncarnation()}, Leaving: message.GetLeaving(),
		At: reference + min(clock.Millis(message.GetAt()), 0),
	}
	if message.GetPause() > 0 {
		notice.PauseEnd = reference + min(clock.Millis(message.GetPause()), MaxPause)
	}
	if message.GetPace() > 0 {
		notice.Pace = validPace(message.GetPace())
	}
	return notice
}
