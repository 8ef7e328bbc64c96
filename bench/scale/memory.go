package scale

import (
	"runtime"
	"strconv"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/class"
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// heap returns the heap bytes in use after a garbage collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureHeap returns the built value and the heap bytes that it occupies.
func measureHeap[T any](build func() T) (T, float64) {
	before := heap()
	built := build()
	after := heap()
	return built, after - before
}

func customer(at int) *wire.Customer {
	name := "customer" + strconv.Itoa(at)
	return &wire.Customer{Name: name, Tier: "paid", Weight: 1, TokenHash: class.TokenHash(name)}
}

func snapshot(customers int) *wire.Snapshot {
	built := &wire.Snapshot{Revision: 1, Tiers: state.New().Tiers()}
	for at := range customers {
		built.Customers = append(built.Customers, customer(at))
	}
	return built
}

func configured(customers int) *state.State {
	return state.FromSnapshot(snapshot(customers))
}

// measureConfiguration measures the cost of one copy of the configuration per
// customer: memory, snapshot size, and processing time of one change.
func measureConfiguration(report *figure.Report) {
	var memory, snapshotBytes, change []point
	for _, size := range []int{500, 1000, 2000, 4000, 7400} {
		config, bytes := measureHeap(func() *state.State { return configured(size) })
		memory = append(memory, point{float64(size), bytes})
		snapshotBytes = append(snapshotBytes, point{float64(size), float64(config.Snapshot().SizeVT())})
		change = append(change, point{float64(size), changeTime(config)})
	}
	fit(memory).report(report, "configMemory", "B", "customer")
	fit(snapshotBytes).report(report, "configSnapshot", "B", "customer")
	fit(change).report(report, "configChange", "µs", "customer")
}

// changeTime returns the mean time of applying one change, in microseconds.
func changeTime(config *state.State) float64 {
	const rounds = 100
	altered := &wire.Change{Body: &wire.Change_Customer{Customer: customer(7)}}
	start := time.Now()
	for range rounds {
		next, err := config.WithChange(altered)
		if err != nil {
			return 0
		}
		config = next
	}
	return float64(time.Since(start).Microseconds()) / rounds
}

func announcement(at int) *wire.Announcement {
	name := "endpoint" + strconv.Itoa(at)
	return &wire.Announcement{
		Node: name, Role: wire.NodeRole_NODE_ROLE_ENDPOINT, Incarnation: 1 << 60, Address: "127.0.0.1:65000", Zone: "zone33",
		Region: "region9", State: wire.NodeState_NODE_STATE_SERVING, Sequence: 1, Lifetime: 30_000,
		Engines: []*wire.EngineInfo{{
			Name: "engine" + strconv.Itoa(at), Kind: wire.Kind_KIND_MODEL, Models: []string{"model1", "model2"},
			Load: &wire.EngineLoad{Engine: "engine" + strconv.Itoa(at), Slots: 8, Running: 6, Rate: 400},
		}},
	}
}

// measureMembership measures the cost of an entry VM's member table per endpoint:
// memory, and processing time of one brief announcement.
func measureMembership(report *figure.Report) {
	var memory, cost []point
	for _, size := range []int{50, 100, 200, 400, 800} {
		table, bytes := measureHeap(func() *member.Table {
			built := member.NewTable()
			for at := range size {
				built.Observe(announcement(at), 0)
			}
			return built
		})
		memory = append(memory, point{float64(size), bytes})
		cost = append(cost, point{float64(size), observeTime(table, size)})
	}
	fit(memory).report(report, "memberMemory", "B", "endpoint")
	fit(cost).report(report, "memberAnnouncement", "µs", "endpoint")
}

// observeTime returns the mean time of one brief announcement, in microseconds.
func observeTime(table *member.Table, size int) float64 {
	const rounds = 20
	start := time.Now()
	for round := range rounds {
		for at := range size {
			brief := member.Brief(announcement(at))
			brief.Sequence = uint64(round) + 2
			table.Observe(brief, 0)
		}
	}
	return float64(time.Since(start).Microseconds()) / float64(rounds*size)
}

// measureRecords reports the encoded sizes of control messages.
func measureRecords(report *figure.Report) {
	full := announcement(12_000)
	numbered := &wire.Numbered{Revision: 1 << 24, Change: &wire.Change{
		CommandId: "01234567890123456789012345", Text: "alter customer customer7000 weight 2", At: 1 << 41,
		Body: &wire.Change_Customer{Customer: customer(7000)},
	}}
	report.Add("scale.announcementBytes", float64(full.SizeVT()), "B")
	report.Add("scale.briefBytes", float64(member.Brief(full).SizeVT()), "B")
	report.Add("scale.changeBytes", float64((&wire.FeedItem{Changes: []*wire.Numbered{numbered}, Revision: 1 << 24}).SizeVT()), "B")
	report.Add("scale.heartbeatBytes", float64((&wire.FeedItem{Revision: 1 << 24, Age: 500}).SizeVT()), "B")
}
