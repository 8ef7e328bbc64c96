package board_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestBoard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Board")
}

// exchange sends the evidence of one process to another.
func exchange(from, to *board.Board) {
	message, _ := from.Evidence(0)
	to.Merge(message)
}

// Guards against a part that is held at all gateways although one of them has seen it
// answered, and against gateways that each need a crash of their own.
var _ = It("decides alike at every gateway once the evidence has gone round", func() {
	ticker := clock.NewManual(clock.Hour)
	control := board.New(ticker, event.Discard())
	gateways := []*board.Board{board.New(ticker, event.Discard()), board.New(ticker, event.Discard()), board.New(ticker, event.Discard())}
	sound, deadly := crash.Request{Fingerprint: 1, Parts: []uint64{10}}, crash.Request{Fingerprint: 2, Parts: []uint64{10, 66}}
	gateways[2].Begun(sound.Parts)
	ticker.Advance(clock.Second)
	gateways[0].Step(crash.Crashed{Crash: crash.Crash{Endpoint: "e1", Incarnation: 1, At: ticker.Now(), Suspects: []crash.Suspect{{Request: deadly}}}})
	_, changed := gateways[1].Evidence(0)
	// The crash goes round, then the history of the third gateway.
	for range 3 {
		for _, gateway := range gateways {
			exchange(gateway, control)
			exchange(control, gateway)
		}
	}
	Expect(changed).To(BeClosed())
	ticker.Advance(2 * clock.Second)
	for _, gateway := range gateways {
		Expect(gateway.Decide(deadly).Treatment).To(Equal(crash.Block))
		Expect(gateway.Decide(deadly).Part).To(Equal(uint64(66)))
		Expect(gateway.Decide(sound).Treatment).To(Equal(crash.Normal))
	}
	message, _ := gateways[0].Evidence(0)
	newer, _ := gateways[0].Evidence(message.GetRevision())
	Expect(newer).To(BeNil())
})

// Guards against evidence that is never dropped.
var _ = It("drops evidence that is too old to count", func() {
	ticker := clock.NewManual(clock.Hour)
	holder := board.New(ticker, event.Discard())
	holder.Step(crash.Crashed{Crash: crash.Crash{Endpoint: "e1", Incarnation: 1, At: ticker.Now(), Suspects: []crash.Suspect{{Request: crash.Request{Parts: []uint64{66}}}}}})
	Expect(holder.Crashes()).To(HaveLen(1))
	ticker.Advance(clock.Hour)
	holder.Expire()
	Expect(holder.Crashes()).To(BeEmpty())
})
