package crash_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	seriesSeeds = 6
	// seriesTime is the length of a series, and decideInterval the time between two
	// decisions about each stream.
	seriesTime     = 2 * clock.Minute
	seriesStep     = 50 * clock.Millis(1)
	decideInterval = 500 * clock.Millis(1)
	// seriesDown is how long an endpoint is down after a crash.
	seriesDown = 3 * clock.Second
	// Endpoints of the series, and how many of them crash together.
	seriesEndpoints, seriesCrashed = 12, 2
	// seriesStreams is the number of streams at any time.
	seriesStreams = 96
	// streamReading is the time before the first event of a stream at an endpoint.
	streamReading = 300 * clock.Millis(1)
)

// seriesStream is a sound stream.
type seriesStream struct {
	fingerprint uint64
	endpoint    int
	// begunAt is when it begins at its endpoint, and left the time that it runs after that.
	begunAt, left clock.Millis
}

// series is endpoints that crash at random while streams run, which go on elsewhere.
type series struct {
	random  *rand.Rand
	core    crash.Core
	streams []seriesStream
	// incarnations counts the starts of the endpoints.
	incarnations [seriesEndpoints]uint64
	started      uint64
	blocked      int
	// downUntil is when the endpoints are back.
	downUntil [seriesEndpoints]clock.Millis
	// longest is the longest time that a stream runs.
	longest clock.Millis
	reports reportMode
}

// reportMode states which streams are suspects of a crash of their endpoint.
type reportMode int

const (
	// onlyUnbegun streams are suspects whose answers have not begun.
	onlyUnbegun reportMode = iota
	// weighted streams are suspects too that have just begun.
	weighted
	// allAlike streams are all suspects, and count alike.
	allAlike
)

// pick returns an endpoint that is up.
func (series *series) pick(now clock.Millis) int {
	for {
		if endpoint := series.random.IntN(seriesEndpoints); series.downUntil[endpoint] <= now {
			return endpoint
		}
	}
}

func (series *series) newStream(now clock.Millis) seriesStream {
	series.started++
	return seriesStream{
		fingerprint: series.started, endpoint: series.pick(now), begunAt: now + streamReading,
		left: clock.Millis(1 + series.random.Int64N(int64(series.longest))),
	}
}

// play plays a series and returns the number of sound streams that were blocked.
func (series *series) play() int {
	for range seriesStreams {
		series.streams = append(series.streams, series.newStream(0))
	}
	nextCrash := clock.Second
	for now := clock.Millis(0); now < seriesTime; now += seriesStep {
		if now >= nextCrash {
			victims := series.random.Perm(seriesEndpoints)[:seriesCrashed]
			for _, endpoint := range victims {
				series.downUntil[endpoint] = now + seriesDown
			}
			for _, endpoint := range victims {
				series.crash(endpoint, now)
			}
			nextCrash = now + 3500 + clock.Millis(series.random.Int64N(3500))
		}
		if now%decideInterval == 0 {
			series.core, _ = series.core.Step(crash.Tick{}, now)
		}
		for at := range series.streams {
			series.advance(&series.streams[at], now)
		}
	}
	return series.blocked
}

// advance ends a stream that is complete or blocked and starts another one.
func (series *series) advance(stream *seriesStream, now clock.Millis) {
	if now%decideInterval == 0 && series.core.Decide(crash.Request{Fingerprint: stream.fingerprint}, now).Treatment == crash.Block {
		series.blocked++
		*stream = series.newStream(now)
	}
	if now < stream.begunAt {
		return
	}
	if stream.left -= seriesStep; stream.left <= 0 {
		if series.core.IsSuspectRequest(stream.fingerprint) {
			series.core, _ = series.core.Step(crash.Cleared{Fingerprint: stream.fingerprint, At: now}, now)
		}
		*stream = series.newStream(now)
	}
}

// crash ends an endpoint. Its streams go on elsewhere.
func (series *series) crash(endpoint int, now clock.Millis) {
	series.incarnations[endpoint]++
	record := crash.Crash{Endpoint: fmt.Sprint("e", endpoint), Incarnation: series.incarnations[endpoint], At: now}
	for at := range series.streams {
		stream := &series.streams[at]
		if stream.endpoint != endpoint {
			continue
		}
		if now < stream.begunAt || series.reports == weighted && now-stream.begunAt < crash.SuspectTime || series.reports == allAlike {
			record.Suspects = append(record.Suspects, crash.Suspect{
				Request: crash.Request{Fingerprint: stream.fingerprint}, RequestID: fmt.Sprint("r", stream.fingerprint),
				Begun: now >= stream.begunAt && series.reports == weighted,
			})
		}
		stream.endpoint, stream.begunAt = series.pick(now), now+streamReading
	}
	series.core, _ = series.core.Step(crash.Crashed{Crash: record}, now)
}

// Guards against sound streams that are blocked because they went from one endpoint that
// crashed for another reason to the next.
var _ = It("blocks no long streams while endpoints crash at random in series", func() {
	provoked := 0
	for _, longest := range []clock.Millis{3 * clock.Second, 20 * clock.Second} {
		blocked, streams := map[reportMode]int{}, map[reportMode]uint64{}
		for _, reports := range []reportMode{onlyUnbegun, weighted, allAlike} {
			for seed := range uint64(seriesSeeds) {
				made := series{random: rand.New(rand.NewPCG(seed, 1)), longest: longest, reports: reports}
				blocked[reports] += made.play()
				streams[reports] += made.started
			}
		}
		AddReportEntry(fmt.Sprintf("streams of up to %s, %d seeds", longest, seriesSeeds), fmt.Sprintf("%d of %d blocked; %d of %d if no begun stream is a suspect, %d of %d if all count alike",
			blocked[weighted], streams[weighted], blocked[onlyUnbegun], streams[onlyUnbegun], blocked[allAlike], streams[allAlike]), ReportEntryVisibilityAlways)
		Expect(blocked[weighted]).To(BeZero(), "streams of up to %s", longest)
		provoked += blocked[allAlike]
	}
	Expect(provoked).To(BeNumerically(">", 0), "the series does not provoke the failure")
})
