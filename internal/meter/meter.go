// Package meter keeps the metrics of a process as expvar variables and serves
// them over HTTP. Each metric is declared once with its unit; docs/METRICS.md
// lists the same metrics, and a test compares the two.
package meter

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Metric declares the name, unit and description of a metric.
type Metric struct {
	Name, Unit, Help string
}

// Metrics of all roles.
var (
	Requests        = Metric{"requests", "requests", "requests that ended since the start, by tier and outcome, as TIER.OUTCOME (entry)"}
	InFlight        = Metric{"inFlight", "requests", "requests in flight (entry)"}
	Attempts        = Metric{"attempts", "attempts", "attempts that ended since the start, by outcome (entry)"}
	QueueLength     = Metric{"queueLength", "attempts", "attempts that wait in the queue, by engine (endpoint)"}
	Running         = Metric{"running", "attempts", "attempts that run, by engine (endpoint)"}
	Revision        = Metric{"revision", "revision", "configuration revision in force (all)"}
	RevisionAge     = Metric{"revisionAge", "ms", "time since control confirmed the revision; -1 when it never did (all)"}
	Evacuated       = Metric{"evacuated", "zones", "availability zones whose endpoints get no requests (all)"}
	Answered        = Metric{"answered", "requests", "requests that ended since the start, by kind of route and outcome, as KIND.OUTCOME (gateway)"}
	Sends           = Metric{"sends", "attempts", "attempts at endpoints that ended since the start, by result (gateway)"}
	FirstByte       = Metric{"firstByte", "ms", "time to the answer or its first event, by kind of route: count, p50, p90, p99 and largest of the last minutes (gateway)"}
	EventGap        = Metric{"eventGap", "ms", "longest pause of each stream between events: count, p50, p90, p99 and largest of the last minutes (gateway)"}
	Dialed          = Metric{"dialed", "connections", "connections made to endpoints since the start (gateway)"}
	Version         = Metric{"version", "version", "version of the configuration of request forwarding in force; 0 for none (gateway)"}
	Stalled         = Metric{"stalled", "groups", "groups of ranks that take no work (gateway)"}
	ColdEndpoints   = Metric{"coldEndpoints", "endpoints", "endpoints that get requests at the rate for cold ones (gateway)"}
	ColdDenied      = Metric{"coldDenied", "requests", "requests kept from cold endpoints since the start, by what became of them: elsewhere or refused (gateway)"}
	Noticed         = Metric{"noticed", "endpoints", "starts of endpoints by what was noticed of them: leaving, pausing (this gateway sends nothing), pausingElsewhere and slow (gateway)"}
	SlowEndpoints   = Metric{"slowEndpoints", "endpoints", "endpoints of services without engines that are estimated to be slower than others of their service (gateway)"}
	Held            = Metric{"held", "bytes", "bytes of memory that requests and connections of clients take by estimate, bounded by --max-held (all)"}
	Denied          = Metric{"denied", "connections", "connections closed or refused since the start because a bound was reached, as LISTENER.REASON; the reason is memory or descriptors (all)"}
	PauseEnded      = Metric{"pauseEnded", "requests", "requests ended since the start because all endpoints ask for a pause (gateway)"}
	Members         = Metric{"members", "processes", "processes known by their announcements, by role (entry)"}
	ControlBytesIn  = Metric{"controlBytesIn", "bytes", "bytes received since the start on connections for membership, configuration and commands (all)"}
	ControlBytesOut = Metric{"controlBytesOut", "bytes", "bytes sent since the start on connections for membership, configuration and commands (all)"}
)

var allMetrics = []Metric{Requests, InFlight, Attempts, QueueLength, Running, Revision, RevisionAge, Evacuated, Answered, Sends, FirstByte, EventGap, Dialed, Version, Stalled, ColdEndpoints, ColdDenied, Noticed, SlowEndpoints, PauseEnded, Held, Denied, Members, ControlBytesIn, ControlBytesOut}

const (
	// maxHeaderBytes and maxBodyBytes bound a request of a reader of metrics.
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 10
	// readTimeout limits the time in which such a request arrives, idleTimeout the time
	// between two of them, and writeStall the time in which nothing of a response is read.
	readTimeout = 10 * clock.Second
	idleTimeout = 2 * time.Minute
	writeStall  = 10 * clock.Second
)

// revisionTimeout limits the wait of one request to /debug/revision.
const revisionTimeout = 30 * time.Second

// Meter holds the metrics of one process. They are not published in the global
// expvar map, because the embedded fleet runs the roles of many processes in one.
type Meter struct {
	vars     *expvar.Map
	view     *feed.View
	app      *fiber.App
	listener net.Listener
	guard    *guard.Guard
	running  conc.WaitGroup
}

// New returns the meter of a process and registers the metrics of its
// configuration.
func New(node opts.Node, role string, view *feed.View) *Meter {
	meter := &Meter{vars: new(expvar.Map).Init(), view: view}
	for name, value := range map[string]string{"node": node.Name, "zone": node.Zone, "role": role} {
		text := new(expvar.String)
		text.Set(value)
		meter.vars.Set(name, text)
	}
	meter.Gauge(Revision, func() any { return view.State().Revision() })
	meter.Gauge(RevisionAge, func() any { return age(view.Age()) })
	meter.Gauge(Evacuated, func() any { return view.State().EvacuatedZones() })
	return meter
}

func age(age clock.Millis) int64 {
	if age >= feed.Never {
		return -1
	}
	return int64(age)
}

// Gauge registers a metric whose value is read when it is requested.
func (meter *Meter) Gauge(metric Metric, read func() any) {
	meter.vars.Set(metric.Name, expvar.Func(read))
}

// Bound registers the metrics of what clients use, and limits what the readers of metrics
// may use. It is called before Serve.
func (meter *Meter) Bound(bounds *guard.Guard) {
	meter.guard = bounds
	meter.Gauge(Held, func() any { return bounds.Held() })
	meter.Gauge(Denied, func() any { return bounds.Denied() })
}

// Counter is a metric that counts per key.
type Counter struct {
	values *expvar.Map
}

// Counter registers and returns the counter of a metric.
func (meter *Meter) Counter(metric Metric) *Counter {
	values := new(expvar.Map).Init()
	meter.vars.Set(metric.Name, values)
	return &Counter{values: values}
}

// Add increments the count of a key.
func (counter *Counter) Add(key string) { counter.values.Add(key, 1) }

// Control registers the metrics of bytes on connections for control traffic.
func (meter *Meter) Control(links ...interface{ Bytes() (in, out int64) }) {
	sum := func(pick func(in, out int64) int64) any {
		var total int64
		for _, link := range links {
			total += pick(link.Bytes())
		}
		return total
	}
	meter.Gauge(ControlBytesIn, func() any { return sum(func(in, _ int64) int64 { return in }) })
	meter.Gauge(ControlBytesOut, func() any { return sum(func(_, out int64) int64 { return out }) })
}

// Serve serves the metrics on an address; with an empty address it does nothing.
func (meter *Meter) Serve(address string) error {
	if address == "" {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "setting --metrics-listen is %s", address)
	}
	meter.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, ReduceMemoryUsage: true, DisablePreParseMultipartForm: true, BodyLimit: maxBodyBytes,
		ReadBufferSize: maxHeaderBytes, ReadTimeout: readTimeout.Duration(), IdleTimeout: idleTimeout,
	})
	if meter.guard != nil {
		listener = meter.guard.Listen(listener, guard.Options{
			Name: "metrics", Share: guard.ChecksShare, HeadLimit: func() int { return maxHeaderBytes }, HeadTime: readTimeout,
			WholeBody: maxBodyBytes, ServerRefuses: true, WriteStall: writeStall,
		})
		meter.app.Server().ConnState = guard.FollowFast
	}
	meter.listener = listener
	meter.app.Get("/", func(ctx *fiber.Ctx) error { return ctx.SendString(meter.page()) })
	meter.app.Get("/debug/vars", func(ctx *fiber.Ctx) error {
		ctx.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return ctx.SendString(meter.vars.String())
	})
	meter.app.Get("/debug/revision", meter.revision)
	meter.running.Go(func() {
		if err := meter.app.Listener(listener); meter.guard != nil {
			meter.guard.Served("metrics", err)
		}
	})
	return nil
}

// Address returns the listening address, or "" when metrics are not served.
func (meter *Meter) Address() string {
	if meter.listener == nil {
		return ""
	}
	return meter.listener.Addr().String()
}

// page returns the metrics of this process as human-readable text.
func (meter *Meter) page() string {
	var text strings.Builder
	for _, metric := range allMetrics {
		if value := meter.vars.Get(metric.Name); value != nil {
			fmt.Fprintf(&text, "%s %s %s: %s\n", metric.Name, value, metric.Unit, metric.Help)
		}
	}
	return text.String()
}

// revision serves a long poll: it returns the revision in force once it is
// greater than the "after" parameter, or when revisionTimeout is over.
func (meter *Meter) revision(ctx *fiber.Ctx) error {
	after := ctx.QueryInt("after", -1)
	limit := time.NewTimer(revisionTimeout)
	defer limit.Stop()
	for {
		changed, revision := meter.view.Changed(), meter.view.State().Revision()
		if int64(revision) > int64(after) {
			return ctx.SendString(fmt.Sprint(revision))
		}
		select {
		case <-changed:
		case <-limit.C:
			return ctx.SendString(fmt.Sprint(revision))
		}
	}
}

// Close stops serving. Requests that wait for a revision are aborted.
func (meter *Meter) Close() error {
	if meter.app == nil {
		return nil
	}
	err := meter.app.ShutdownWithTimeout(time.Second)
	meter.running.Wait()
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
