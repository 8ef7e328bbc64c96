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
	callLimit    = 6 * time.Second
	commandLimit = 2 * time.Second
	resends      = 4
	names        = 3
)

// change is one operator's command with its answer.
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

// answer is what one caller heard.
type answer struct {
	Key     string `json:"key"`
	Body    string `json:"body"`
	ID      string `json:"id"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Text    string `json:"text"`
}

// seen is a process's configuration at one moment.
type seen struct {
	Node     string `json:"node"`
	Life     int    `json:"life"`
	Revision uint64 `json:"revision"`
	Content  string `json:"content"`
}

// history is everything that clients saw in one run, with the counts of the
// systems outside at its end.
type history struct {
	Seed    uint64   `json:"seed"`
	Start   uint64   `json:"start"`
	Faults  []string `json:"faults"`
	Changes []change `json:"changes"`
	// Again holds the answers to all commands sent once more at the end.
	Again    []change       `json:"again"`
	Bookings []answer       `json:"bookings"`
	Streams  []answer       `json:"streams"`
	Seen     []seen         `json:"seen"`
	Booked   map[string]int `json:"booked"`
	// Ran holds the request ids that engines ran.
	Ran map[string]int `json:"ran"`

	// mu guards the lists while clients run.
	mu sync.Mutex
}

func (history *history) operations() int {
	return len(history.Changes) + len(history.Again) + len(history.Bookings) + len(history.Streams)
}

// clients are the concurrent clients of one run.
type clients struct {
	world   *world
	history *history
	pool    *link.Pool
	http    *http.Client
	began   time.Time
}

func newClients(world *world, history *history) *clients {
	return &clients{
		world: world, history: history, pool: link.NewPool(), began: time.Now(),
		http: &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (clients *clients) now() int64 { return int64(time.Since(clients.began)) }

// operate changes customers, often against a revision that others race for.
func (clients *clients) operate(ctx context.Context, name string, random *rand.Rand) {
	known := clients.history.Start
	for at := 0; ctx.Err() == nil; at++ {
		made := change{ID: fmt.Sprintf("%s-%d", name, at), Call: clients.now()}
		made.Text = fmt.Sprintf("alter customer shared%d weight %d", random.IntN(names), 1+random.IntN(1000))
		if random.IntN(2) == 0 {
			made.IfRevision = known
			made.Text += fmt.Sprintf(" if revision %d", known)
		}
		made = clients.command(made, random)
		known = max(known, made.Revision)
		clients.history.mu.Lock()
		clients.history.Changes = append(clients.history.Changes, made)
		clients.history.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// command sends a command, and again with the same id when no answer comes.
func (clients *clients) command(made change, random *rand.Rand) change {
	targets := append(append([]*member(nil), clients.world.controls...), clients.world.entries...)
	made.Outcome = "unknown"
	for range resends {
		target := targets[random.IntN(len(targets))]
		ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
		conn, err := clients.pool.Fresh(ctx, target.listen)
		if err == nil {
			var reply *wire.CommandReply
			reply, err = wire.NewDRPCOperateClient(conn).Execute(ctx, &wire.Command{Id: made.ID, Text: made.Text})
			_ = conn.Close()
			if err == nil && reply.GetCode() != "unavailable" {
				cancel()
				return answered(made, reply, clients.now())
			}
		}
		cancel()
		time.Sleep(50 * time.Millisecond)
	}
	return made
}

func answered(made change, reply *wire.CommandReply, now int64) change {
	made.Return, made.Revision = now, reply.GetRevision()
	switch reply.GetCode() {
	case "":
		made.Outcome = "accepted"
	case "conflict":
		made.Outcome = "conflict"
	default:
		made.Outcome = reply.GetCode() + ": " + reply.GetError()
	}
	return made
}

// book sends each booking until it is answered, through any entry VM.
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

func (clients *clients) resend(key string, order []int) {
	for at := range resends {
		heard := clients.send(clients.world.entries[order[at]], "/services/desk/book", "kit "+key, key)
		clients.history.mu.Lock()
		clients.history.Bookings = append(clients.history.Bookings, heard)
		clients.history.mu.Unlock()
		if heard.Status == http.StatusOK {
			return
		}
	}
}

// stream asks for completions.
func (clients *clients) stream(ctx context.Context, name string, random *rand.Rand) {
	for at := 0; ctx.Err() == nil; at++ {
		body := fmt.Sprintf(`{"model":"guide-1","prompt":"%s-%d","max_tokens":%d,"stream":true}`, name, at, 1+random.IntN(20))
		heard := clients.send(clients.world.entries[random.IntN(entries)], "/v1/completions", body, "")
		clients.history.mu.Lock()
		clients.history.Streams = append(clients.history.Streams, heard)
		clients.history.mu.Unlock()
	}
}

// send sends one request and returns what the caller heard. An answer that
// does not arrive in full has the outcome "lost".
func (clients *clients) send(entry *member, path, body, key string) answer {
	heard := answer{Key: key, Body: body, Outcome: "lost"}
	request, err := http.NewRequest(http.MethodPost, entry.http+path, strings.NewReader(body))
	if err != nil {
		return heard
	}
	request.Header.Set("Authorization", "Bearer s3cret")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := clients.http.Do(request)
	if err != nil {
		return heard
	}
	defer func() { _ = response.Body.Close() }()
	heard.ID, heard.Status = response.Header.Get("X-Request-Id"), response.StatusCode
	text, err := io.ReadAll(response.Body)
	heard.Text = string(text)
	if err == nil {
		heard.Outcome = response.Header.Get("X-Outcome")
	}
	return heard
}

// watch reads the configuration of its share of the processes again and again.
// A process is read by one watcher only, so that its revisions are recorded in order.
func (clients *clients) watch(ctx context.Context, part, parts int) {
	all := append(append([]*member(nil), clients.world.controls...), clients.world.entries...)
	for at := part; ctx.Err() == nil; at += parts {
		target := all[at%len(all)]
		_, life := target.running()
		config, err := clients.look(target)
		_, after := target.running()
		if err == nil && life == after {
			clients.saw(seen{Node: target.name, Life: life, Revision: config.Revision()}, config)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (clients *clients) saw(made seen, config *state.State) {
	text, err := config.Snapshot().MarshalVT()
	if err != nil {
		return
	}
	made.Content = fmt.Sprintf("%x", xxhash.Sum64(text))
	clients.history.mu.Lock()
	defer clients.history.mu.Unlock()
	clients.history.Seen = append(clients.history.Seen, made)
}

// look returns the configuration that a process would pass on.
func (clients *clients) look(target *member) (*state.State, error) {
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
