package agent_test

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/agent"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Agent")
}

// script holds what the engine does with each send of one order.
type script struct {
	Name string `json:"name"`
	// Sends holds "silent", "fail", "refuse" or "done" for each send.
	Sends []string `json:"sends"`
	// Received is the number of sends that the engine gets.
	Received int    `json:"received"`
	Done     bool   `json:"done"`
	Refusal  string `json:"refusal"`
	Error    string `json:"error"`
}

// engine answers orders by its script.
type engine struct {
	mu       sync.Mutex
	sends    []string
	received int
}

func (engine *engine) Close() {}

func (engine *engine) Read(context.Context, *wire.RankRead) (*wire.RankState, error) {
	return &wire.RankState{Step: 7}, nil
}

func (engine *engine) Order(ctx context.Context, _ *wire.RankOrder) (*wire.RankReply, error) {
	engine.mu.Lock()
	does := "silent"
	if engine.received < len(engine.sends) {
		does = engine.sends[engine.received]
	}
	engine.received++
	engine.mu.Unlock()
	switch does {
	case "done":
		return &wire.RankReply{Done: true}, nil
	case "refuse":
		return &wire.RankReply{Error: "does not fit"}, nil
	case "fail":
		return nil, errors.New("connection refused")
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a group that stays held because engines leave orders unanswered:
// the order went out once in each round of the coordinator, with a timeout that was
// far longer than an answer takes.
var _ = Describe("an order to an engine", func() {
	text, err := os.ReadFile("testdata/orders.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			target := &engine{sends: script.Sends}
			running, err := agent.New(opts.Node{Name: "agent", Listen: "127.0.0.1:0"}, target, clock.NewSystem(), event.Discard())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(running.Close)
			reply, err := running.Order(context.Background(), &wire.RankOrder{Operation: wire.RankOrder_OPERATION_ARM, Version: 3, Step: 9})
			if script.Error == "" {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(ContainSubstring(script.Error)))
			}
			Expect(reply.GetDone()).To(Equal(script.Done))
			Expect(reply.GetError()).To(Equal(script.Refusal))
			if script.Done {
				Expect(reply.GetState().GetStep()).To(BeEquivalentTo(7))
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			Expect(target.received).To(Equal(script.Received))
		})
	}
})
