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
	// readTimeout limits the wait for confirmation that a configuration is the
	// newest. Callers try another control VM after one second.
	readTimeout      = 900 * clock.Millis(1)
	readPollInterval = 20 * clock.Millis(1)
)

var (
	errNotConfirmed = errors.New("no majority of the control VMs confirmed which configuration is the newest")
	errNoDeployment = errors.New("no configuration has been accepted yet")
)

// Deploy stores a configuration of request forwarding durably. It returns nil
// once this configuration, or one of the same or a higher version, is accepted.
func (control *Control) Deploy(ctx context.Context, version uint64, document []byte) error {
	if current := control.view.State().Deployment(); current != nil && current.GetVersion() >= version {
		return nil
	}
	deployment, err := state.NewDeployment(version, document)
	if err != nil {
		return err
	}
	sum := fnv.New64a()
	// Writing to a hash never fails.
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

// Deployed returns the newest configuration. It is a linearizable read: a
// majority confirms the configuration after the call began.
func (control *Control) Deployed(ctx context.Context) ([]byte, error) {
	if err := control.confirm(ctx); err != nil {
		return nil, err
	}
	current := control.view.State().Deployment()
	if current == nil {
		return nil, errNoDeployment
	}
	return control.documents.read(current, control.clock.Now())
}

// confirm waits until a majority has confirmed the local configuration at a
// time after the call began.
func (control *Control) confirm(ctx context.Context) error {
	began := control.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	for control.view.Confirmed() < began {
		if leader := control.leaderAddress(); leader != "" && control.status.Load().Role != quorum.Leader {
			// If the poll fails, the confirmation time stays old and the loop retries.
			_ = control.poller.PollOnce(ctx, leader)
		}
		if control.view.Confirmed() >= began {
			break
		}
		if control.clock.Sleep(ctx, readPollInterval) != nil {
			return errNotConfirmed
		}
	}
	return nil
}
