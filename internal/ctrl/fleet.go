package ctrl

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// loadLifetime is how long the last report of a gateway counts. It spans
	// several polls, so that a few may be lost.
	loadLifetime = clock.Second
	// maxControlSources limits how many other control VMs are polled at a time;
	// it covers the largest present deployments.
	maxControlSources = 8
	// maxPollWait caps the long-poll wait that a request may ask for.
	maxPollWait = clock.Second
)

// loadReport is the latest load reported by a gateway, or by a control VM for
// all gateways that report to it.
type loadReport struct {
	poll.Report
	// control is set for the report of a control VM.
	control bool
	at      clock.Millis
}

// ParseSeeds turns seeds into the addresses of control VMs. The port of a seed
// is replaced by that of own, because all control VMs listen on the same port.
func ParseSeeds(seeds []string, own string) ([]string, error) {
	listen, err := netip.ParseAddrPort(own)
	if err != nil {
		return nil, errors.Wrapf(err, "own address %q", own)
	}
	var list []string
	for _, text := range seeds {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			addrPort, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, errors.Newf("setting --seed is %q; allowed is an IP or IP:port", text)
			}
			ip = addrPort.Addr()
		}
		list = append(list, netip.AddrPortFrom(ip, listen.Port()).String())
	}
	return list, nil
}

// membersByAddress returns members whose names are their addresses.
func membersByAddress(addresses []string) []*wire.ControlMember {
	list := make([]*wire.ControlMember, len(addresses))
	for at, address := range addresses {
		list[at] = &wire.ControlMember{Name: address, Address: address}
	}
	return list
}

func newPoller(control *Control, seeds func() []string) *poll.Poller {
	return poll.New(poll.Settings{
		Node: control.settings.Node.Name, Zone: control.settings.Node.Zone, Self: control.advertised(), Control: true,
		Sources: maxControlSources, Seeds: seeds, Report: control.directReport, Board: control.board,
	}, control.view, control.pool, control.clock, control.log)
}

// Poll serves a poll of a gateway or of another control VM.
func (control *Control) Poll(ctx context.Context, request *wire.PollRequest) (*wire.PollReply, error) {
	control.recordPoll(request)
	control.board.Merge(request.GetEvidence())
	position := request.GetPosition()
	evidence := board.Revision{Crashes: request.GetEvidenceRevision(), Limits: request.GetLimitRevision(), Notices: request.GetNoticeRevision()}
	if request.GetIncarnation() != control.incarnation {
		position, evidence = 0, board.Revision{}
	}
	control.waitForUpdate(ctx, request, position, evidence)
	item, _ := control.view.Since(request.GetRevision())
	records, now, _ := control.poller.Since(position)
	reply := &wire.PollReply{Config: item, Incarnation: control.incarnation, Position: now, Leader: control.leaderAddress()}
	instant := control.clock.Now()
	for _, record := range records {
		reply.Endpoints = append(reply.Endpoints, record.Message(instant))
	}
	if !request.GetControl() {
		others := control.reportOfOthers(request.GetNode(), instant)
		reply.Loads, reply.Uses, reply.Gateways = others.Loads, others.Uses, others.Gateways
	}
	reply.Members = control.controlMembers()
	reply.Evidence, _ = control.board.Evidence(evidence)
	return reply, nil
}

// Probe serves a gateway that asks whether it may send a request that may crash an
// endpoint. Only the leader grants it, so that there is one at a time in the fleet.
func (control *Control) Probe(_ context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error) {
	granted := control.IsLeader() && control.board.Probe(crash.Request{Fingerprint: request.GetFingerprint(), Parts: request.GetParts()})
	return &wire.ProbeReply{Granted: granted}, nil
}

// Permit serves a gateway that wants to send a request to an endpoint which names a
// limit.
func (control *Control) Permit(_ context.Context, request *wire.PermitRequest) (*wire.PermitReply, error) {
	if !control.IsLeader() {
		return &wire.PermitReply{}, nil
	}
	endpoint, wait := control.board.Permit(request.GetLimits(), request.GetUrgent())
	return &wire.PermitReply{Decided: true, Endpoint: endpoint, Wait: int64(wait)}, nil
}

// waitForUpdate waits for a new revision, new evidence or an urgent endpoint change, at
// most as long as the request allows. It returns at once if the caller is behind.
func (control *Control) waitForUpdate(ctx context.Context, request *wire.PollRequest, position uint64, evidence board.Revision) {
	_, config := control.view.Since(request.GetRevision())
	records, _, urgent := control.poller.Since(position)
	newEvidence, crashes := control.board.Evidence(evidence)
	if newEvidence != nil {
		return
	}
	if control.view.State().Revision() > request.GetRevision() || position == 0 && len(records) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(clock.Millis(request.GetWait()), maxPollWait).Duration())
	defer cancel()
	select {
	case <-config:
	case <-urgent:
	case <-crashes:
	case <-ctx.Done():
	}
}

func (control *Control) recordPoll(request *wire.PollRequest) {
	if request.GetControl() {
		control.poller.AddMember(request.GetAddress(), request.GetZone())
	}
	control.reportsMu.Lock()
	defer control.reportsMu.Unlock()
	if !request.GetControl() {
		control.spread.Polled(request.GetNode(), request.GetRevision(), control.clock.Now())
	}
	if request.GetGateways() == 0 {
		return
	}
	control.reports[request.GetNode()] = loadReport{
		Report:  poll.Report{Loads: request.GetLoads(), Uses: request.GetUses(), Gateways: request.GetGateways()},
		control: request.GetControl(), at: control.clock.Now(),
	}
}

// reportOfOthers sums the loads of all gateways except the given node, and counts
// all gateways. The count is 0 for unknown until all can have reported to this start of
// the process.
func (control *Control) reportOfOthers(node string, now clock.Millis) poll.Report {
	sum := control.sumReports(now, func(name string, _ loadReport) bool { return name != node })
	if now-control.startedAt < loadLifetime {
		sum.Gateways = 0
	}
	return sum
}

// directReport sums the loads of the gateways that report to this control VM
// themselves, and counts them.
func (control *Control) directReport() poll.Report {
	return control.sumReports(control.clock.Now(), func(_ string, received loadReport) bool { return !received.control })
}

// sumReports adds up the wanted reports. The count of gateways includes all that report
// here directly, and those of wanted control VMs. Expired reports are deleted.
func (control *Control) sumReports(now clock.Millis, wanted func(string, loadReport) bool) poll.Report {
	control.reportsMu.Lock()
	defer control.reportsMu.Unlock()
	gateways := uint32(0)
	loads, uses := map[string]*wire.EndpointLoad{}, map[useKey]*wire.ServiceUse{}
	for name, received := range control.reports {
		if now-received.at > loadLifetime {
			delete(control.reports, name)
			continue
		}
		if !received.control || wanted(name, received) {
			gateways += received.Gateways
		}
		if !wanted(name, received) {
			continue
		}
		for _, load := range received.Loads {
			addLoad(loads, load)
		}
		for _, use := range received.Uses {
			addUse(uses, use)
		}
	}
	return poll.Report{Loads: slices.Collect(maps.Values(loads)), Uses: slices.Collect(maps.Values(uses)), Gateways: gateways}
}

func addLoad(sums map[string]*wire.EndpointLoad, load *wire.EndpointLoad) {
	sum := sums[load.GetId()]
	if sum == nil {
		sum = &wire.EndpointLoad{Id: load.GetId()}
		sums[load.GetId()] = sum
	}
	sum.Running += load.GetRunning()
	sum.Late += load.GetLate()
	sum.Ended += load.GetEnded()
	sum.Took += load.GetTook()
}

// useKey identifies the streams of one level at a service.
type useKey struct {
	service string
	level   uint32
}

func addUse(sums map[useKey]*wire.ServiceUse, use *wire.ServiceUse) {
	key := useKey{use.GetService(), use.GetLevel()}
	sum := sums[key]
	if sum == nil {
		sum = &wire.ServiceUse{Service: key.service, Level: key.level}
		sums[key] = sum
	}
	sum.Streams += use.GetStreams()
}

// controlMembers lists the control VMs by address. Each is named ZONE/ADDRESS; the zone
// is empty and the silence absent if they are not known.
func (control *Control) controlMembers() []*wire.ControlMember {
	now := control.clock.Now()
	byAddress := map[string]*wire.ControlMember{}
	for _, member := range control.status.Load().Members {
		if address := member.GetAddress(); address != "" {
			byAddress[address] = &wire.ControlMember{Name: "/" + address, Address: address}
		}
	}
	for _, known := range control.poller.Controls() {
		byAddress[known.Address] = controlMember(known.Address, known.Zone, now-known.HeardAt)
	}
	own := control.advertised()
	byAddress[own] = controlMember(own, control.settings.Node.Zone, 0)
	return slices.SortedFunc(maps.Values(byAddress), func(first, second *wire.ControlMember) int {
		return cmp.Compare(first.GetAddress(), second.GetAddress())
	})
}

func controlMember(address, zone string, silence clock.Millis) *wire.ControlMember {
	return &wire.ControlMember{Name: zone + "/" + address, Address: address, Silence: new(int64(silence))}
}

// leaderAddress returns the leader's address, or "" if no leader is known.
func (control *Control) leaderAddress() string {
	status := control.status.Load()
	if status.Role == quorum.Leader {
		return control.advertised()
	}
	if status.Leader.Name != "" {
		return addressOf(status.Members, status.Leader)
	}
	// This process may be outside the group, also after it was removed from it.
	return control.poller.Leader()
}

// Endpoints returns the endpoints of a service that are not marked as gone.
func (control *Control) Endpoints(service string) []roster.Record {
	return control.poller.Present(service)
}

// Deployment returns the local configuration of request forwarding, or nil.
func (control *Control) Deployment() *wire.Deployment { return control.view.State().Deployment() }

// IsLeader reports whether this process is the leader and a majority confirmed its
// state within the last election timeout.
func (control *Control) IsLeader() bool {
	return control.status.Load().Role == quorum.Leader && control.view.Age() < control.settings.Control.ElectionTimeout
}

// SetPace tells all gateways the factor by which an endpoint is slower than usual; at most
// 1 if it is not.
func (control *Control) SetPace(endpoint quota.Endpoint, pace float64) {
	control.board.SetPace(endpoint, pace)
}

// Now returns the current time of the process's clock.
func (control *Control) Now() clock.Millis { return control.clock.Now() }
