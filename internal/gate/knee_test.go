package gate

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/knee"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Guards against responses that count for longer than the window, against loads that miss
// them once nothing is in flight, and against ranks of a group that are compared.
var _ = It("reports the responses of the last two seconds of services without engines", func() {
	ticker := clock.NewManual(clock.Hour)
	gateway := &Gateway{
		clock: ticker, log: event.Discard(), work: map[string]choose.Load{}, responses: map[string][]response{}, knees: map[string]knee.Table{},
	}
	endpoint, rank := roster.Record{ID: "e0", Born: 1, Slots: 6}, roster.Record{ID: "r0"}
	group := plan.Service{Name: "group", Engine: &plan.Engine{Layers: 12}}
	gateway.recordResponse(plan.Service{}, endpoint, 30)
	ticker.Advance(clock.Second)
	gateway.recordResponse(plan.Service{}, endpoint, 60)
	gateway.recordResponse(group, rank, 60)
	loads := gateway.report().Loads
	Expect(loads).To(HaveLen(1))
	Expect(loads[0].GetId()).To(Equal("e0"))
	Expect(loads[0].GetRunning()).To(BeZero())
	Expect(loads[0].GetEnded()).To(BeEquivalentTo(2))
	Expect(loads[0].GetTook()).To(BeEquivalentTo(90))
	ticker.Advance(clock.Second + 1)
	Expect(gateway.report().Loads[0].GetTook()).To(BeEquivalentTo(60))
	ticker.Advance(clock.Second)
	Expect(gateway.report().Loads).To(BeEmpty())
	Expect(gateway.responses).To(BeEmpty())
})

// Guards against gateways that judge an endpoint by their own few responses, and against
// estimates of ranks.
var _ = It("finds a slow endpoint from the responses to other gateways", func() {
	ticker := clock.NewManual(clock.Hour)
	gateway := &Gateway{clock: ticker, responses: map[string][]response{}, knees: map[string]knee.Table{}}
	records := []roster.Record{{ID: "e0", Born: 1, Slots: 6}, {ID: "e1", Born: 1, Slots: 6}, {ID: "e2", Born: 1, Slots: 6}}
	totals := map[string]knee.Total{"e0": {Ended: 20, Took: 7200}, "e1": {Ended: 20, Took: 600}, "e2": {Ended: 20, Took: 600}}
	var table, ofRanks knee.Table
	for range 40 {
		ticker.Advance(100)
		table = gateway.estimates(plan.Service{Name: "desk"}, records, totals, ticker.Now())
		ofRanks = gateway.estimates(plan.Service{Name: "group", Engine: &plan.Engine{}}, records, totals, ticker.Now())
	}
	Expect(table.Of(endpointKey(records[0])).Pace).To(BeNumerically("~", 12, 0.1))
	Expect(table.Of(endpointKey(records[1])).Pace).To(BeZero())
	Expect(gateway.slowEndpoints()).To(Equal(1))
	Expect(ofRanks.All()).To(BeEmpty())
	records[0].Born = 2
	ticker.Advance(100)
	table = gateway.estimates(plan.Service{Name: "desk"}, records, totals, ticker.Now())
	Expect(table.Of(endpointKey(records[0]))).To(Equal(knee.Estimate{}))
})
