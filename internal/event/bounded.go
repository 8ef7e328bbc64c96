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
	// maxQueuedLines limits the lines that wait for a slow reader.
	maxQueuedLines = 2048
	// maxRequestLines limits the lines about requests per second. A gateway in
	// present deployments writes about 20.
	maxRequestLines = 500
	// firstRequestEvent and lastRequestEvent are the range of the numbers of events
	// about requests.
	firstRequestEvent, lastRequestEvent = 200, 299
)

// lineQueue decouples a process from the reader of its log, so that a slow
// reader does not block it, and limits the rate of lines about requests to an
// amount that can still be read.
type lineQueue struct {
	lines   chan []byte
	dropped atomic.Int64
	writing conc.WaitGroup

	// mu guards the fields below. It is a leaf lock.
	mu sync.Mutex
	// count is the number of lines about requests in the Unix second.
	second int64
	count  int
	closed bool
}

// NewBounded returns a log that never blocks. Lines beyond its limits are
// dropped, and their number is logged. Close writes the queued lines.
func NewBounded(out io.Writer, node, zone string) *Log {
	queue := &lineQueue{lines: make(chan []byte, maxQueuedLines)}
	logger := log.With(log.NewLogfmtLogger(queue), "time", log.DefaultTimestampUTC, "node", node, "zone", zone)
	sink := &Log{logger: logger, queue: queue}
	direct := &Log{logger: log.With(log.NewLogfmtLogger(out), "time", log.DefaultTimestampUTC, "node", node, "zone", zone)}
	queue.writing.Go(func() { queue.run(out, direct) })
	return sink
}

// run writes lines until the log is closed. The number of dropped lines is
// written directly to out, because the queue may be full.
func (queue *lineQueue) run(out io.Writer, direct *Log) {
	for line := range queue.lines {
		// There is no other place to report a failed write of the log.
		_, _ = out.Write(line)
		if dropped := queue.dropped.Swap(0); dropped > 0 {
			direct.Write(LinesDropped, "count", dropped)
		}
	}
}

// Close writes the queued lines and closes the log.
func (sink *Log) Close() {
	if sink.queue == nil {
		return
	}
	sink.queue.mu.Lock()
	if !sink.queue.closed {
		sink.queue.closed = true
		close(sink.queue.lines)
	}
	sink.queue.mu.Unlock()
	sink.queue.writing.Wait()
}

// admit reports whether the rate limit allows a line, and counts the line as
// written or dropped.
func (queue *lineQueue) admit(kind Event) bool {
	if kind.Number < firstRequestEvent || kind.Number > lastRequestEvent {
		return true
	}
	now := time.Now().Unix()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if now != queue.second {
		queue.second, queue.count = now, 0
	}
	if queue.count >= maxRequestLines {
		queue.dropped.Add(1)
		return false
	}
	queue.count++
	return true
}

// Write queues one line, or drops it when the queue is full.
func (queue *lineQueue) Write(line []byte) (int, error) {
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
