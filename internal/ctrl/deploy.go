package ctrl

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// readLimit bounds the wait for proof that a configuration is the newest;
	// callers try another control VM after a second.
	readLimit = 900 * clock.Millis(1)
	readPoll  = 20 * clock.Millis(1)
)

var (
	errNotSure      = errors.New("this control VM cannot be sure which configuration is the newest")
	errNoDeployment = errors.New("no configuration was accepted yet")
)

// Deploy makes a configuration of request forwarding durable. It returns nil
// once this configuration, or one of the same or a higher version, is accepted.
func (control *Control) Deploy(ctx context.Context, version uint64, document []byte) error {
	if held := control.view.State().Deployment(); held != nil && held.GetVersion() >= version {
		return nil
	}
	deployment, err := state.NewDeployment(version, document)
	if err != nil {
		return err
	}
	sum := fnv.New64a()
	// A hash never fails to write.
	_, _ = sum.Write(document)
	reply, err := control.Execute(ctx, &wire.Command{
		Id: fmt.Sprintf("deployment-%d-%x", version, sum.Sum64()),
		Change: &wire.Change{Body: &wire.Change_Deployment{
			Deployment: deployment,
		}},
	})
	if err != nil {
		return err
	}
	switch reply.GetCode() {
	case "":
		control.log.Write(event.DeploymentAccepted, "version", version, "bytes", len(document), "revision", reply.GetRevision())
		return nil
	case state.CodeConflict:
		// A configuration of the same or a higher version is accepted.
		return nil
	}
	control.log.Write(event.DeploymentRefused, "version", version, "code", reply.GetCode(), "error", reply.GetError())
	return errors.New(reply.GetError())
}

// Deployed returns the newest configuration, proven to be so after the call began.
func (control *Control) Deployed(ctx context.Context) ([]byte, error) {
	if err := control.confirm(ctx); err != nil {
		return nil, err
	}
	held := control.view.State().Deployment()
	if held == nil {
		return nil, errNoDeployment
	}
	return state.Document(held)
}

// confirm waits until a majority stands behind the configuration known here, at
// an instant after the call began.
func (control *Control) confirm(ctx context.Context) error {
	began := control.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readLimit.Duration())
	defer cancel()
	for control.view.Confirmed() < began {
		if leader := control.leader(); leader != "" && control.status.Load().Role != quorum.Leader {
			// A failure shows by the age that stays too high.
			_ = control.fleet.PollOnce(ctx, leader)
		}
		if control.view.Confirmed() >= began {
			break
		}
		if control.clock.Sleep(ctx, readPoll) != nil {
			return errNotSure
		}
	}
	return nil
}
