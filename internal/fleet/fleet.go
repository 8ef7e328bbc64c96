// Package fleet runs a small system of three availability zones in one
// process, with fake engines: a first look that needs nothing else.
package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/endpt"
	"github.com/hibiscuslug/hibiscuslug/internal/entry"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	zones            = 3
	endpointsPerZone = 2
	controlVMs       = 3
	slots            = 8

	modelName  = "guide-1"
	firstToken = 20 * time.Millisecond
	interval   = 4 * time.Millisecond
	bookTime   = 15 * time.Millisecond

	shutdownLimit   = 5 * clock.Second
	silenceLimit    = 1500 * clock.Millis(1)
	requestLimit    = clock.Minute
	announceEvery   = clock.Second
	lifetime        = 3 * clock.Second
	electionTimeout = 600 * clock.Millis(1)
	commitLimit     = 2 * clock.Second
	snapshotBytes   = 8 << 20

	maxBody, maxHeader, maxConcurrent = 1 << 20, 16 << 10, 10_000
)

// process is a member of the fleet whose configuration can be watched.
type process interface {
	Address() string
	View() *feed.View
	Close() error
}

type member struct {
	name, role, zone string
	process          process
}

// Fleet is a running embedded fleet.
type Fleet struct {
	settings opts.Embedded
	data     string
	members  []member
	// HTTP lists the entry VMs' addresses for callers.
	HTTP    []string
	entries []string
	closers []func() error
}

// New starts a fleet. After an error, what was started has been stopped.
func New(settings opts.Embedded) (*Fleet, error) {
	fleet := &Fleet{settings: settings}
	if err := fleet.start(); err != nil {
		return nil, errors.CombineErrors(err, fleet.Close())
	}
	return fleet, nil
}

func (fleet *Fleet) start() error {
	fleet.data = fleet.settings.FleetData
	if fleet.data == "" {
		folder, err := os.MkdirTemp("", "hibiscuslug-embedded-")
		if err != nil {
			return err
		}
		fleet.data = folder
		fleet.closers = append(fleet.closers, func() error { return os.RemoveAll(folder) })
	}
	controls, err := fleet.startControls()
	if err != nil {
		return err
	}
	for zone := range zones {
		if err := fleet.startEntry(zone, controls); err != nil {
			return err
		}
	}
	for number := range zones * endpointsPerZone {
		if err := fleet.startEndpoint(number); err != nil {
			return err
		}
	}
	return nil
}

// startControls starts the control group. Its members must know each other's
// addresses, so ports are reserved first.
func (fleet *Fleet) startControls() ([]string, error) {
	addresses, err := reserve(controlVMs)
	if err != nil {
		return nil, err
	}
	var group []string
	for number, address := range addresses {
		group = append(group, newNode("control", number, number%zones).Name+"@"+address)
	}
	for number, address := range addresses {
		node := newNode("control", number, number%zones)
		node.Listen = address
		running, err := ctrl.New(ctrl.Settings{Node: node, Control: opts.Control{
			Data: filepath.Join(fleet.data, node.Name), Group: group, ElectionTimeout: electionTimeout,
			CommitLimit: commitLimit, SnapshotBytes: snapshotBytes,
		}}, clock.NewSystem(), event.Discard())
		if err != nil {
			return nil, err
		}
		fleet.add(node, "control", running)
	}
	return addresses, nil
}

// reserve returns free addresses. Another process can take one before it is
// used; then the start fails and says so.
func reserve(count int) ([]string, error) {
	var addresses []string
	for range count {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
		// All ports are held until the last one is known, so that they differ.
		defer func() { _ = listener.Close() }()
	}
	return addresses, nil
}

func (fleet *Fleet) startEntry(zone int, controls []string) error {
	node := newNode("entry", zone, zone)
	listen := "127.0.0.1:0"
	if zone == 0 {
		listen = fleet.settings.FleetHTTP
	}
	running, err := entry.New(entry.Settings{Node: node, Entry: opts.Entry{
		HTTPListen: listen, Control: controls, Peer: fleet.entries, MaxBody: maxBody, MaxHeader: maxHeader,
		MaxConcurrent: maxConcurrent, RequestLimit: requestLimit, SilenceLimit: silenceLimit,
	}}, clock.NewSystem(), event.Discard())
	if err != nil {
		return err
	}
	fleet.add(node, "entry", running)
	fleet.entries = append(fleet.entries, running.Address())
	fleet.HTTP = append(fleet.HTTP, "http://"+running.HTTPAddress())
	return nil
}

// startEndpoint starts an endpoint process with a fake model engine. The first
// one also stands before the order desk, the last one before the plain service.
// All announce to every entry VM, so that each zone can use every engine.
func (fleet *Fleet) startEndpoint(number int) error {
	node := newNode("endpoint", number, number%zones)
	model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0", FirstToken: firstToken, Interval: interval})
	if err != nil {
		return err
	}
	fleet.closers = append(fleet.closers, model.Close)
	engines := []string{fmt.Sprintf("model,engine%d,%s,%s", number+1, model.URL(), modelName)}
	switch number {
	case 0:
		engines, err = fleet.addDesk(engines, "order,desk1,%s,desk")
	case zones*endpointsPerZone - 1:
		engines, err = fleet.addDesk(engines, "plain,stock1,%s,stock")
	}
	if err != nil {
		return err
	}
	running, err := endpt.New(endpt.Settings{Node: node, Endpoint: opts.Endpoint{
		Entry: fleet.entries, Engine: engines, Slots: slots, AnnounceEvery: announceEvery, Lifetime: lifetime,
	}}, clock.NewSystem(), event.Discard())
	if err != nil {
		return err
	}
	fleet.add(node, "endpoint", running)
	return nil
}

func (fleet *Fleet) addDesk(engines []string, format string) ([]string, error) {
	desk, err := fake.NewDesk("127.0.0.1:0", bookTime)
	if err != nil {
		return nil, err
	}
	fleet.closers = append(fleet.closers, desk.Close)
	return append(engines, fmt.Sprintf(format, desk.URL())), nil
}

func newNode(role string, number, zone int) opts.Node {
	return opts.Node{
		Name: fmt.Sprintf("%s%d", role, number+1), Zone: fmt.Sprintf("zone%d", zone+1), Region: "region1",
		Listen: "127.0.0.1:0", ShutdownLimit: shutdownLimit,
	}
}

func (fleet *Fleet) add(node opts.Node, role string, running process) {
	fleet.members = append(fleet.members, member{name: node.Name, role: role, zone: node.Zone, process: running})
	fleet.closers = append(fleet.closers, running.Close)
}

// Address returns the first entry VM's address for hibctl.
func (fleet *Fleet) Address() string { return fleet.entries[0] }

// Entries returns the entry VMs' addresses for hibctl.
func (fleet *Fleet) Entries() []string { return fleet.entries }

// WaitReady waits until every entry VM can be asked for every endpoint process.
func (fleet *Fleet) WaitReady(ctx context.Context) error {
	operator := newOperator(fleet.entries)
	defer operator.close()
	for {
		ready, err := operator.endpoints(ctx)
		if err == nil && ready == zones*endpointsPerZone {
			return nil
		}
		if err := clock.NewSystem().Sleep(ctx, 20); err != nil {
			return errors.Wrapf(err, "%d of %d endpoint processes are known to all entry VMs", ready, zones*endpointsPerZone)
		}
	}
}

// Close stops everything in the reverse order of its start and removes the
// temporary data folder.
func (fleet *Fleet) Close() error {
	var failure error
	for at := len(fleet.closers) - 1; at >= 0; at-- {
		failure = errors.CombineErrors(failure, fleet.closers[at]())
	}
	fleet.closers = nil
	return failure
}
