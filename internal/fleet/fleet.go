// Package fleet runs a small deployment of three availability zones with fake
// engines in one process, for demonstration without any setup.
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

	modelName   = "guide-1"
	firstToken  = 20 * time.Millisecond
	interval    = 4 * time.Millisecond
	bookingTime = 15 * time.Millisecond

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

// process is a running role whose applied configuration can be watched.
type process interface {
	Address() string
	View() *feed.View
	Close() error
}

// member is one process of the fleet.
type member struct {
	name, role, zone string
	process          process
}

// Fleet is a running embedded fleet.
type Fleet struct {
	settings opts.Embedded
	data     string
	members  []member
	// HTTP holds the base URLs of the entry VMs for callers.
	HTTP    []string
	entries []string
	closers []func() error
}

// New starts a fleet. If it fails, it stops all processes already started.
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

// startControls starts the control group and returns its addresses. The ports
// are reserved first, because each member is started with the addresses of all.
func (fleet *Fleet) startControls() ([]string, error) {
	addresses, err := reserveAddresses(controlVMs)
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

// reserveAddresses returns free loopback addresses. Another process can take one
// before it is used; the start then fails with an error.
func reserveAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
		// All listeners stay open until the return, so that the ports differ.
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
// endpoint process also serves the order desk, the last one the plain service.
// Each announces itself to every entry VM, so that each zone can use every engine.
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
		engines, err = fleet.startDesk(engines, "order,desk1,%s,desk")
	case zones*endpointsPerZone - 1:
		engines, err = fleet.startDesk(engines, "plain,stock1,%s,stock")
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

func (fleet *Fleet) startDesk(engines []string, format string) ([]string, error) {
	desk, err := fake.NewDesk("127.0.0.1:0", bookingTime)
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

// Address returns the address of the first entry VM for hibctl.
func (fleet *Fleet) Address() string { return fleet.entries[0] }

// Entries returns the addresses of the entry VMs for hibctl.
func (fleet *Fleet) Entries() []string { return fleet.entries }

// WaitReady waits until every entry VM lists every endpoint process as serving.
func (fleet *Fleet) WaitReady(ctx context.Context) error {
	operator := newOperator(fleet.entries)
	defer operator.close()
	for {
		ready, err := operator.endpoints(ctx)
		if err == nil && ready == zones*endpointsPerZone {
			return nil
		}
		if err := clock.NewSystem().Sleep(ctx, 20); err != nil {
			return errors.Wrapf(err, "%d of %d endpoint processes are serving at all entry VMs", ready, zones*endpointsPerZone)
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
