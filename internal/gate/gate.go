// Package gate implements the gateway process, which receives callers' HTTP requests
// and forwards them to endpoints. Entry VMs serve callers on another path, in package
// entry.
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

	"github.com/hibiscuslug/hibiscuslug/internal/board"
	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/cold"
	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/halt"
	"github.com/hibiscuslug/hibiscuslug/internal/knee"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/poll"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/repeat"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/shed"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/internal/wait"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// controlSources is the number of control VMs polled at a time, so that the
	// loss of one or two has no effect. It must equal maxDirectControls in package poll,
	// which decides by it how gateways report their loads.
	controlSources = 3
	// maxHeaderBytes bounds a request's header, in addition to the allowance of
	// net/http; the limit in the configuration is lower.
	maxHeaderBytes = 64 << 10
	// headerReadTimeout bounds the time for reading a request's header.
	headerReadTimeout = 10 * clock.Second
	// requestLineBytes is what a request line may have besides the header.
	requestLineBytes = 4 << 10
	// maxCheckBytes bounds the header of a readiness check.
	maxCheckBytes = 8 << 10
	// idleTimeout is longer than callers keep an idle connection open.
	idleTimeout = 2 * time.Minute
	// shutdownMargin is the part of the grace period reserved for closing resources.
	shutdownMargin = 400 * clock.Millis(1)
	// readinessInterval bounds the delay in detecting a readiness change that no
	// configuration update announces.
	readinessInterval = 200 * clock.Millis(1)
)

// Settings of a gateway.
type Settings struct {
	Node    opts.Node
	Gateway opts.Gateway
	Dialect task.Dialect
	// Seeds returns the current seeds from the settings.
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
	board    *board.Board
	conns    *conns.Pool
	plan     atomic.Pointer[plan.Plan]
	stopping atomic.Bool
	// started is set once the process was ready for the first time.
	started atomic.Bool
	// waiting counts the requests that wait in waitUntil.
	waiting atomic.Int64
	// pauseEnded counts the requests ended because all endpoints ask for a pause.
	pauseEnded atomic.Int64
	meter      *meter.Meter
	// guard bounds what clients make the gateway hold.
	guard *guard.Guard
	// unguarded counts what belongs to no connection of a guarded listener.
	unguarded *guard.Account
	answered  *meter.Counter
	sends     *meter.Counter
	denied    *meter.Counter
	firstByte *meter.Histogram
	eventGap  *meter.Histogram
	http      *http.Server
	ready     *http.Server
	listener  net.Listener
	cancel    context.CancelFunc
	// evacuated holds the zones that were evacuated when follow last looked.
	evacuated map[string]bool
	// estimated holds the estimates that follow last logged.
	estimated map[quota.Endpoint]knee.Estimate
	loops     conc.WaitGroup
	// running is the parent of the contexts of requests, which endRunning ends with a
	// cause. endsAt is when it is called, in milliseconds of the clock; 0 while the gateway
	// is not stopping.
	running    context.Context //nolint:containedctx // the contexts of requests derive from it
	endRunning context.CancelCauseFunc
	endsAt     atomic.Int64
	// confirmation is the last one of the plan in use.
	confirmation atomic.Pointer[confirmation]

	// mu guards the fields below. It is a leaf lock.
	mu     sync.Mutex
	random *rand.Rand
	// work holds this gateway's requests in flight by endpoint ID.
	work     map[string]choose.Load
	detector retry.Detector
	windows  map[string]*retry.RatioBudget
	// uses counts this gateway's streams at endpoints, and demands holds those of all
	// gateways, by service.
	uses    map[use]int
	demands map[string]shed.Demand
	// waits holds the estimate of queueing times of each service's streams.
	waits map[string]wait.Estimate
	// callerWaits holds what the callers of each route stated of their waits.
	callerWaits map[string]repeat.Waits
	// stalls holds the groups that refuse work because a rank is missing, or whose
	// streams make no progress.
	stalls map[string]stall
	// progress holds the stream progress of groups with active streams.
	progress map[string]progress
	// probeAskedAt is when the control leader was last asked for a probe of a request.
	probeAskedAt clock.Millis
	// leaderLostAt is when the control leader last did not answer a request for a permit,
	// share the gateway's own part of the limits meanwhile.
	leaderLostAt clock.Millis
	share        *quota.Share
	// cold holds what this gateway observed of endpoints that may be cold, coldLogged
	// those that were last logged as cold, and coldDenied the requests kept from them by
	// outcome since the last log line, which was written at coldLoggedAt.
	cold         cold.Table
	coldLogged   map[quota.Endpoint]bool
	coldDenied   map[string]int
	coldLoggedAt clock.Millis
	// responses holds this gateway's complete responses within the last window by endpoint
	// ID, and knees the estimates of the endpoints by service.
	responses map[string][]response
	knees     map[string]knee.Table
	// durations holds how long answers took lately.
	durations map[durationKey]halt.Durations
}

// New starts a gateway.
func New(settings Settings, ticker *clock.Clock, log *event.Log) (*Gateway, error) {
	gateway := &Gateway{
		settings: settings, clock: ticker, log: log, view: feed.NewView(ticker), links: link.NewPool(), conns: conns.New(ticker), board: board.New(ticker, log),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), work: map[string]choose.Load{}, uses: map[use]int{}, demands: map[string]shed.Demand{}, callerWaits: map[string]repeat.Waits{},
		windows: map[string]*retry.RatioBudget{}, stalls: map[string]stall{}, progress: map[string]progress{}, waits: map[string]wait.Estimate{},
		evacuated: map[string]bool{}, coldLogged: map[quota.Endpoint]bool{}, coldDenied: map[string]int{},
		durations: map[durationKey]halt.Durations{}, responses: map[string][]response{}, knees: map[string]knee.Table{}, estimated: map[quota.Endpoint]knee.Estimate{},
	}
	gateway.running, gateway.endRunning = context.WithCancelCause(context.Background())
	gateway.bound(guard.Machine(settings.Node))
	gateway.share = quota.NewShare(gateway.random.Float64())
	gateway.poller = poll.New(poll.Settings{
		Node: settings.Node.Name, Zone: settings.Node.Zone, Sources: controlSources, Seeds: gateway.seeds, Report: gateway.report, Board: gateway.board,
	}, gateway.view, gateway.links, ticker, log)
	if err := gateway.registerMetrics(); err != nil {
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

// registerMetrics registers the gateway's metrics and serves them.
func (gateway *Gateway) registerMetrics() error {
	gateway.meter = meter.New(gateway.settings.Node, "gateway", gateway.view)
	gateway.meter.Control(gateway.links)
	gateway.answered = gateway.meter.Counter(meter.Answered)
	gateway.sends = gateway.meter.Counter(meter.Sends)
	gateway.firstByte = gateway.meter.Histogram(meter.FirstByte)
	gateway.eventGap = gateway.meter.Histogram(meter.EventGap)
	gateway.meter.Gauge(meter.Dialed, func() any { return gateway.conns.Dialed() })
	gateway.meter.Gauge(meter.Version, func() any { return gateway.Version() })
	gateway.denied = gateway.meter.Counter(meter.ColdDenied)
	gateway.meter.Gauge(meter.ColdEndpoints, func() any { return len(gateway.coldEndpoints()) })
	gateway.meter.Gauge(meter.Stalled, func() any { return gateway.stalledGroups() })
	gateway.meter.Gauge(meter.Noticed, func() any { return gateway.noticed() })
	gateway.meter.Gauge(meter.SlowEndpoints, func() any { return gateway.slowEndpoints() })
	gateway.meter.Gauge(meter.PauseEnded, func() any { return gateway.pauseEnded.Load() })
	gateway.meter.Bound(gateway.guard)
	return gateway.meter.Serve(gateway.settings.Node.MetricsListen)
}

func (gateway *Gateway) listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", gateway.settings.Gateway.HTTPListen)
	if err != nil {
		return errors.Wrap(err, "setting --http-listen")
	}
	gateway.listener = gateway.guard.Listen(listener, guard.Options{
		Name: "callers", Share: guard.CallersShare, HeadLimit: gateway.headLimit, HeadTime: headerReadTimeout, WriteStall: gateway.settings.Gateway.WriteStall,
	})
	gateway.http = &http.Server{
		Handler: gateway, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerReadTimeout.Duration(), IdleTimeout: idleTimeout,
		BaseContext: gateway.baseContext, ConnContext: guard.Context, ConnState: guard.Follow,
	}
	gateway.serve(gateway.http, gateway.listener)
	if gateway.settings.Gateway.ReadyListen == "" {
		return nil
	}
	ready, err := config.Listen(context.Background(), "tcp", gateway.settings.Gateway.ReadyListen)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "setting --ready-listen"), gateway.http.Close())
	}
	gateway.ready = &http.Server{
		Handler: http.HandlerFunc(gateway.answerReady), MaxHeaderBytes: maxCheckBytes, ReadHeaderTimeout: headerReadTimeout.Duration(), IdleTimeout: idleTimeout,
		ConnState: guard.Follow,
	}
	gateway.serve(gateway.ready, gateway.guard.Listen(ready, guard.Options{
		Name: "ready", Share: guard.ChecksShare, HeadLimit: func() int { return maxCheckBytes }, HeadTime: headerReadTimeout,
		WriteStall: gateway.settings.Gateway.WriteStall,
	}))
	return nil
}

func (gateway *Gateway) serve(server *http.Server, listener net.Listener) {
	gateway.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			gateway.log.Write(event.ServeFailed, "error", err)
		}
	})
}

// bound sets the bounds of what clients make the gateway hold.
func (gateway *Gateway) bound(settings guard.Settings) {
	gateway.guard = guard.New(settings, gateway.clock, gateway.log)
	gateway.unguarded = gateway.guard.Open("gateway")
}

// headLimit returns the largest header that callers may send, in bytes.
func (gateway *Gateway) headLimit() int {
	limit := maxHeaderBytes
	if config := gateway.plan.Load(); config != nil && config.Limits().Header > 0 {
		limit = config.Limits().Header
	}
	return limit + requestLineBytes
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

// report returns this gateway's requests at each endpoint and its streams at each
// service, which the poller reports to control VMs.
func (gateway *Gateway) report() poll.Report {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	report := poll.Report{Gateways: 1, Loads: make([]*wire.EndpointLoad, 0, len(gateway.work))}
	now := gateway.clock.Now()
	for id, load := range gateway.work {
		total := gateway.total(id, now)
		report.Loads = append(report.Loads, &wire.EndpointLoad{
			Id: id, Running: uint32(load.Work), Late: uint32(load.Late), Ended: uint32(total.Ended), Took: uint32(total.Took),
		})
	}
	for id := range gateway.responses {
		if _, ok := gateway.work[id]; ok {
			continue
		}
		if total := gateway.total(id, now); total.Ended > 0 {
			report.Loads = append(report.Loads, &wire.EndpointLoad{Id: id, Ended: uint32(total.Ended), Took: uint32(total.Took)})
		}
	}
	for use, streams := range gateway.uses {
		report.Uses = append(report.Uses, &wire.ServiceUse{Service: use.service, Level: uint32(use.level), Streams: uint32(streams)})
	}
	return report
}

// follow applies each new configuration, confirms crashes and logs changes of readiness.
func (gateway *Gateway) follow(ctx context.Context) {
	wasReady := false
	for ctx.Err() == nil {
		changed := gateway.view.Changed()
		gateway.apply()
		gateway.confirmCrashes()
		gateway.logCold()
		gateway.updateEstimates()
		gateway.logEstimates()
		if ready, reason := gateway.isReady(); ready != wasReady {
			wasReady = ready
			gateway.log.Write(event.ReadinessChanged, "ready", ready, "reason", reason)
		}
		wait, cancel := context.WithTimeout(ctx, readinessInterval.Duration())
		select {
		case <-changed:
		case <-wait.Done():
		}
		cancel()
	}
}

func (gateway *Gateway) apply() {
	gateway.noteEvacuations()
	deployment := gateway.view.State().Deployment()
	if current := gateway.plan.Load(); deployment == nil || current != nil && current.Version() >= deployment.GetVersion() {
		return
	}
	document, err := state.Document(deployment)
	var decoded *plan.Plan
	if err == nil {
		decoded, err = gateway.settings.Dialect.Plan(document)
	}
	if err != nil {
		// Unexpected: control VMs validate a document before they accept it.
		gateway.log.Write(event.DeploymentRefused, "version", deployment.GetVersion(), "error", err)
		return
	}
	gateway.plan.Store(decoded)
	gateway.log.Write(event.DeploymentInForce, "version", decoded.Version(), "revision", gateway.view.State().Revision(), "age", gateway.view.AgeText())
}

// Ready reports whether the gateway accepts requests.
func (gateway *Gateway) Ready() bool {
	ready, _ := gateway.isReady()
	return ready
}

// confirmation is when a control VM last confirmed a version of the configuration.
type confirmation struct {
	version uint64
	at      clock.Millis
}

// confirmed reports whether a control VM confirmed a plan recently enough for its keys to
// be accepted.
func (gateway *Gateway) confirmed(config *plan.Plan) bool {
	limit := gateway.settings.Gateway.RevokeLimit
	return gateway.clock.Now()-gateway.confirmedAt(config) <= limit-min(keyCheckMargin, limit/2)
}

// confirmedAt returns when a control VM last confirmed a plan; 0 if it is not known. What
// the view knows is the confirmation of the newest configuration received. While that one
// is not decoded yet, the plan in use keeps the last confirmation of its own.
func (gateway *Gateway) confirmedAt(config *plan.Plan) clock.Millis {
	state, at := gateway.view.Confirmation()
	if state.Deployment().GetVersion() == config.Version() {
		gateway.confirmation.Store(&confirmation{version: config.Version(), at: at})
		return at
	}
	if last := gateway.confirmation.Load(); last != nil && last.version == config.Version() {
		return last.at
	}
	return 0
}

// isReady reports whether the gateway accepts requests, and the reason if not.
func (gateway *Gateway) isReady() (bool, string) {
	switch {
	case gateway.stopping.Load():
		return false, "stopping"
	case gateway.plan.Load() == nil:
		return false, "no configuration"
	case gateway.plan.Load().HasCustomers() && !gateway.confirmed(gateway.plan.Load()):
		return false, "keys are not confirmed"
	}
	return true, ""
}

func (gateway *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := gateway.isReady(); !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Close reports the gateway as not ready, waits for requests in flight within the
// grace period, and releases all resources.
func (gateway *Gateway) Close() error {
	began := gateway.clock.Now()
	gateway.stopping.Store(true)
	gateway.log.Write(event.Stopping)
	grace := gateway.settings.Gateway.Grace
	untilClose := grace - min(shutdownMargin, grace/3)
	stopTimer := gateway.endRequests(max(untilClose-min(answerMargin, grace/8), 0))
	defer stopTimer()
	// The platform sends new connections until it detects the change of readiness.
	if err := gateway.clock.Sleep(context.Background(), min(gateway.settings.Gateway.Rotation, grace/3)); err != nil {
		gateway.log.Write(event.ServeFailed, "error", err)
	}
	remaining := untilClose - (gateway.clock.Now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), remaining.Duration())
	defer cancel()
	failure := gateway.http.Shutdown(ctx)
	if errors.Is(failure, context.DeadlineExceeded) {
		gateway.log.Write(event.ShutdownLimit)
		failure = gateway.http.Close()
	}
	if gateway.ready != nil {
		failure = errors.CombineErrors(failure, gateway.ready.Close())
	}
	gateway.endRunning(errStopping)
	gateway.cancel()
	gateway.poller.Close()
	gateway.loops.Wait()
	gateway.guard.Close()
	gateway.conns.Close()
	failure = errors.CombineErrors(failure, errors.CombineErrors(gateway.links.Close(), gateway.meter.Close()))
	gateway.log.Write(event.Stopped)
	return failure
}

// Endpoints returns the endpoints of a service that accept new work, according to
// the latest poll.
func (gateway *Gateway) Endpoints(service string) []roster.Record {
	return gateway.poller.Endpoints(service)
}

// Gateways returns the number of gateways that share the endpoints, or 0 while it is not
// known.
func (gateway *Gateway) Gateways() int { return gateway.poller.Gateways() }

// Version returns the version of the active configuration; 0 for none.
func (gateway *Gateway) Version() uint64 {
	if current := gateway.plan.Load(); current != nil {
		return current.Version()
	}
	return 0
}

// Revision returns the revision of the configuration that the gateway holds.
func (gateway *Gateway) Revision() uint64 { return gateway.view.State().Revision() }
