// Package agent implements the process that runs next to the engine of a rank.
// Through it the coordinator reads the engine's state and sends it orders, from
// the engine's own VM.
package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// orderTimeout bounds the time for an order with all its sends. It is below the
	// time for which the coordinator waits.
	orderTimeout = 400 * clock.Millis(1)
	// maxSends bounds the sends of an order; with half of them unanswered, one in 250
	// orders has no answer.
	maxSends = 8
)

// Engine is a client of the engine on the same VM.
type Engine interface {
	Read(ctx context.Context, read *wire.RankRead) (*wire.RankState, error)
	Order(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, error)
	Close()
}

// Agent is a running agent process.
type Agent struct {
	server *link.Server
	guard  *guard.Guard
	engine Engine
	clock  *clock.Clock
	log    *event.Log

	// mu guards the fields below.
	mu sync.Mutex
	// latency is the time that the engine took for its latest answers.
	latency latency
}

// New starts an agent that listens on the address of node.
func New(node opts.Node, engine Engine, ticker *clock.Clock, log *event.Log) (*Agent, error) {
	server, err := link.Listen(node.Listen)
	if err != nil {
		return nil, err
	}
	bounds := guard.New(guard.Machine(node), ticker, log)
	server.Bound(bounds, guard.PeersShare)
	agent := &Agent{server: server, guard: bounds, engine: engine, clock: ticker, log: log}
	if err := wire.DRPCRegisterRank(server.Mux(), agent); err != nil {
		return nil, errors.CombineErrors(err, server.Close())
	}
	server.Start()
	log.Write(event.Started, "role", "agent", "address", agent.Address())
	return agent, nil
}

// Address returns the address at which other processes reach the agent.
func (agent *Agent) Address() string { return agent.server.Address() }

// Read returns the engine's state.
func (agent *Agent) Read(ctx context.Context, read *wire.RankRead) (*wire.RankState, error) {
	return agent.engine.Read(ctx, read)
}

// Order forwards an order to the engine. Unless the order is a prepare, the
// reply includes the engine's state after it. This saves the coordinator
// another read of all ranks while the group may be held.
func (agent *Agent) Order(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, error) {
	reply, sends, err := agent.send(ctx, order)
	if reply.GetDone() && order.GetOperation() != wire.RankOrder_OPERATION_PREPARE {
		state, readErr := agent.engine.Read(ctx, &wire.RankRead{})
		if readErr != nil {
			agent.log.Write(event.RankUnread, "error", readErr)
		}
		reply.State = state
	}
	agent.log.Write(event.RankOrdered, "operation", order.GetOperation(), "version", order.GetVersion(), "step", order.GetStep(),
		"epoch", order.GetEpoch(), "expected", order.GetExpected(), "done", reply.GetDone(), "refusal", reply.GetError(), "sends", sends, "error", err)
	return reply, err
}

// send sends an order to the engine until it answers, and returns how often it was
// sent. An engine may leave an order unanswered and carry it out seconds later; a
// group is held meanwhile, and a coordinator that repeats the order from another VM
// loses much more time. Sending it again is safe, since an engine that carries out
// the same order twice refuses or ignores the second one.
func (agent *Agent) send(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	for sends := 1; ; sends++ {
		began := agent.clock.Now()
		reply, err := agent.sendOnce(ctx, order)
		if err == nil {
			agent.answered(agent.clock.Now() - began)
			return reply, sends, nil
		}
		if ctx.Err() != nil || sends == maxSends {
			return nil, sends, err
		}
	}
}

func (agent *Agent) sendOnce(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, error) {
	agent.mu.Lock()
	timeout := agent.latency.timeout()
	agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return agent.engine.Order(ctx, order)
}

func (agent *Agent) answered(took clock.Millis) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	agent.latency = agent.latency.with(took)
}

// Close stops the agent.
func (agent *Agent) Close() error {
	agent.log.Write(event.Stopping)
	err := agent.server.Close()
	agent.guard.Close()
	agent.engine.Close()
	agent.log.Write(event.Stopped)
	return err
}
