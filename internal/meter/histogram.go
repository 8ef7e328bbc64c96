package meter

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// largestMillis is the largest value told apart; requests end before.
	largestMillis = 600_000
	// digits is the precision kept, in significant figures.
	digits = 2
	// windows and windowSpan are the time that a histogram covers.
	windows    = 3
	windowSpan = time.Minute
)

// Histogram is a metric with the distribution of recent values, by key.
type Histogram struct {
	// mu guards the fields below. It is a leaf lock.
	mu    sync.Mutex
	turn  time.Time
	byKey map[string]*hdrhistogram.WindowedHistogram
}

// Quantiles are what a histogram shows of a key, in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Histogram returns the histogram of a metric.
func (meter *Meter) Histogram(metric Metric) *Histogram {
	histogram := &Histogram{turn: time.Now(), byKey: map[string]*hdrhistogram.WindowedHistogram{}}
	meter.vars.Set(metric.Name, expvar.Func(func() any { return histogram.Quantiles() }))
	return histogram
}

// Record adds a value at a key.
func (histogram *Histogram) Record(key string, millis int64) {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	histogram.rotate()
	known := histogram.byKey[key]
	if known == nil {
		known = hdrhistogram.NewWindowed(windows, 1, largestMillis, digits)
		histogram.byKey[key] = known
	}
	// A value above the largest counts as the largest.
	_ = known.Current.RecordValue(min(max(millis, 1), largestMillis))
}

// rotate begins a new window when its time has come.
func (histogram *Histogram) rotate() {
	for now := time.Now(); now.Sub(histogram.turn) >= windowSpan; histogram.turn = histogram.turn.Add(windowSpan) {
		for _, known := range histogram.byKey {
			known.Rotate()
		}
	}
}

// Quantiles returns what is known of each key.
func (histogram *Histogram) Quantiles() map[string]Quantiles {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	histogram.rotate()
	shown := make(map[string]Quantiles, len(histogram.byKey))
	for key, known := range histogram.byKey {
		merged := known.Merge()
		shown[key] = Quantiles{
			Count: merged.TotalCount(), P50: merged.ValueAtQuantile(50), P90: merged.ValueAtQuantile(90),
			P99: merged.ValueAtQuantile(99), Max: merged.Max(),
		}
	}
	return shown
}
