// Package agent implements the process that runs next to the engine of a rank.
// Through it the coordinator reads the engine's state and sends it orders, from
// the engine's own VM.
package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
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
	engine Engine
	log    *event.Log
}

// New starts an agent that listens on the address of node.
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
	reply, err := agent.engine.Order(ctx, order)
	if reply.GetDone() && order.GetOperation() != wire.RankOrder_OPERATION_PREPARE {
		state, readErr := agent.engine.Read(ctx, &wire.RankRead{})
		if readErr != nil {
			agent.log.Write(event.RankUnread, "error", readErr)
		}
		reply.State = state
	}
	agent.log.Write(event.RankOrdered, "operation", order.GetOperation(), "version", order.GetVersion(), "step", order.GetStep(),
		"epoch", order.GetEpoch(), "expected", order.GetExpected(), "done", reply.GetDone(), "refusal", reply.GetError(), "error", err)
	return reply, err
}

// Close stops the agent.
func (agent *Agent) Close() error {
	agent.log.Write(event.Stopping)
	err := agent.server.Close()
	agent.engine.Close()
	agent.log.Write(event.Stopped)
	return err
}
