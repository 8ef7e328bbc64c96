package endpt

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Guards against an empty message on a stalled stream, when a newer stream of the attempt has
// sent so much that old answers are dropped.
var _ = It("keeps the answers that a stream is about to send", func() {
	run := newAttempt(&wire.Attempt{RequestId: "r1", Idempotent: true}, clock.NewManual(clock.Hour))
	var stalled []*wire.Answer
	for sent := range uint64(2 * maxReplayBytes / maxUnsentBytes) {
		run.markSent(sent)
		Expect(run.Data([][]byte{make([]byte, maxUnsentBytes)})).To(Succeed())
		if answers, _, err := run.answersFrom(0); err == nil {
			stalled = answers
		}
	}
	_, _, err := run.answersFrom(0)
	Expect(err).To(MatchError(errDropped))
	Expect(stalled).NotTo(BeEmpty())
	Expect(stalled).NotTo(ContainElement(BeNil()))
})
