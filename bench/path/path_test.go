package path

import (
	"testing"

	"github.com/hibiscuslug/hibiscuslug/bench/small"
	"github.com/hibiscuslug/hibiscuslug/internal/class"
	"github.com/hibiscuslug/hibiscuslug/internal/endpt"
	"github.com/hibiscuslug/hibiscuslug/internal/entry"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// BenchmarkClassify measures the classification of one request by the rules.
func BenchmarkClassify(b *testing.B) {
	config := state.FromSnapshot(&wire.Snapshot{
		Tiers:     []*wire.TierRecord{{Name: "paid", Level: wire.Tier_TIER_PAID}},
		Customers: []*wire.Customer{{Name: "bench", Tier: "paid", TokenHash: class.TokenHash("benchtoken")}},
		Rules:     []*wire.Rule{{Name: "booking", PathPrefix: "/services/desk/book"}, {Name: "quote", PathPrefix: "/v1/", Boost: 1}},
	})
	input := class.Input{Token: "benchtoken", Method: "POST", Path: "/v1/completions", Model: "guide-1", Prompt: `"rail cut list"`}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := class.Classify(config, input); !ok {
			b.Fatal("Classify did not recognize the token")
		}
	}
}

// BenchmarkAnswer measures a request with 16 events. The entry VM, the endpoint
// process, the engine and the client all run in the benchmark's process.
func BenchmarkAnswer(b *testing.B) {
	target := startInProcess(b)
	client := small.NewClient()
	for {
		if _, err := client.Once(target, 0); err == nil {
			break
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := client.Once(target, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// startInProcess starts the request path in this process and returns a request to it.
func startInProcess(b *testing.B) small.Target {
	check := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0"})
	check(err)
	b.Cleanup(func() { _ = model.Close() })
	node := func(name string) opts.Node {
		return opts.Node{Name: name, Zone: "zone1", Listen: "127.0.0.1:0", ShutdownLimit: clock.Second}
	}
	view := feed.NewView(clock.NewSystem())
	check(view.Apply(&wire.FeedItem{Revision: 1, Snapshot: &wire.Snapshot{
		Revision: 1, Tiers: []*wire.TierRecord{{Name: "paid", Level: wire.Tier_TIER_PAID, Patience: 60_000}},
		Customers: []*wire.Customer{{Name: "bench", Tier: "paid", TokenHash: class.TokenHash("benchtoken")}},
	}}, clock.NewSystem().Now()))
	control, err := link.Listen("127.0.0.1:0")
	check(err)
	check(wire.DRPCRegisterFeed(control.Mux(), feed.NewServer(view, clock.NewSystem())))
	control.Start()
	b.Cleanup(func() { _ = control.Close() })
	running, err := entry.New(entry.Settings{Node: node("entry1"), Entry: opts.Entry{
		HTTPListen: "127.0.0.1:0", Control: []string{control.Address()}, MaxBody: 1 << 20, MaxHeader: 16 << 10, MaxConcurrent: 100,
		ReadLimit: clock.Minute, RequestLimit: clock.Minute, SilenceLimit: 10 * clock.Second,
	}}, clock.NewSystem(), event.Discard())
	check(err)
	b.Cleanup(func() { _ = running.Close() })
	endpoint, err := endpt.New(endpt.Settings{Node: node("endpoint1"), Endpoint: opts.Endpoint{
		Entry: []string{running.Address()}, Engine: []string{"model,engine1," + model.URL() + ",guide-1"},
		Slots: 8, Lifetime: 10 * clock.Second, AnnounceEvery: clock.Second,
	}}, clock.NewSystem(), event.Discard())
	check(err)
	b.Cleanup(func() { _ = endpoint.Close() })
	return small.Target{URL: "http://" + running.HTTPAddress() + "/v1/completions", Body: body(1, 16)}
}
