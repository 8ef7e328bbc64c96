package history_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	callLimit       = 6 * time.Second
	commandLimit    = 2 * time.Second
	maxAttempts     = 4
	sharedCustomers = 3
)

// change is a command of an operator and its result.
type change struct {
	ID         string `json:"id"`
	Text       string `json:"text"`
	IfRevision uint64 `json:"ifRevision"`
	Call       int64  `json:"call"`
	Return     int64  `json:"return"`
	// Outcome is accepted, conflict or unknown.
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
}

// answer is the response to a request, as its caller saw it.
type answer struct {
	Key     string `json:"key"`
	Body    string `json:"body"`
	ID      string `json:"id"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Text    string `json:"text"`
}

// observation is the configuration of a process at one time. Content is a hash.
type observation struct {
	Node        string `json:"node"`
	Incarnation int    `json:"life"`
	Revision    uint64 `json:"revision"`
	Content     string `json:"content"`
}

// history holds everything that the clients of one run observed, and the final
// counts of the fake engines and the order desk.
type history struct {
	Seed    uint64   `json:"seed"`
	Start   uint64   `json:"start"`
	Faults  []string `json:"faults"`
	Changes []change `json:"changes"`
	// Own holds the changes that no client asked for.
	Own []change `json:"own"`
	// Resent holds the results of all commands when resent at the end.
	Resent       []change      `json:"again"`
	Bookings     []answer      `json:"bookings"`
	Streams      []answer      `json:"streams"`
	Observations []observation `json:"seen"`
	// Booked holds the number of bookings per body.
	Booked map[string]int `json:"booked"`
	// Ran holds the number of runs at engines per request id.
	Ran map[string]int `json:"ran"`

	// mu guards the slices while clients run.
	mu sync.Mutex
}

func (history *history) operations() int {
	return len(history.Changes) + len(history.Resent) + len(history.Bookings) + len(history.Streams)
}

// clients are the concurrent clients of one run.
type clients struct {
	deployment *deployment
	history    *history
	pool       *link.Pool
	http       *http.Client
	start      time.Time
}

func newClients(deployment *deployment, history *history) *clients {
	return &clients{
		deployment: deployment, history: history, pool: link.NewPool(), start: time.Now(),
		http: &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (clients *clients) now() int64 { return int64(time.Since(clients.start)) }

// operate changes customers, half of the time only if the configuration is still
// at the latest known revision, which other operators change concurrently.
func (clients *clients) operate(ctx context.Context, name string, random *rand.Rand) {
	latest := clients.history.Start
	for at := 0; ctx.Err() == nil; at++ {
		command := change{ID: fmt.Sprintf("%s-%d", name, at), Call: clients.now()}
		command.Text = fmt.Sprintf("alter customer shared%d weight %d", random.IntN(sharedCustomers), 1+random.IntN(1000))
		if random.IntN(2) == 0 {
			command.IfRevision = latest
			command.Text += fmt.Sprintf(" if revision %d", latest)
		}
		command = clients.command(command, random)
		latest = max(latest, command.Revision)
		clients.history.mu.Lock()
		clients.history.Changes = append(clients.history.Changes, command)
		clients.history.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// command sends a command and retries it with the same id, at random targets,
// until it gets a reply. After the last attempt the outcome is unknown.
func (clients *clients) command(command change, random *rand.Rand) change {
	targets := append(append([]*node(nil), clients.deployment.controls...), clients.deployment.entries...)
	command.Outcome = "unknown"
	for range maxAttempts {
		target := targets[random.IntN(len(targets))]
		ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
		conn, err := clients.pool.Fresh(ctx, target.listen)
		if err == nil {
			var reply *wire.CommandReply
			reply, err = wire.NewDRPCOperateClient(conn).Execute(ctx, &wire.Command{Id: command.ID, Text: command.Text})
			_ = conn.Close()
			if err == nil && reply.GetCode() != "unavailable" {
				cancel()
				return answered(command, reply, clients.now())
			}
		}
		cancel()
		time.Sleep(50 * time.Millisecond)
	}
	return command
}

func answered(command change, reply *wire.CommandReply, now int64) change {
	command.Return, command.Revision = now, reply.GetRevision()
	switch reply.GetCode() {
	case "":
		command.Outcome = "accepted"
	case "conflict":
		command.Outcome = "conflict"
	default:
		command.Outcome = reply.GetCode() + ": " + reply.GetError()
	}
	return command
}

// book sends bookings one after the other, each from one or two concurrent callers.
func (clients *clients) book(ctx context.Context, name string, random *rand.Rand) {
	for at := 0; ctx.Err() == nil; at++ {
		key := fmt.Sprintf("%s-%d", name, at)
		var callers sync.WaitGroup
		for range 1 + random.IntN(2) {
			order := random.Perm(entries)
			callers.Add(1)
			go func() {
				defer callers.Done()
				clients.resend(key, order)
			}()
		}
		callers.Wait()
	}
}

// resend sends a booking to one entry VM after the other until it succeeds.
func (clients *clients) resend(key string, order []int) {
	for at := range maxAttempts {
		answer := clients.send(clients.deployment.entries[order[at]], "/services/desk/book", "kit "+key, key)
		clients.history.mu.Lock()
		clients.history.Bookings = append(clients.history.Bookings, answer)
		clients.history.mu.Unlock()
		if answer.Status == http.StatusOK {
			return
		}
	}
}

// stream requests streamed completions one after the other.
func (clients *clients) stream(ctx context.Context, name string, random *rand.Rand) {
	for at := 0; ctx.Err() == nil; at++ {
		body := fmt.Sprintf(`{"model":"guide-1","prompt":"%s-%d","max_tokens":%d,"stream":true}`, name, at, 1+random.IntN(20))
		answer := clients.send(clients.deployment.entries[random.IntN(entries)], "/v1/completions", body, "")
		clients.history.mu.Lock()
		clients.history.Streams = append(clients.history.Streams, answer)
		clients.history.mu.Unlock()
	}
}

// send sends one request and returns the answer. An answer that does not arrive
// completely has the outcome "lost".
func (clients *clients) send(entry *node, path, body, key string) answer {
	answer := answer{Key: key, Body: body, Outcome: "lost"}
	request, err := http.NewRequest(http.MethodPost, entry.http+path, strings.NewReader(body))
	if err != nil {
		return answer
	}
	request.Header.Set("Authorization", "Bearer s3cret")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := clients.http.Do(request)
	if err != nil {
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.ID, answer.Status = response.Header.Get("X-Request-Id"), response.StatusCode
	text, err := io.ReadAll(response.Body)
	answer.Text = string(text)
	if err == nil {
		answer.Outcome = response.Header.Get("X-Outcome")
	}
	return answer
}

// watch polls the configuration of every count-th process from an index on. Each
// process is polled by only one watcher, so that its revisions are recorded in
// order.
func (clients *clients) watch(ctx context.Context, index, count int) {
	all := append(append([]*node(nil), clients.deployment.controls...), clients.deployment.entries...)
	for at := index; ctx.Err() == nil; at += count {
		target := all[at%len(all)]
		_, incarnation := target.running()
		config, err := clients.readConfig(target)
		_, current := target.running()
		if err == nil && incarnation == current {
			clients.recordObservation(observation{Node: target.name, Incarnation: incarnation, Revision: config.Revision()}, config)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (clients *clients) recordObservation(observed observation, config *state.State) {
	text, err := config.Snapshot().MarshalVT()
	if err != nil {
		return
	}
	observed.Content = fmt.Sprintf("%x", xxhash.Sum64(text))
	clients.history.mu.Lock()
	defer clients.history.mu.Unlock()
	clients.history.Observations = append(clients.history.Observations, observed)
}

// readConfig returns the configuration in a process's feed.
func (clients *clients) readConfig(target *node) (*state.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := clients.pool.Fresh(ctx, target.listen)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCFeedClient(conn).Watch(ctx, &wire.WatchRequest{Node: "history"})
	if err != nil {
		return nil, err
	}
	item, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	view := feed.NewView(clock.NewSystem())
	if err := view.Apply(item, clock.NewSystem().Now()); err != nil {
		return nil, err
	}
	return view.State(), nil
}
