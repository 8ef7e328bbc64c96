package ctrl

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Guards against gateways that take too large a share of what is divided among them
// because a control VM that has just started has heard of few of them.
var _ = It("tells no number of gateways until all of them can have reported", func() {
	const start = clock.Hour
	control := &Control{startedAt: start, reports: map[string]loadReport{}}
	report := func(now clock.Millis) {
		for _, name := range []string{"gateway1", "gateway2"} {
			control.reports[name] = loadReport{Report: poll.Report{Gateways: 1}, at: now}
		}
	}
	report(start + 100)
	Expect(control.reportOfOthers("gateway1", start+200).Gateways).To(BeZero())
	report(start + loadLifetime)
	Expect(control.reportOfOthers("gateway1", start+loadLifetime).Gateways).To(Equal(uint32(2)))
})
