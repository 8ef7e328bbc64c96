package ctrl

import (
	"cmp"
	"context"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// loadLifetime is the time after which a gateway that has not polled no
	// longer counts; several polls may be lost before.
	loadLifetime = clock.Second
	// otherControls bounds how many other control VMs are asked at a time; it
	// covers the largest deployments of today.
	otherControls = 8
	// mostWait bounds how long a poll may be held back, whatever it asks for.
	mostWait = clock.Second
)

// report is the load that a gateway reported, or a control VM for its gateways.
type report struct {
	loads    []*wire.EndpointLoad
	gateways uint32
	control  bool
	at       clock.Millis
}

// ParseSeeds turns seeds into the addresses for other processes, which all
// listen on the same port.
func ParseSeeds(seeds []string, own string) ([]string, error) {
	listen, err := netip.ParseAddrPort(own)
	if err != nil {
		return nil, errors.Wrapf(err, "own address %q", own)
	}
	var list []string
	for _, text := range seeds {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			both, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, errors.Newf("setting --seed is %q; allowed is an IP or IP:port", text)
			}
			ip = both.Addr()
		}
		list = append(list, netip.AddrPortFrom(ip, listen.Port()).String())
	}
	return list, nil
}

// byAddress makes members that are named by their addresses.
func byAddress(addresses []string) []*wire.ControlMember {
	list := make([]*wire.ControlMember, len(addresses))
	for at, address := range addresses {
		list[at] = &wire.ControlMember{Name: address, Address: address}
	}
	return list
}

func newFleet(control *Control, seeds func() []string) *poll.Poller {
	return poll.New(poll.Settings{
		Node: control.settings.Node.Name, Zone: control.settings.Node.Zone, Self: control.advertised(), Control: true,
		Sources: otherControls, Seeds: seeds, Loads: control.direct,
	}, control.view, control.pool, control.clock, control.log)
}

// Poll answers a gateway or another control VM.
func (control *Control) Poll(ctx context.Context, request *wire.PollRequest) (*wire.PollReply, error) {
	control.note(request)
	position := request.GetPosition()
	if request.GetIncarnation() != control.incarnation {
		position = 0
	}
	control.hold(ctx, request, position)
	item, _ := control.view.Since(request.GetRevision())
	records, now, _ := control.fleet.Since(position)
	reply := &wire.PollReply{Config: item, Incarnation: control.incarnation, Position: now, Leader: control.leader()}
	instant := control.clock.Now()
	for _, record := range records {
		reply.Endpoints = append(reply.Endpoints, record.Message(instant))
	}
	if !request.GetControl() {
		reply.Loads, reply.Gateways = control.others(request.GetNode(), instant)
	}
	reply.Members = control.addresses()
	return reply, nil
}

// hold waits until there is something that cannot wait for the next poll.
func (control *Control) hold(ctx context.Context, request *wire.PollRequest, position uint64) {
	_, config := control.view.Since(request.GetRevision())
	records, _, urgent := control.fleet.Since(position)
	if control.view.State().Revision() > request.GetRevision() || position == 0 && len(records) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(clock.Millis(request.GetWait()), mostWait).Duration())
	defer cancel()
	select {
	case <-config:
	case <-urgent:
	case <-ctx.Done():
	}
}

func (control *Control) note(request *wire.PollRequest) {
	if request.GetControl() {
		control.fleet.AddMember(request.GetAddress(), request.GetZone())
	}
	if request.GetGateways() == 0 {
		return
	}
	control.reportsMu.Lock()
	defer control.reportsMu.Unlock()
	control.reports[request.GetNode()] = report{
		loads: request.GetLoads(), gateways: request.GetGateways(), control: request.GetControl(), at: control.clock.Now(),
	}
}

// others sums the loads of all gateways but one.
func (control *Control) others(node string, now clock.Millis) ([]*wire.EndpointLoad, uint32) {
	return control.sum(now, func(name string, _ report) bool { return name != node })
}

// direct sums the loads of the gateways that report to this control VM.
func (control *Control) direct() ([]*wire.EndpointLoad, int) {
	loads, gateways := control.sum(control.clock.Now(), func(_ string, known report) bool { return !known.control })
	return loads, int(gateways)
}

// sum adds up reports, and counts the gateways of all.
func (control *Control) sum(now clock.Millis, wanted func(string, report) bool) ([]*wire.EndpointLoad, uint32) {
	control.reportsMu.Lock()
	defer control.reportsMu.Unlock()
	sums, gateways := map[string]uint32{}, uint32(0)
	for name, known := range control.reports {
		if now-known.at > loadLifetime {
			delete(control.reports, name)
			continue
		}
		if !known.control || wanted(name, known) {
			gateways += known.gateways
		}
		if !wanted(name, known) {
			continue
		}
		for _, load := range known.loads {
			sums[load.GetId()] += load.GetRunning()
		}
	}
	list := make([]*wire.EndpointLoad, 0, len(sums))
	for id, running := range sums {
		list = append(list, &wire.EndpointLoad{Id: id, Running: running})
	}
	return list, gateways
}

// addresses lists the control VMs, each under ZONE/ADDRESS where the zone is known.
func (control *Control) addresses() []*wire.ControlMember {
	zones := control.fleet.Members()
	zones[control.advertised()] = control.settings.Node.Zone
	for _, member := range control.status.Load().Members {
		if _, ok := zones[member.GetAddress()]; !ok && member.GetAddress() != "" {
			zones[member.GetAddress()] = ""
		}
	}
	list := make([]*wire.ControlMember, 0, len(zones))
	for address, zone := range zones {
		list = append(list, &wire.ControlMember{Name: zone + "/" + address, Address: address})
	}
	slices.SortFunc(list, func(first, second *wire.ControlMember) int {
		return cmp.Compare(first.GetAddress(), second.GetAddress())
	})
	return list
}

// leader returns the leader's address, or an empty text.
func (control *Control) leader() string {
	status := control.status.Load()
	if status.Role == quorum.Leader {
		return control.advertised()
	}
	if status.Leader.Name != "" {
		return addressOf(status.Members, status.Leader)
	}
	if len(status.Members) == 0 {
		return control.fleet.Leader()
	}
	return ""
}

// Heard takes what an endpoint says of itself.
func (control *Control) Heard(record roster.Record) { control.fleet.PutEndpoint(record) }

// Endpoints returns the endpoints of a service that are not gone.
func (control *Control) Endpoints(service string) []roster.Record {
	return control.fleet.Present(service)
}

// Deployment returns the configuration of request forwarding known here, or nil.
func (control *Control) Deployment() *wire.Deployment { return control.view.State().Deployment() }

// Leads tells whether this process leads, as a majority confirmed lately.
func (control *Control) Leads() bool {
	return control.status.Load().Role == quorum.Leader && control.view.Age() < control.settings.Control.ElectionTimeout
}

// Now returns the instant of the process's clock.
func (control *Control) Now() clock.Millis { return control.clock.Now() }
