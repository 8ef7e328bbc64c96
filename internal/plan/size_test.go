package plan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	fewRoutes = 2_000
	// sizeRatio is the ratio of the larger configuration to the smaller one.
	sizeRatio = 8
	// maxTimeRatio is far above sizeRatio and far below its square.
	maxTimeRatio = 30
	// tries is the number of measurements; the shortest counts.
	tries = 7
)

// buildTime returns the shortest time to build a configuration with routes on one host.
func buildTime(count int) time.Duration {
	routes := make([]plan.Route, count)
	for at := range routes {
		routes[at] = plan.Route{
			Name: fmt.Sprint("r", at), Host: "h.example", Prefix: fmt.Sprintf("/r%07d/", at), Timeout: clock.Second,
			Shares: []plan.Share{{Service: "desk", Weight: 1}},
		}
	}
	shortest := time.Hour
	for range tries {
		began := time.Now()
		built, err := plan.New(1, routes, []plan.Service{{Name: "desk"}}, nil, plan.Limits{})
		shortest = min(shortest, time.Since(began))
		Expect(err).NotTo(HaveOccurred())
		last, ok := built.Route("h.example", routes[count-1].Prefix+"x")
		Expect(ok).To(BeTrue())
		Expect(last.Name).To(Equal(routes[count-1].Name))
	}
	return shortest
}

// Guards against a configuration that is validated in a time that grows with the square of
// its routes: gateways then run requests by an older version for seconds.
var _ = It("builds a configuration in a time that grows with its routes, not with their square", func() {
	few, many := buildTime(fewRoutes), buildTime(sizeRatio*fewRoutes)
	AddReportEntry(fmt.Sprintf("%d routes in %s, %d in %s", fewRoutes, few, sizeRatio*fewRoutes, many))
	Expect(float64(many) / float64(few)).To(BeNumerically("<", maxTimeRatio))
})
