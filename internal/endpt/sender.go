package endpt

import (
	"storj.io/drpc"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// sender is the common interface of Run and Resume streams.
type sender interface {
	drpc.Stream
	Send(answer *wire.Answer) error
}

// flusher is a drpc stream that can buffer messages instead of sending each at once.
type flusher interface {
	SetManualFlush(manual bool)
}

// sendAll sends the given answers in one write where the stream allows it. The
// last answer of an attempt stays buffered and is sent with the end of the
// stream, which follows immediately.
func sendAll(stream sender, answers []*wire.Answer) error {
	wrapper, ok := stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return sendEach(stream, answers)
	}
	underlying, ok := wrapper.GetStream().(flusher)
	if !ok || len(answers) == 0 {
		return sendEach(stream, answers)
	}
	underlying.SetManualFlush(true)
	last := len(answers) - 1
	if err := sendEach(stream, answers[:last]); err != nil {
		return err
	}
	underlying.SetManualFlush(answers[last].GetKind() == wire.AnswerKind_ANSWER_KIND_END)
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
