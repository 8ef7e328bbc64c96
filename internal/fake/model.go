// Package fake holds small stand-ins for the systems outside hibiscuslug. They
// serve tests, benchmarks and the embedded fleet only.
package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
)

// ModelSettings shape a fake model engine.
type ModelSettings struct {
	Listen string
	// FirstToken is the time before the first event.
	FirstToken time.Duration
	// Interval is the time between events; none when zero.
	Interval time.Duration
}

// Model is a fake model engine. Event n of an answer depends only on the
// request's body and n, so that answers can be checked token by token.
type Model struct {
	settings ModelSettings
	listener net.Listener
	app      *fiber.App
	running  conc.WaitGroup

	// mu guards the fields below.
	mu      sync.Mutex
	runs    map[string]int
	cancels map[string]context.CancelFunc
}

// completion is what the fake reads of a request.
type completion struct {
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

const defaultTokens = 16

// NewModel starts a fake model engine.
func NewModel(settings ModelSettings) (*Model, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", settings.Listen)
	if err != nil {
		return nil, err
	}
	model := &Model{settings: settings, listener: listener, runs: map[string]int{}, cancels: map[string]context.CancelFunc{}}
	model.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 20})
	model.app.Post("/engine/cancel", model.cancel)
	model.app.Get("/engine/runs", func(ctx *fiber.Ctx) error { return ctx.JSON(model.Runs()) })
	model.app.Post("/*", model.complete)
	model.running.Go(func() { _ = model.app.Listener(listener) })
	return model, nil
}

// URL returns the engine's address.
func (model *Model) URL() string { return "http://" + model.listener.Addr().String() }

// Runs returns how often each request id was run.
func (model *Model) Runs() map[string]int {
	model.mu.Lock()
	defer model.mu.Unlock()
	runs := make(map[string]int, len(model.runs))
	for id, count := range model.runs {
		runs[id] = count
	}
	return runs
}

// Close stops the engine.
func (model *Model) Close() error {
	err := model.app.ShutdownWithTimeout(time.Second)
	model.running.Wait()
	return err
}

func (model *Model) begin(id string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	model.mu.Lock()
	defer model.mu.Unlock()
	model.runs[id]++
	model.cancels[id] = cancel
	return ctx
}

func (model *Model) end(id string) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.cancels[id]()
	delete(model.cancels, id)
}

func (model *Model) cancel(ctx *fiber.Ctx) error {
	model.mu.Lock()
	defer model.mu.Unlock()
	if cancel, ok := model.cancels[ctx.Query("id")]; ok {
		cancel()
	}
	return ctx.SendStatus(fiber.StatusNoContent)
}

// Token returns event n of the answer to a body.
func Token(body []byte, n int) string {
	return fmt.Sprintf("t%d-%08x ", n, uint32(xxhash.Sum64(append([]byte(strconv.Itoa(n)), body...))))
}

func (model *Model) complete(ctx *fiber.Ctx) error {
	body := append([]byte(nil), ctx.Body()...)
	asked := completion{MaxTokens: defaultTokens}
	if err := json.Unmarshal(body, &asked); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if asked.MaxTokens == 0 {
		asked.MaxTokens = defaultTokens
	}
	from, _ := strconv.Atoi(ctx.Get("X-Resume-From", "0"))
	id := string([]byte(ctx.Get("X-Request-Id")))
	running := model.begin(id)
	if !asked.Stream {
		defer model.end(id)
		return model.whole(running, ctx, body, asked.MaxTokens)
	}
	ctx.Set(fiber.HeaderContentType, "text/event-stream")
	ctx.Context().SetBodyStreamWriter(func(out *bufio.Writer) {
		defer model.end(id)
		model.stream(running, out, body, from, asked.MaxTokens)
	})
	return nil
}

func (model *Model) whole(running context.Context, ctx *fiber.Ctx, body []byte, count int) error {
	text := ""
	for n := range count {
		if !model.pause(running, n == 0) {
			return fiber.NewError(fiber.StatusServiceUnavailable, "canceled")
		}
		text += Token(body, n)
	}
	return ctx.JSON(fiber.Map{"choices": []fiber.Map{{"text": text}}})
}

func (model *Model) stream(running context.Context, out *bufio.Writer, body []byte, from, count int) {
	for n := from; n < count; n++ {
		if !model.pause(running, n == from) {
			return
		}
		if _, err := fmt.Fprintf(out, "data: {\"choices\":[{\"text\":%q}]}\n\n", Token(body, n)); err != nil {
			return
		}
		if model.settings.Interval > 0 && out.Flush() != nil {
			return
		}
	}
	// The reader notices a stream without its closing event.
	_, _ = out.WriteString("data: [DONE]\n\n")
	_ = out.Flush()
}

// pause waits for the next event and tells whether the request still runs.
func (model *Model) pause(running context.Context, first bool) bool {
	span := model.settings.Interval
	if first {
		span = model.settings.FirstToken
	}
	if span == 0 {
		return running.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-running.Done():
		return false
	case <-timer.C:
		return true
	}
}
