package retry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const windowSpan = 10 * clock.Second

// Guards against retries that add to an overload: the limit must hold in every
// time span, wherever it starts.
var _ = It("bounds repeats in every sliding window", func() {
	budget := retry.NewRatioBudget(0.2, windowSpan)
	type attempt struct {
		at       clock.Millis
		repeated bool
	}
	var history []attempt
	for at := clock.Millis(0); at < 60*clock.Second; at += 50 {
		// Requests arrive in alternating phases of 5 s; two retries are tried in
		// every step, also while no requests arrive.
		if at/5000%2 == 0 {
			budget.Request(at)
			history = append(history, attempt{at: at})
		}
		for range 2 {
			if budget.TakeRetry(at, 5) {
				history = append(history, attempt{at: at, repeated: true})
			}
		}
	}
	for start := clock.Millis(0); start < 50*clock.Second; start += 250 {
		requests, repeats := 0, 0
		for _, attempt := range history {
			switch {
			case attempt.at < start-windowSpan/2 || attempt.at >= start+windowSpan:
			case attempt.repeated && attempt.at >= start:
				repeats++
			case !attempt.repeated:
				requests++
			}
		}
		Expect(repeats).To(BeNumerically("<=", 0.2*float64(requests)+5), "window from %s", start)
	}
})

var _ = It("drops the counts from before a pause", func() {
	budget := retry.NewRatioBudget(0, windowSpan)
	Expect(budget.TakeRetry(0, 1)).To(BeTrue())
	Expect(budget.TakeRetry(1, 1)).To(BeFalse())
	Expect(budget.TakeRetry(windowSpan+500, 1)).To(BeTrue())
})
