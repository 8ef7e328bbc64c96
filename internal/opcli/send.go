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

// roundPause is the pause between two rounds of trying the addresses.
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
	// All replies have been read, so an error of closing idle connections does not matter.
	_ = client.pool.Close()
}

// run sends one command and prints its reply.
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
// retry after a lost reply does not run the command twice.
func (client *client) send(command *wire.Command) (*wire.CommandReply, error) {
	var unavailable *wire.CommandReply
	var failure error
	for round := range client.settings.Rounds {
		if round > 0 {
			// The background context never ends, so the pause cannot be cut short.
			_ = client.clock.Sleep(context.Background(), roundPause)
		}
		for _, address := range client.settings.Address {
			reply, err := client.execute(address, command)
			if err != nil {
				failure = errors.Wrapf(err, "address %s", address)
				continue
			}
			if reply.GetCode() != query.CodeUnavailable {
				return reply, nil
			}
			unavailable = reply
		}
	}
	if unavailable != nil {
		unavailable.Error = fmt.Sprintf("%s; send it again with --id %s", unavailable.GetError(), command.GetId())
		return unavailable, nil
	}
	return nil, failure
}

func (client *client) execute(address string, command *wire.Command) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), client.settings.Timeout.Duration())
	defer cancel()
	reply, err := wire.NewDRPCOperateClient(client.pool.Conn(ctx, address)).Execute(ctx, command)
	if err != nil {
		client.pool.Discard(address)
	}
	return reply, err
}
