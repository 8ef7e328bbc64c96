package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// BenchmarkPushPop measures one arrival and one departure at a number of
// waiting attempts of 100 customers.
func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			settings := queue.Defaults(1, false)
			settings.MaxWaiting, settings.MaxPerCustomer = waiting+2, waiting+2
			subject := queue.New(settings)
			random := rand.New(rand.NewPCG(1, 0))
			ids := make([]string, waiting+2)
			items := make([]queue.Item, waiting+2)
			running := ""
			push := func(at int, now clock.Millis) {
				items[at].Arrived, items[at].Deadline = now, now+clock.Hour
				for _, decision := range subject.Push(now, items[at]) {
					if start, ok := decision.(queue.Start); ok {
						running = start.ID
					}
				}
			}
			place := map[string]int{}
			for at := range items {
				ids[at] = fmt.Sprint("request", at)
				place[ids[at]] = at
				items[at] = queue.Item{
					ID: ids[at], Customer: fmt.Sprint("customer", random.IntN(100)), Tier: wire.Tier(1 + random.IntN(2)),
					Weight: 1, Size: uint32(10 + random.IntN(1000)),
				}
			}
			for at := range waiting + 1 {
				push(at, 1)
			}
			free := waiting + 1
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				now := clock.Millis(number/1000 + 2)
				push(free, now)
				free = place[running]
				for _, decision := range subject.End(now, running) {
					if start, ok := decision.(queue.Start); ok {
						running = start.ID
					}
				}
			}
		})
	}
}
