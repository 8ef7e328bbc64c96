package board_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestBoard(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Board")
}

// exchange sends the evidence of one process to another.
func exchange(from, to *board.Board) {
	message, _ := from.Evidence(board.Revision{})
	to.Merge(message)
}

// Guards against a part that is held at all gateways although one of them has seen it
// answered, and against gateways that each need a crash of their own.
var _ = It("decides alike at every gateway once the evidence has gone round", func() {
	ticker := clock.NewManual(clock.Hour)
	control := board.New(ticker, event.Discard())
	gateways := []*board.Board{board.New(ticker, event.Discard()), board.New(ticker, event.Discard()), board.New(ticker, event.Discard())}
	sound, deadly := crash.Request{Fingerprint: 1, Parts: []uint64{10}}, crash.Request{Fingerprint: 2, Parts: []uint64{10, 66}}
	gateways[2].Begun(sound)
	ticker.Advance(clock.Second)
	gateways[0].Step(crash.Crashed{Crash: crash.Crash{Endpoint: "e1", Incarnation: 1, At: ticker.Now(), Suspects: []crash.Suspect{{Request: deadly}}}})
	_, changed := gateways[1].Evidence(board.Revision{})
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
	message, _ := gateways[0].Evidence(board.Revision{})
	newer, _ := gateways[0].Evidence(board.RevisionOf(message))
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

// Guards against gateways that learn of a limit only by overrunning it, and against a
// limit that outlives its end at those which get no answers of the endpoint.
var _ = It("tells all gateways of a limit and of its end", func() {
	ticker := clock.NewManual(clock.Hour)
	control, told, other := board.New(ticker, event.Discard()), board.New(ticker, event.Discard()), board.New(ticker, event.Discard())
	endpoint := quota.Endpoint{ID: "e1", Incarnation: 1}
	told.Answered(endpoint, new(2.5), ticker.Now())
	exchange(told, control)
	exchange(control, other)
	limit, ok := other.Limit(endpoint)
	Expect(ok).To(BeTrue())
	Expect(limit.Rate).To(Equal(2.5))
	ticker.Advance(clock.Second)
	told.Answered(endpoint, nil, ticker.Now())
	exchange(told, control)
	exchange(control, other)
	_, ok = other.Limit(endpoint)
	Expect(ok).To(BeFalse())
})

// Guards against gateways that send to an endpoint which has told another one that it
// leaves, and against a pause that binds a gateway which was not asked for it.
var _ = It("tells all gateways which endpoints leave and which asked another gateway for a pause", func() {
	ticker := clock.NewManual(clock.Hour)
	control, told, other := board.New(ticker, event.Discard()), board.New(ticker, event.Discard()), board.New(ticker, event.Discard())
	leaving, pausing := quota.Endpoint{ID: "e1", Incarnation: 1}, quota.Endpoint{ID: "e2", Incarnation: 1}
	told.Noticed(leaving, true, 0)
	told.Noticed(pausing, false, 5*clock.Second)
	exchange(told, control)
	exchange(control, other)
	exchange(control, told)
	Expect([]bool{told.Notice(leaving).Closed(), told.Notice(pausing).Closed()}).To(Equal([]bool{true, true}))
	Expect([]bool{other.Notice(leaving).Closed(), other.Notice(pausing).Closed()}).To(Equal([]bool{true, false}))
	Expect(other.Notice(pausing).ToldPause).To(Equal(ticker.Now() + 5*clock.Second))
	message, _ := told.Evidence(board.Revision{})
	newer, _ := told.Evidence(board.RevisionOf(message))
	Expect(newer).To(BeNil())
})

// Guards against a slow rank that gets requests as before, and against one that stays
// slow at gateways after the leader has ended it or is gone.
var _ = It("tells all gateways of a slow rank for as long as the leader renews it", func() {
	ticker := clock.NewManual(clock.Hour)
	var lines bytes.Buffer
	leader, gateway := board.New(ticker, event.Discard()), board.New(ticker, event.New(&lines, "gateway1", "z1"))
	rank := quota.Endpoint{ID: "e1", Incarnation: 1}
	for range 5 {
		leader.SetPace(rank, 12)
		exchange(leader, gateway)
		ticker.Advance(clock.Second)
		Expect(gateway.Notice(rank).Pace).To(Equal(12.0))
	}
	leader.SetPace(rank, 1)
	exchange(leader, gateway)
	Expect(gateway.Notice(rank).Pace).To(BeZero())
	ticker.Advance(clock.Second)
	leader.SetPace(rank, 3)
	exchange(leader, gateway)
	Expect(gateway.Notice(rank).Pace).To(Equal(3.0))
	ticker.Advance(3 * clock.Second)
	Expect(gateway.Notice(rank).Pace).To(BeZero())
	Expect(strings.Count(lines.String(), "event=315 ")).To(Equal(3))
	leader.SetPace(quota.Endpoint{ID: "e2", Incarnation: 1}, 1)
	Expect(leader.Notices().States(ticker.Now())).To(HaveLen(1))
})

// Guards against a leader that grants more than an endpoint takes because it has not
// heard of the limit yet, or prefers an endpoint that takes no more.
var _ = It("grants permits for the first endpoint that takes one", func() {
	ticker := clock.NewManual(clock.Hour)
	leader := board.New(ticker, event.Discard())
	asked := []*wire.EndpointLimit{{Endpoint: "e1", Rate: 1}, {Endpoint: "e2", Rate: 1}}
	endpoint, wait := leader.Permit(asked, true)
	Expect(endpoint).To(BeEmpty())
	Expect(wait).To(Equal(clock.Second))
	ticker.Advance(clock.Second)
	var granted []string
	for range 3 {
		endpoint, _ := leader.Permit(asked, true)
		granted = append(granted, endpoint)
	}
	Expect(granted).To(Equal([]string{"e1", "e2", ""}))
	_, ok := leader.Limit(quota.Endpoint{ID: "e1"})
	Expect(ok).To(BeTrue())
})

// Guards against a line of a crash from which its requests cannot be looked up.
var _ = It("logs the ids of the requests at a crash", func() {
	ticker := clock.NewManual(clock.Hour)
	var lines bytes.Buffer
	holder := board.New(ticker, event.New(&lines, "gateway1", "z1"))
	holder.Step(crash.Crashed{Crash: crash.Crash{Endpoint: "e1", Incarnation: 1, At: ticker.Now(), Suspects: []crash.Suspect{
		{Request: crash.Request{Fingerprint: 1}, RequestID: "r1"}, {Request: crash.Request{Fingerprint: 2}, RequestID: "r2"},
	}}})
	Expect(lines.String()).To(ContainSubstring("suspects=r1,r2 "))
})

// Guards against a cold endpoint whose rate is shared as a limit that it named, and
// against a request that gets only one of the two permits that it needs.
var _ = It("grants permits of cold endpoints without sharing their rates as limits", func() {
	ticker := clock.NewManual(clock.Hour)
	leader := board.New(ticker, event.Discard())
	cold := &wire.EndpointLimit{Endpoint: "e1", Rate: 10, Burst: 5, Cold: true}
	both := []*wire.EndpointLimit{{Endpoint: "e1", Rate: 1}, cold}
	endpoint, _ := leader.Permit([]*wire.EndpointLimit{cold}, true)
	Expect(endpoint).To(BeEmpty())
	_, ok := leader.Limit(quota.Endpoint{ID: "e1"})
	Expect(ok).To(BeFalse())
	leader.Permit(both, true)
	ticker.Advance(clock.Second)
	var granted []string
	for range 2 {
		endpoint, _ := leader.Permit(both, true)
		granted = append(granted, endpoint)
	}
	Expect(granted).To(Equal([]string{"e1", ""}))
	for range 4 {
		endpoint, _ := leader.Permit([]*wire.EndpointLimit{cold}, true)
		Expect(endpoint).To(Equal("e1"))
	}
	endpoint, _ = leader.Permit([]*wire.EndpointLimit{cold}, true)
	Expect(endpoint).To(BeEmpty())
})
