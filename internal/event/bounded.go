package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc"
)

const (
	// queuedLines bounds the lines that wait for a slow reader.
	queuedLines = 2048
	// requestLines bounds the lines on requests in one second; a gateway of
	// today's deployments writes about 20.
	requestLines = 500
	// Numbers of events on requests.
	firstRequest, lastRequest = 200, 299
)

// bounded keeps a process from waiting for whoever reads its log, and from
// writing more lines on requests than anyone can read.
type bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	writing conc.WaitGroup

	// mu guards the fields below. It is a leaf lock.
	mu     sync.Mutex
	second int64
	count  int
	closed bool
}

// NewBounded returns a log that never blocks. Lines that do not fit are
// dropped, and their number is logged. Close writes what waits.
func NewBounded(out io.Writer, node, zone string) *Log {
	queue := &bounded{lines: make(chan []byte, queuedLines)}
	logger := log.With(log.NewLogfmtLogger(queue), "time", log.DefaultTimestampUTC, "node", node, "zone", zone)
	sink := &Log{logger: logger, bounded: queue}
	direct := &Log{logger: log.With(log.NewLogfmtLogger(out), "time", log.DefaultTimestampUTC, "node", node, "zone", zone)}
	queue.writing.Go(func() { queue.run(out, direct) })
	return sink
}

// run writes lines until the log is closed. How many were dropped is written
// past the queue, which may be full.
func (queue *bounded) run(out io.Writer, direct *Log) {
	for line := range queue.lines {
		// A line that cannot be written has nowhere else to go.
		_, _ = out.Write(line)
		if dropped := queue.dropped.Swap(0); dropped > 0 {
			direct.Write(LinesDropped, "count", dropped)
		}
	}
}

// Close writes the lines that wait and ends the log.
func (sink *Log) Close() {
	if sink.bounded == nil {
		return
	}
	sink.bounded.mu.Lock()
	if !sink.bounded.closed {
		sink.bounded.closed = true
		close(sink.bounded.lines)
	}
	sink.bounded.mu.Unlock()
	sink.bounded.writing.Wait()
}

// admit tells whether there is room for a line.
func (queue *bounded) admit(kind Event) bool {
	if kind.Number < firstRequest || kind.Number > lastRequest {
		return true
	}
	now := time.Now().Unix()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if now != queue.second {
		queue.second, queue.count = now, 0
	}
	if queue.count >= requestLines {
		queue.dropped.Add(1)
		return false
	}
	queue.count++
	return true
}

// Write queues one line.
func (queue *bounded) Write(line []byte) (int, error) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if queue.closed {
		return len(line), nil
	}
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}
