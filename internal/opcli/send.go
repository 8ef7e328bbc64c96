package opcli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// roundPause is the time between two rounds over the addresses.
const roundPause = 200 * clock.Millis(1)

// client sends commands to the addresses in the settings.
type client struct {
	settings settings
	pool     *link.Pool
	clock    *clock.Clock
}

func newClient(set settings) *client {
	return &client{settings: set, pool: link.NewPool(), clock: clock.NewSystem()}
}

func (client *client) close() {
	// All answers have been read; nothing is lost with the idle connections.
	_ = client.pool.Close()
}

// run sends one command and prints its answer.
func (client *client) run(id, text string, out io.Writer) (int, error) {
	command := &wire.Command{Id: id, Text: text}
	if _, err := query.Parse(text); err != nil {
		return client.print(command, query.Failure(err), out)
	}
	reply, err := client.send(command)
	if err != nil {
		return exitUnavailable, errors.Wrapf(err, "no address answered; send it again with --id %s", id)
	}
	return client.print(command, reply, out)
}

// send tries one address after the other with the same command id, so that a
// lost answer is no reason to do the command twice.
func (client *client) send(command *wire.Command) (*wire.CommandReply, error) {
	var last *wire.CommandReply
	var failure error
	for round := range client.settings.Rounds {
		if round > 0 {
			// The background context never ends, so the pause cannot be cut short.
			_ = client.clock.Sleep(context.Background(), roundPause)
		}
		for _, address := range client.settings.Address {
			reply, err := client.ask(address, command)
			if err != nil {
				failure = errors.Wrapf(err, "address %s", address)
				continue
			}
			if reply.GetCode() != query.CodeUnavailable {
				return reply, nil
			}
			last = reply
		}
	}
	if last != nil {
		last.Error = fmt.Sprintf("%s; send it again with --id %s", last.GetError(), command.GetId())
		return last, nil
	}
	return nil, failure
}

func (client *client) ask(address string, command *wire.Command) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), client.settings.Timeout.Duration())
	defer cancel()
	reply, err := wire.NewDRPCOperateClient(client.pool.Conn(ctx, address)).Execute(ctx, command)
	if err != nil {
		client.pool.Discard(address)
	}
	return reply, err
}
