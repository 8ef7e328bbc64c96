package coord

import (
	"context"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/swap"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// forceRelease ends a hold when the agent of a rank does not answer: a hold
// does not expire, and the group makes no pass until it ends. It reads the
// ranks that are missing in states from their engines and sends the order to
// the engine itself. A call to an engine from another VM costs more than one
// through the agent beside the engine, and the state that it reads may be some
// hundred milliseconds old, so nothing else makes such calls.
func (coordinator *Coordinator) forceRelease(ctx context.Context, group *group, ranks []roster.Record, states []*wire.RankState) {
	if !group.swap.Holds() || coordinator.settings.Engine == nil || !coordinator.settings.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	unread := 0
	for at, state := range states {
		if state != nil {
			continue
		}
		unread++
		var err error
		if states[at], err = coordinator.readEngine(ctx, ranks[at].Address); err != nil {
			// An empty state counts as a rank that is not armed.
			states[at] = &wire.RankState{}
			coordinator.log.Write(event.GroupUnread, "group", group.name, "error", err)
		}
	}
	send, ok := group.swap.ForceRelease(rankStates(states))
	if !ok {
		return
	}
	done, err := coordinator.orderEngine(ctx, ranks[send.Rank].Address, send.Order, states[send.Rank])
	if done {
		group.swap.Released()
	}
	coordinator.log.Write(event.HoldEnded, "group", group.name, "rank", send.Rank, "version", group.version, "epoch", group.epoch,
		"unread", unread, "done", done, "error", err)
}

func (coordinator *Coordinator) readEngine(ctx context.Context, address string) (*wire.RankState, error) {
	engine := coordinator.settings.Engine(address)
	defer engine.Close()
	return engine.Read(ctx, &wire.RankRead{})
}

func (coordinator *Coordinator) orderEngine(ctx context.Context, address string, order swap.Order, state *wire.RankState) (bool, error) {
	engine := coordinator.settings.Engine(address)
	defer engine.Close()
	request := orderRequest(order, nil)
	request.Epoch, request.Expected = state.GetEpoch(), state.GetSequence()
	reply, err := engine.Order(ctx, request)
	return reply.GetDone(), err
}
