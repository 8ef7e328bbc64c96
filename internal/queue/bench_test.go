package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// bench keeps a constant number of attempts, of 100 customers, waiting for one slot.
type bench struct {
	subject   *queue.Queue
	items     []queue.Item
	indexByID map[string]int
	running   string
}

func newBench(waiting int) *bench {
	settings := queue.Defaults(1, false)
	settings.MaxWaiting, settings.MaxPerCustomer = waiting+2, waiting+2
	created := &bench{subject: queue.New(settings), indexByID: map[string]int{}}
	random := rand.New(rand.NewPCG(1, 0))
	for at := range waiting + 2 {
		id := fmt.Sprint("request", at)
		created.indexByID[id] = at
		created.items = append(created.items, queue.Item{
			ID: id, Customer: fmt.Sprint("customer", random.IntN(100)), Tier: wire.Tier(1 + random.IntN(2)),
			Weight: 1, Size: uint32(10 + random.IntN(1000)),
		})
	}
	for at := range waiting + 1 {
		created.push(at, 1)
	}
	return created
}

func (bench *bench) push(at int, now clock.Millis) {
	item := &bench.items[at]
	item.Arrived, item.Deadline = now, now+clock.Hour
	bench.apply(bench.subject.Push(now, *item))
}

func (bench *bench) apply(decisions []queue.Decision) {
	for _, decision := range decisions {
		if start, ok := decision.(queue.Start); ok {
			bench.running = start.ID
		}
	}
}

// BenchmarkPushPop measures one arrival and one completion at several queue lengths.
func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			bench, free := newBench(waiting), waiting+1
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				now := clock.Millis(number/1000 + 2)
				bench.push(free, now)
				free = bench.indexByID[bench.running]
				bench.apply(bench.subject.End(now, bench.running))
			}
		})
	}
}
