package retry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const windowSpan = 10 * clock.Second

// Guards against retries that add to an overload: the bound holds in every
// span, wherever it begins.
var _ = It("bounds repeats in every sliding window", func() {
	window := retry.NewWindow(0.2, windowSpan)
	type moment struct {
		at       clock.Millis
		repeated bool
	}
	var history []moment
	for at := clock.Millis(0); at < 60*clock.Second; at += 50 {
		// Demand comes in waves; every request wants to be repeated twice.
		if at/5000%2 == 0 {
			window.Request(at)
			history = append(history, moment{at: at})
		}
		for range 2 {
			if window.Repeat(at, 5) {
				history = append(history, moment{at: at, repeated: true})
			}
		}
	}
	for start := clock.Millis(0); start < 50*clock.Second; start += 250 {
		requests, repeats := 0, 0
		for _, moment := range history {
			switch {
			case moment.at < start-windowSpan/2 || moment.at >= start+windowSpan:
			case moment.repeated && moment.at >= start:
				repeats++
			case !moment.repeated:
				requests++
			}
		}
		Expect(repeats).To(BeNumerically("<=", 0.2*float64(requests)+5), "window from %s", start)
	}
})

var _ = It("forgets what a pause has left behind", func() {
	window := retry.NewWindow(0, windowSpan)
	Expect(window.Repeat(0, 1)).To(BeTrue())
	Expect(window.Repeat(1, 1)).To(BeFalse())
	Expect(window.Repeat(windowSpan+500, 1)).To(BeTrue())
})
