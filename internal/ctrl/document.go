package ctrl

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// documentTime is how long a decompressed document is kept after it was last read. It is
// longer than a response waits for a client that reads nothing.
const documentTime = 20 * clock.Second

// documents shares the decompressed configuration between those who read it at the same
// time. Each of them may read slowly, and would otherwise keep a document of its own in
// memory.
type documents struct {
	// mu guards the fields below. It is a leaf lock.
	mu sync.Mutex
	// source is the deployment of text; nil for none.
	source *wire.Deployment
	text   []byte
	readAt clock.Millis
}

// read returns the document of a deployment. It must not be changed.
func (documents *documents) read(source *wire.Deployment, now clock.Millis) ([]byte, error) {
	documents.mu.Lock()
	defer documents.mu.Unlock()
	if documents.source != source {
		text, err := state.Document(source)
		if err != nil {
			return nil, err
		}
		documents.source, documents.text = source, text
	}
	documents.readAt = now
	return documents.text, nil
}

// expire releases a document that was not read lately.
func (documents *documents) expire(ticker *clock.Clock) {
	documents.mu.Lock()
	defer documents.mu.Unlock()
	if documents.source != nil && ticker.Now()-documents.readAt > documentTime {
		documents.source, documents.text = nil, nil
	}
}
