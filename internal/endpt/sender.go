package endpt

import (
	"storj.io/drpc"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// sender is what Run and Resume streams have in common.
type sender interface {
	drpc.Stream
	Send(answer *wire.Answer) error
}

// flusher is a drpc stream whose messages can be held back.
type flusher interface {
	SetManualFlush(manual bool)
}

// sendAll sends answers that are ready together in one write. The last answer
// of an attempt goes out with the end of the stream, which follows at once.
func sendAll(stream sender, answers []*wire.Answer) error {
	held, ok := stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return sendEach(stream, answers)
	}
	control, ok := held.GetStream().(flusher)
	if !ok || len(answers) == 0 {
		return sendEach(stream, answers)
	}
	control.SetManualFlush(true)
	last := len(answers) - 1
	if err := sendEach(stream, answers[:last]); err != nil {
		return err
	}
	control.SetManualFlush(answers[last].GetKind() == wire.AnswerKind_ANSWER_KIND_END)
	return stream.Send(answers[last])
}

func sendEach(stream sender, answers []*wire.Answer) error {
	for _, answer := range answers {
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
	return nil
}
