package procs

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const zoneCount = 3

// SiteSettings configure a Site.
type SiteSettings struct {
	Folder    string
	Control   int
	Entries   int
	Endpoints int
	// Slots is the number of concurrent requests per engine.
	Slots int
	// Model holds arguments for the fake model engines.
	Model []string
	// EntryExtra and EndpointExtra hold additional arguments.
	EntryExtra    []string
	EndpointExtra []string
}

// Site is a deployment of real processes in three zones: a control group, entry
// VMs with fixed addresses, and endpoint processes with a fake model engine
// each. The engines serve the model "guide-1".
type Site struct {
	Group     *Group
	settings  SiteSettings
	entries   []*siteEntry
	endpoints []*Process
	models    []*Process
}

type siteEntry struct {
	name, address, http string
	process             *Process
}

// NewSite starts a site. If an error is returned with a site, the caller must
// close it.
func NewSite(settings SiteSettings) (*Site, error) {
	site := &Site{settings: settings}
	group, err := NewGroup(filepath.Join(settings.Folder, "control"), settings.Control)
	if err != nil {
		return nil, err
	}
	site.Group = group
	if err := group.StartAll(); err != nil {
		return site, err
	}
	for at := range settings.Entries {
		address, err := FreeAddress()
		if err != nil {
			return site, err
		}
		http, err := FreeAddress()
		if err != nil {
			return site, err
		}
		site.entries = append(site.entries, &siteEntry{name: fmt.Sprintf("entry%d", at+1), address: address, http: http})
	}
	if err := site.startAll(settings.Entries, site.StartEntry); err != nil {
		return site, err
	}
	site.models, site.endpoints = make([]*Process, settings.Endpoints), make([]*Process, settings.Endpoints)
	return site, site.startAll(settings.Endpoints, site.StartEndpoint)
}

// startAll starts a number of members concurrently.
func (site *Site) startAll(count int, start func(int) error) error {
	starting := pool.New().WithErrors()
	for at := range count {
		starting.Go(func() error { return start(at) })
	}
	return starting.Wait()
}

func zone(at int) string { return fmt.Sprintf("zone%d", at%zoneCount+1) }

// StartEntry starts an entry VM or restarts it at the same addresses.
func (site *Site) StartEntry(at int) error {
	entry := site.entries[at]
	arguments := []string{"entry", "--name", entry.name, "--zone", zone(at), "--listen", entry.address, "--http-listen", entry.http}
	for member := range site.settings.Control {
		arguments = append(arguments, "--control", site.Group.Address(member))
	}
	for other := range site.entries {
		if other != at && other < zoneCount {
			arguments = append(arguments, "--peer", site.entries[other].address)
		}
	}
	process, err := Start(entry.name, "hibiscuslug", append(arguments, site.settings.EntryExtra...)...)
	entry.process = process
	return err
}

// StartEndpoint starts an endpoint process, and its engine if not yet started.
func (site *Site) StartEndpoint(at int) error {
	if site.models[at] == nil {
		model, err := Start(fmt.Sprintf("model%d", at+1), "hibfake", site.settings.Model...)
		if err != nil {
			return err
		}
		site.models[at] = model
	}
	arguments := []string{
		"endpoint", "--name", fmt.Sprintf("endpoint%d", at+1), "--zone", zone(at), "--slots", fmt.Sprint(site.settings.Slots),
		"--engine", fmt.Sprintf("model,engine%d,%s,guide-1", at+1, site.models[at].Address),
	}
	for other := range site.entries {
		if other < zoneCount {
			arguments = append(arguments, "--entry", site.entries[other].address)
		}
	}
	process, err := Start(fmt.Sprintf("endpoint%d", at+1), "hibiscuslug", append(arguments, site.settings.EndpointExtra...)...)
	site.endpoints[at] = process
	return err
}

// Entry returns an entry VM's process.
func (site *Site) Entry(at int) *Process { return site.entries[at].process }

// Entries returns the number of entry VMs.
func (site *Site) Entries() int { return len(site.entries) }

// HTTP returns the base URL of an entry VM for callers.
func (site *Site) HTTP(at int) string { return "http://" + site.entries[at].http }

// Address returns the address of an entry VM for other processes.
func (site *Site) Address(at int) string { return site.entries[at].address }

// Endpoint returns an endpoint process.
func (site *Site) Endpoint(at int) *Process { return site.endpoints[at] }

// Model returns the engine of an endpoint process.
func (site *Site) Model(at int) *Process { return site.models[at] }

// Command sends a command to one control VM after the other until one succeeds.
func (site *Site) Command(id, text string) error {
	failure := errors.New("the site has no control VMs")
	for at := range site.settings.Control {
		reply, err := site.Group.Execute(at, id, text)
		if err == nil && reply.GetCode() == "" {
			return nil
		}
		failure = errors.CombineErrors(err, errors.Newf("%s: %s", reply.GetCode(), reply.GetError()))
	}
	return failure
}

// Nodes returns the node names that an entry VM lists.
func (site *Site) Nodes(ctx context.Context, pool *link.Pool, at int) ([]string, error) {
	reply, err := wire.NewDRPCOperateClient(pool.Conn(ctx, site.Address(at))).Execute(ctx, &wire.Command{Text: "show nodes"})
	if err != nil {
		return nil, err
	}
	var names []string
	for _, row := range reply.GetTable().GetRows() {
		names = append(names, strings.TrimSpace(row.GetCells()[0]))
	}
	return names, nil
}

// Close kills every process.
func (site *Site) Close() error {
	var failure error
	running := make([]*Process, 0, len(site.entries)+2*len(site.endpoints))
	for _, entry := range site.entries {
		running = append(running, entry.process)
	}
	for _, process := range append(append(running, site.endpoints...), site.models...) {
		if process != nil {
			failure = errors.CombineErrors(failure, process.Kill())
		}
	}
	return errors.CombineErrors(failure, site.Group.Close())
}
