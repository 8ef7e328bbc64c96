// Package fake holds small stand-ins for the systems outside hibiscuslug. They
// serve tests, benchmarks and the embedded fleet only.
package fake

import (
	"bufio"
	"bytes"
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
	// Slots is how many requests run at once; any number when zero.
	Slots int
	// LoadLag is the age of the load page.
	LoadLag time.Duration
	// Status, when set, answers every request with this error status.
	Status int
	// CrashOn, when set, calls Crash for a request whose body contains it.
	CrashOn string
	Crash   func()
}

// Model is a fake model engine. Event n of an answer depends only on the
// request's body and n, so that answers can be checked token by token.
type Model struct {
	settings ModelSettings
	listener net.Listener
	app      *fiber.App
	running  conc.WaitGroup
	batch    *batch

	// mu guards runs.
	mu   sync.Mutex
	runs map[string]int
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
	model := &Model{settings: settings, listener: listener, runs: map[string]int{}, batch: newBatch(settings.Slots, settings.LoadLag)}
	model.app = fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 20})
	model.app.Post("/engine/cancel", model.instruct(func(known *job) { known.cancel() }))
	model.app.Post("/engine/pause", model.instruct(func(known *job) { known.paused = true }))
	model.app.Post("/engine/resume", model.instruct(func(known *job) { known.paused = false }))
	model.app.Get("/engine/load", func(ctx *fiber.Ctx) error { return ctx.JSON(model.batch.load(ctx.Query("id"))) })
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

func (model *Model) begin(id string, priority int) (*job, context.Context) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.runs[id]++
	return model.batch.add(id, priority)
}

// instruct answers an instruction about one request.
func (model *Model) instruct(change func(*job)) fiber.Handler {
	return func(ctx *fiber.Ctx) error {
		if !model.batch.each(ctx.Query("id"), change) {
			return ctx.SendStatus(fiber.StatusNotFound)
		}
		return ctx.SendStatus(fiber.StatusNoContent)
	}
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
	priority, _ := strconv.Atoi(ctx.Get("X-Priority", "0"))
	running, alive := model.begin(string([]byte(ctx.Get("X-Request-Id"))), priority)
	if model.settings.Status != 0 {
		model.batch.remove(running)
		return fiber.NewError(model.settings.Status, "engine fails by its settings")
	}
	if !asked.Stream {
		defer model.batch.remove(running)
		return model.whole(alive, running, ctx, body, asked.MaxTokens)
	}
	ctx.Set(fiber.HeaderContentType, "text/event-stream")
	ctx.Context().SetBodyStreamWriter(func(out *bufio.Writer) {
		defer model.batch.remove(running)
		model.stream(alive, running, out, body, from, asked.MaxTokens)
	})
	return nil
}

func (model *Model) whole(alive context.Context, running *job, ctx *fiber.Ctx, body []byte, count int) error {
	text := ""
	for n := range count {
		if !model.next(alive, running, body, n == 0) {
			return fiber.NewError(fiber.StatusServiceUnavailable, "canceled")
		}
		text += Token(body, n)
	}
	return ctx.JSON(fiber.Map{"choices": []fiber.Map{{"text": text}}})
}

func (model *Model) stream(alive context.Context, running *job, out *bufio.Writer, body []byte, from, count int) {
	for n := from; n < count; n++ {
		if !model.next(alive, running, body, n == from) {
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

// next waits until the next event is due and the request holds a slot, and
// tells whether the request still runs.
func (model *Model) next(alive context.Context, running *job, body []byte, first bool) bool {
	if !model.batch.enter(alive, running) {
		return false
	}
	span := model.settings.Interval
	if first {
		span = model.settings.FirstToken
	}
	if span > 0 {
		timer := time.NewTimer(span)
		defer timer.Stop()
		select {
		case <-alive.Done():
			return false
		case <-timer.C:
		}
	}
	if model.settings.CrashOn != "" && bytes.Contains(body, []byte(model.settings.CrashOn)) {
		model.settings.Crash()
	}
	model.batch.produce(running)
	return alive.Err() == nil
}
