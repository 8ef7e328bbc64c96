// Package fake provides fakes of the systems that hibiscuslug depends on: model
// engines, an order service, scripted endpoints and a disk. Tests, benchmarks
// and the embedded fleet use them.
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

// ModelSettings configure a fake model engine.
type ModelSettings struct {
	Listen string
	// FirstToken is the time before the first event.
	FirstToken time.Duration
	// Interval is the time between events. Zero means no delay, and no flush
	// after each event.
	Interval time.Duration
	// Slots is the maximum number of concurrent requests; zero means no limit.
	Slots int
	// LoadLag delays the load report, to simulate outdated load information.
	LoadLag time.Duration
	// Status, when not zero, is the error status of every response.
	Status int
	// CrashOn, when not empty, makes the engine call Crash for a request whose
	// body contains it.
	CrashOn string
	Crash   func()
}

// Model is a fake model engine. Event n of a response depends only on the
// request's body and n, so that a test can check a response token by token.
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

// completion holds the request fields that the fake evaluates.
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
	model.app.Post("/engine/cancel", model.jobHandler(func(target *job) { target.cancel() }))
	model.app.Post("/engine/pause", model.jobHandler(func(target *job) { target.paused = true }))
	model.app.Post("/engine/resume", model.jobHandler(func(target *job) { target.paused = false }))
	model.app.Get("/engine/load", func(ctx *fiber.Ctx) error { return ctx.JSON(model.batch.load(ctx.Query("id"))) })
	model.app.Get("/engine/runs", func(ctx *fiber.Ctx) error { return ctx.JSON(model.Runs()) })
	model.app.Post("/*", model.complete)
	model.running.Go(func() { _ = model.app.Listener(listener) })
	return model, nil
}

// URL returns the engine's address.
func (model *Model) URL() string { return "http://" + model.listener.Addr().String() }

// Runs returns the number of runs of each request id.
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

func (model *Model) startJob(id string, priority int) (*job, context.Context) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.runs[id]++
	return model.batch.add(id, priority)
}

// jobHandler returns a handler that changes the jobs of one request id.
func (model *Model) jobHandler(change func(*job)) fiber.Handler {
	return func(ctx *fiber.Ctx) error {
		if !model.batch.update(ctx.Query("id"), change) {
			return ctx.SendStatus(fiber.StatusNotFound)
		}
		return ctx.SendStatus(fiber.StatusNoContent)
	}
}

// Token returns token n of the response to a body.
func Token(body []byte, n int) string {
	return fmt.Sprintf("t%d-%08x ", n, uint32(xxhash.Sum64(append([]byte(strconv.Itoa(n)), body...))))
}

func (model *Model) complete(ctx *fiber.Ctx) error {
	body := append([]byte(nil), ctx.Body()...)
	parsed := completion{MaxTokens: defaultTokens}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if parsed.MaxTokens == 0 {
		parsed.MaxTokens = defaultTokens
	}
	from, _ := strconv.Atoi(ctx.Get("X-Resume-From", "0"))
	priority, _ := strconv.Atoi(ctx.Get("X-Priority", "0"))
	running, jobCtx := model.startJob(string([]byte(ctx.Get("X-Request-Id"))), priority)
	if model.settings.Status != 0 {
		model.batch.remove(running)
		return fiber.NewError(model.settings.Status, "engine is configured to fail every request")
	}
	if !parsed.Stream {
		defer model.batch.remove(running)
		return model.completeWhole(jobCtx, running, ctx, body, parsed.MaxTokens)
	}
	ctx.Set(fiber.HeaderContentType, "text/event-stream")
	ctx.Context().SetBodyStreamWriter(func(out *bufio.Writer) {
		defer model.batch.remove(running)
		model.stream(jobCtx, running, out, body, from, parsed.MaxTokens)
	})
	return nil
}

func (model *Model) completeWhole(jobCtx context.Context, running *job, ctx *fiber.Ctx, body []byte, count int) error {
	text := ""
	for n := range count {
		if !model.waitForEvent(jobCtx, running, body, n == 0) {
			return fiber.NewError(fiber.StatusServiceUnavailable, "canceled")
		}
		text += Token(body, n)
	}
	return ctx.JSON(fiber.Map{"choices": []fiber.Map{{"text": text}}})
}

func (model *Model) stream(jobCtx context.Context, running *job, out *bufio.Writer, body []byte, from, count int) {
	for n := from; n < count; n++ {
		if !model.waitForEvent(jobCtx, running, body, n == from) {
			return
		}
		if _, err := fmt.Fprintf(out, "data: {\"choices\":[{\"text\":%q}]}\n\n", Token(body, n)); err != nil {
			return
		}
		if model.settings.Interval > 0 && out.Flush() != nil {
			return
		}
	}
	// Write errors need no handling: the reader detects the missing closing event.
	_, _ = out.WriteString("data: [DONE]\n\n")
	_ = out.Flush()
}

// waitForEvent waits for a slot and then for the delay of the next event. It
// reports false if the request was canceled.
func (model *Model) waitForEvent(jobCtx context.Context, running *job, body []byte, first bool) bool {
	if !model.batch.waitForSlot(jobCtx, running) {
		return false
	}
	delay := model.settings.Interval
	if first {
		delay = model.settings.FirstToken
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-jobCtx.Done():
			return false
		case <-timer.C:
		}
	}
	if model.settings.CrashOn != "" && bytes.Contains(body, []byte(model.settings.CrashOn)) {
		model.settings.Crash()
	}
	model.batch.countEvent(running)
	return jobCtx.Err() == nil
}
