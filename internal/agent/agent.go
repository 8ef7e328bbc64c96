// Package agent is the process beside a rank's engine. It lets the coordinator
// read the engine and give it orders from the engine's own VM.
package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Engine is the engine on the same VM.
type Engine interface {
	Read(ctx context.Context, read *wire.RankRead) (*wire.RankState, error)
	Order(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, error)
	Close()
}

// Agent is a running agent process.
type Agent struct {
	server *link.Server
	engine Engine
	log    *event.Log
}

// New starts an agent.
func New(node opts.Node, engine Engine, log *event.Log) (*Agent, error) {
	server, err := link.Listen(node.Listen)
	if err != nil {
		return nil, err
	}
	agent := &Agent{server: server, engine: engine, log: log}
	if err := wire.DRPCRegisterRank(server.Mux(), agent); err != nil {
		return nil, errors.CombineErrors(err, server.Close())
	}
	server.Start()
	log.Write(event.Started, "role", "agent", "address", agent.Address())
	return agent, nil
}

// Address returns the address for other processes.
func (agent *Agent) Address() string { return agent.server.Address() }

// Read returns the engine's state.
func (agent *Agent) Read(ctx context.Context, read *wire.RankRead) (*wire.RankState, error) {
	return agent.engine.Read(ctx, read)
}

// Order passes an order on. The engine's state after it saves the coordinator,
// which may have stopped the group, another read of all ranks.
func (agent *Agent) Order(ctx context.Context, order *wire.RankOrder) (*wire.RankReply, error) {
	reply, err := agent.engine.Order(ctx, order)
	if reply.GetDone() && order.GetOperation() != wire.RankOrder_OPERATION_PREPARE {
		state, failure := agent.engine.Read(ctx, &wire.RankRead{})
		if failure != nil {
			agent.log.Write(event.RankUnread, "error", failure)
		}
		reply.State = state
	}
	agent.log.Write(event.RankOrdered, "operation", order.GetOperation(), "version", order.GetVersion(), "step", order.GetStep(),
		"epoch", order.GetEpoch(), "expected", order.GetExpected(), "done", reply.GetDone(), "refusal", reply.GetError(), "error", err)
	return reply, err
}

// Close stops serving.
func (agent *Agent) Close() error {
	agent.log.Write(event.Stopping)
	err := agent.server.Close()
	agent.engine.Close()
	agent.log.Write(event.Stopped)
	return err
}
