// Package ctrl is the control process: it accepts changes of the configuration
// and feeds them to the other processes.
package ctrl

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/internal/store"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Settings of a control VM.
type Settings struct {
	Node    opts.Node
	Control opts.Control
}

// Control is a running control process.
type Control struct {
	settings Settings
	clock    *clock.Clock
	log      *event.Log
	view     *feed.View
	server   *link.Server

	// mu guards the fields below and is held while the journal syncs. It comes
	// before the view's lock.
	mu      sync.Mutex
	machine *state.Machine
	claims  *claim.Table
	journal *store.Journal
	index   uint64
}

// New starts a control process.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Control, error) {
	journal, entries, err := store.Open(settings.Control.Data)
	if err != nil {
		return nil, err
	}
	server, err := link.Listen(settings.Node.Listen)
	if err != nil {
		return nil, errors.CombineErrors(err, journal.Close())
	}
	control := &Control{
		settings: settings, clock: ticker, log: log, view: feed.NewView(ticker),
		server: server, machine: state.NewMachine(), claims: claim.NewTable(), journal: journal,
	}
	for _, entry := range entries {
		if err := control.apply(entry); err != nil {
			return nil, err
		}
	}
	if err := wire.DRPCRegisterFeed(server.Mux(), feed.NewServer(control.view, ticker)); err != nil {
		return nil, err
	}
	if err := wire.DRPCRegisterOperate(server.Mux(), control); err != nil {
		return nil, err
	}
	if err := wire.DRPCRegisterClaims(server.Mux(), control); err != nil {
		return nil, err
	}
	server.Start()
	log.Write(event.Started, "role", "control", "address", server.Address())
	return control, nil
}

// Address returns the address for other processes.
func (control *Control) Address() string { return control.server.Address() }

func (control *Control) apply(entry *wire.Entry) error {
	control.index = entry.GetIndex()
	if op := entry.GetClaim(); op != nil {
		control.claims.Apply(op)
		return nil
	}
	_, numbered := control.machine.Apply(entry.GetChange())
	if numbered == nil {
		return nil
	}
	return control.view.Apply(&wire.FeedItem{Changes: []*wire.Numbered{numbered}, Revision: numbered.GetRevision()})
}

// propose makes a change durable and applies it.
func (control *Control) propose(change *wire.Change) (*wire.CommandResult, error) {
	control.mu.Lock()
	defer control.mu.Unlock()
	if result, ok := control.machine.Result(change.GetCommandId()); ok {
		return result, nil
	}
	entry := &wire.Entry{Index: control.index + 1, Body: &wire.Entry_Change{Change: change}}
	if err := control.journal.Append(entry); err != nil {
		control.log.Write(event.ProposalFailed, "error", err)
		return nil, err
	}
	control.index = entry.GetIndex()
	result, numbered := control.machine.Apply(change)
	if numbered == nil {
		return result, nil
	}
	return result, control.view.Apply(&wire.FeedItem{Changes: []*wire.Numbered{numbered}, Revision: numbered.GetRevision()})
}

// Close stops serving and closes the journal.
func (control *Control) Close() error {
	control.log.Write(event.Stopping)
	if err := control.server.Close(); err != nil {
		return err
	}
	control.log.Write(event.Stopped)
	return control.journal.Close()
}
