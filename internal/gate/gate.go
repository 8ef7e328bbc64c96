// Package gate is the gateway process: it takes callers' HTTP requests and
// forwards them to endpoints.
package gate

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/pace"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/internal/wait"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// controlSources is how many control VMs are asked at a time, so that the
	// loss of one or two is not noticed.
	controlSources = 3
	// headerBytes bounds a request's header on top of what net/http adds; the
	// configuration's own limit is lower.
	headerBytes = 64 << 10
	// readLimit bounds the time in which a caller must send its header.
	readLimit = 10 * time.Second
	// idleLimit is longer than callers keep a connection idle.
	idleLimit = 2 * time.Minute
	// graceMargin is left of the grace for closing down.
	graceMargin = 400 * clock.Millis(1)
	// watchEvery bounds how late a change of readiness is seen without events.
	watchEvery = 200 * clock.Millis(1)
)

// Settings of a gateway.
type Settings struct {
	Node    opts.Node
	Gateway opts.Gateway
	Dialect task.Dialect
	// Seeds returns the seeds as the settings have them now.
	Seeds func() []string
}

// Gateway is a running gateway process.
type Gateway struct {
	settings Settings
	clock    *clock.Clock
	log      *event.Log
	view     *feed.View
	links    *link.Pool
	poller   *poll.Poller
	conns    *conns.Pool
	plan     atomic.Pointer[plan.Plan]
	stopping atomic.Bool
	// started is set when the process has been ready once.
	started atomic.Bool
	// held counts the requests that wait here.
	held     atomic.Int64
	meter    *meter.Meter
	answered *meter.Counter
	sends    *meter.Counter
	first    *meter.Histogram
	gaps     *meter.Histogram
	http     *http.Server
	ready    *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	loops    conc.WaitGroup

	// mu guards the fields below. It is a leaf lock.
	mu       sync.Mutex
	random   *rand.Rand
	work     map[string]int
	detector retry.Detector
	windows  map[string]*retry.Window
	// waits holds what is known of the streams of each service.
	waits map[string]wait.Estimate
	// paces holds what pauses of the streams of each service have shown, and means
	// the mean work at its endpoints as last known.
	paces map[string]pace.Pace
	means map[string]float64
	// stalls holds groups that refused work because a rank is missing.
	stalls map[string]stall
	// pulses holds the groups with streams that have begun.
	pulses map[string]pulse
}

// New starts a gateway.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Gateway, error) {
	gateway := &Gateway{
		settings: settings, clock: ticker, log: log, view: feed.NewView(ticker), links: link.NewPool(), conns: conns.New(ticker),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), work: map[string]int{},
		windows: map[string]*retry.Window{}, stalls: map[string]stall{}, pulses: map[string]pulse{}, paces: map[string]pace.Pace{}, means: map[string]float64{}, waits: map[string]wait.Estimate{},
	}
	gateway.poller = poll.New(poll.Settings{
		Node: settings.Node.Name, Zone: settings.Node.Zone, Sources: controlSources, Seeds: gateway.seeds, Loads: gateway.loads,
	}, gateway.view, gateway.links, ticker, log)
	if err := gateway.measure(); err != nil {
		return nil, err
	}
	if err := gateway.listen(); err != nil {
		return nil, errors.CombineErrors(err, gateway.meter.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	gateway.cancel = cancel
	gateway.poller.Start()
	gateway.loops.Go(func() { gateway.follow(ctx) })
	log.Write(event.Started, "role", "gateway", "address", gateway.Address())
	return gateway, nil
}

// measure declares the gateway's metrics.
func (gateway *Gateway) measure() error {
	gateway.meter = meter.New(gateway.settings.Node, "gateway", gateway.view)
	gateway.meter.Control(gateway.links)
	gateway.answered = gateway.meter.Counter(meter.Answered)
	gateway.sends = gateway.meter.Counter(meter.Sends)
	gateway.first = gateway.meter.Histogram(meter.FirstByte)
	gateway.gaps = gateway.meter.Histogram(meter.EventGap)
	gateway.meter.Gauge(meter.Dialed, func() any { return gateway.conns.Dialed() })
	gateway.meter.Gauge(meter.Version, func() any { return gateway.Version() })
	gateway.meter.Gauge(meter.Stalled, func() any { return gateway.stalled() })
	return gateway.meter.Serve(gateway.settings.Node.MetricsListen)
}

func (gateway *Gateway) listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", gateway.settings.Gateway.HTTPListen)
	if err != nil {
		return errors.Wrap(err, "setting --http-listen")
	}
	gateway.listener = listener
	gateway.http = &http.Server{
		Handler: gateway, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: readLimit, IdleTimeout: idleLimit,
	}
	gateway.serve(gateway.http, listener)
	if gateway.settings.Gateway.ReadyListen == "" {
		return nil
	}
	ready, err := config.Listen(context.Background(), "tcp", gateway.settings.Gateway.ReadyListen)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "setting --ready-listen"), gateway.http.Close())
	}
	gateway.ready = &http.Server{Handler: http.HandlerFunc(gateway.answerReady), ReadHeaderTimeout: readLimit}
	gateway.serve(gateway.ready, ready)
	return nil
}

func (gateway *Gateway) serve(server *http.Server, listener net.Listener) {
	gateway.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			gateway.log.Write(event.ServeFailed, "error", err)
		}
	})
}

// Address returns the address for callers.
func (gateway *Gateway) Address() string { return gateway.listener.Addr().String() }

func (gateway *Gateway) seeds() []string {
	seeds := gateway.settings.Gateway.Seed
	if gateway.settings.Seeds != nil {
		seeds = gateway.settings.Seeds()
	}
	addresses, err := ctrl.ParseSeeds(seeds, gateway.settings.Node.Listen)
	if err != nil {
		gateway.log.Write(event.SettingsRefused, "error", err)
	}
	return addresses
}

// loads reports the work at endpoints to control VMs.
func (gateway *Gateway) loads() ([]*wire.EndpointLoad, int) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	list := make([]*wire.EndpointLoad, 0, len(gateway.work))
	for id, running := range gateway.work {
		list = append(list, &wire.EndpointLoad{Id: id, Running: uint32(running)})
	}
	return list, 1
}

// follow takes each new configuration into force and logs readiness.
func (gateway *Gateway) follow(ctx context.Context) {
	was := false
	for ctx.Err() == nil {
		changed := gateway.view.Changed()
		gateway.apply()
		if is, reason := gateway.isReady(); is != was {
			was = is
			gateway.log.Write(event.ReadinessChanged, "ready", is, "reason", reason)
		}
		wait, cancel := context.WithTimeout(ctx, watchEvery.Duration())
		select {
		case <-changed:
		case <-wait.Done():
		}
		cancel()
	}
}

func (gateway *Gateway) apply() {
	held := gateway.view.State().Deployment()
	if now := gateway.plan.Load(); held == nil || now != nil && now.Version() >= held.GetVersion() {
		return
	}
	document, err := state.Document(held)
	var decoded *plan.Plan
	if err == nil {
		decoded, err = gateway.settings.Dialect.Plan(document)
	}
	if err != nil {
		// Control checked the document before it accepted it.
		gateway.log.Write(event.DeploymentRefused, "version", held.GetVersion(), "error", err)
		return
	}
	gateway.plan.Store(decoded)
	gateway.log.Write(event.DeploymentInForce, "version", decoded.Version(), "revision", gateway.view.State().Revision(), "age", gateway.view.AgeText())
}

// Ready tells whether the gateway takes requests.
func (gateway *Gateway) Ready() bool {
	is, _ := gateway.isReady()
	return is
}

// confirmed tells whether a control VM has confirmed the configuration lately
// enough for keys to be taken.
func (gateway *Gateway) confirmed() bool {
	return gateway.view.Age() <= gateway.settings.Gateway.RevokeLimit-keyMargin
}

// isReady tells whether the gateway takes requests, and if not, why.
func (gateway *Gateway) isReady() (bool, string) {
	switch {
	case gateway.stopping.Load():
		return false, "stopping"
	case gateway.plan.Load() == nil:
		return false, "no configuration"
	case gateway.plan.Load().HasCustomers() && !gateway.confirmed():
		return false, "keys are not confirmed"
	}
	return true, ""
}

func (gateway *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if is, reason := gateway.isReady(); !is {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Close stops taking requests, lets those in flight end, and waits.
func (gateway *Gateway) Close() error {
	began := gateway.clock.Now()
	gateway.stopping.Store(true)
	gateway.log.Write(event.Stopping)
	// New connections arrive until the platform has noticed.
	if err := gateway.clock.Sleep(context.Background(), gateway.settings.Gateway.Rotation); err != nil {
		gateway.log.Write(event.ServeFailed, "error", err)
	}
	rest := gateway.settings.Gateway.Grace - graceMargin - (gateway.clock.Now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), rest.Duration())
	defer cancel()
	failure := gateway.http.Shutdown(ctx)
	if errors.Is(failure, context.DeadlineExceeded) {
		gateway.log.Write(event.ShutdownLimit)
		failure = gateway.http.Close()
	}
	if gateway.ready != nil {
		failure = errors.CombineErrors(failure, gateway.ready.Close())
	}
	gateway.cancel()
	gateway.poller.Close()
	gateway.loops.Wait()
	gateway.conns.Close()
	failure = errors.CombineErrors(failure, errors.CombineErrors(gateway.links.Close(), gateway.meter.Close()))
	gateway.log.Write(event.Stopped)
	return failure
}

// Endpoints returns the endpoints of a service that take new work, as known here.
func (gateway *Gateway) Endpoints(service string) []roster.Record {
	return gateway.poller.Endpoints(service)
}

// Version returns the version of the configuration in force; 0 for none.
func (gateway *Gateway) Version() uint64 {
	if now := gateway.plan.Load(); now != nil {
		return now.Version()
	}
	return 0
}
