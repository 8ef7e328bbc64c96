package meter

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMillis is the upper end of the recorded range; requests end before.
	maxMillis = 600_000
	// significantDigits is the precision of recorded values, in decimal digits.
	significantDigits = 2
	// A histogram covers the last windowCount windows, each of windowLength.
	windowCount  = 3
	windowLength = time.Minute
)

// Histogram is a metric with the distribution of recent values per key.
type Histogram struct {
	// mu guards the fields below. It is a leaf lock.
	mu          sync.Mutex
	windowStart time.Time
	byKey       map[string]*hdrhistogram.WindowedHistogram
}

// Quantiles summarizes the recent values of a key, in milliseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Histogram registers and returns the histogram of a metric.
func (meter *Meter) Histogram(metric Metric) *Histogram {
	histogram := &Histogram{windowStart: time.Now(), byKey: map[string]*hdrhistogram.WindowedHistogram{}}
	meter.vars.Set(metric.Name, expvar.Func(func() any { return histogram.Quantiles() }))
	return histogram
}

// Record adds a value to the distribution of a key.
func (histogram *Histogram) Record(key string, millis int64) {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	histogram.rotate()
	windowed := histogram.byKey[key]
	if windowed == nil {
		windowed = hdrhistogram.NewWindowed(windowCount, 1, maxMillis, significantDigits)
		histogram.byKey[key] = windowed
	}
	// Values are clamped to the recorded range, so recording cannot fail.
	_ = windowed.Current.RecordValue(min(max(millis, 1), maxMillis))
}

// rotate starts a new window for each windowLength that has passed.
func (histogram *Histogram) rotate() {
	for now := time.Now(); now.Sub(histogram.windowStart) >= windowLength; histogram.windowStart = histogram.windowStart.Add(windowLength) {
		for _, windowed := range histogram.byKey {
			windowed.Rotate()
		}
	}
}

// Quantiles returns the quantiles of each key.
func (histogram *Histogram) Quantiles() map[string]Quantiles {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	histogram.rotate()
	byKey := make(map[string]Quantiles, len(histogram.byKey))
	for key, windowed := range histogram.byKey {
		merged := windowed.Merge()
		byKey[key] = Quantiles{
			Count: merged.TotalCount(), P50: merged.ValueAtQuantile(50), P90: merged.ValueAtQuantile(90),
			P99: merged.ValueAtQuantile(99), Max: merged.Max(),
		}
	}
	return byKey
}
