package board_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// A third of 129 endpoints end at once with all their slots in use, by requests of 98
// gateways. Each prompt has parts that others share.
const (
	endedEndpoints, slots, gateways, partsPerPrompt = 43, 10, 98, 4
	maxEvidenceBytes                                = 64 << 10
)

// Guards against polls that grow with the number of endpoints that end at once, and
// against evidence that a bound keeps from other processes.
var _ = It("bounds the evidence in one poll and delivers all of it", func() {
	ticker := clock.NewManual(clock.Hour)
	control, told := board.New(ticker, event.Discard()), board.New(ticker, event.Discard())
	var requests []crash.Request
	for number := range endedEndpoints * slots {
		request := crash.Request{Fingerprint: ^uint64(number)}
		for part := range partsPerPrompt {
			request.Parts = append(request.Parts, ^uint64(number*partsPerPrompt+part))
		}
		requests = append(requests, request)
	}
	for number, request := range requests {
		reporter := board.New(ticker, event.Discard())
		reporter.Begun(request)
		endpoint := number / slots
		reporter.Step(crash.Crashed{Crash: crash.Crash{
			Endpoint: fmt.Sprintf("endpoint-%03d", endpoint), Incarnation: 1_700_000_000_000, At: ticker.Now(),
			Suspects: []crash.Suspect{{Request: request, RequestID: fmt.Sprintf("g%02d-%012d", number%gateways, number), Customer: "customer-07"}},
		}})
		exchange(reporter, control)
	}
	sizes, total := []int{}, 0
	for since := (board.Revision{}); ; {
		message, _ := control.Evidence(since)
		if message == nil {
			break
		}
		sizes, total = append(sizes, message.SizeVT()), total+message.SizeVT()
		since = board.RevisionOf(message)
		told.Merge(message)
	}
	AddReportEntry("bytes of each poll", sizes)
	AddReportEntry("bytes of all", total)
	first, _ := control.Evidence(board.Revision{})
	AddReportEntry("begun, crashes", []int{len(first.GetBegun()), len(first.GetCrashes()), len(first.GetCrashes()[0].GetSuspects())})
	for _, size := range sizes {
		Expect(size).To(BeNumerically("<=", maxEvidenceBytes))
	}
	Expect(told.Crashes()).To(HaveLen(endedEndpoints))
	ticker.Advance(2 * clock.Second)
	for _, request := range requests {
		Expect(told.Decide(request)).To(Equal(control.Decide(request)))
	}
	// A later change is sent alone.
	before, _ := control.Evidence(board.Revision{})
	since := board.RevisionOf(before)
	for message := before; message != nil; message, _ = control.Evidence(since) {
		since = board.RevisionOf(message)
	}
	control.Step(crash.Crashed{Crash: crash.Crash{Endpoint: "late", Incarnation: 1, At: ticker.Now(), Suspects: []crash.Suspect{{RequestID: "r"}}}})
	message, _ := control.Evidence(since)
	Expect(message.GetCrashes()).To(Equal([]*wire.CrashReport{control.Crashes()[0].Message()}))
	Expect(message.GetBegun()).To(BeEmpty())
})
