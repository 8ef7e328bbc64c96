package fake

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
)

// Desk is a fake order service. It counts the bookings by request body, so that
// a test can detect a booking that ran twice.
type Desk struct {
	delay    time.Duration
	listener net.Listener
	app      *fiber.App
	running  conc.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	booked map[string]int
	served map[string]int
	hold   <-chan struct{}
}

// NewDesk starts a fake order service that takes the delay for each booking.
func NewDesk(listen string, delay time.Duration) (*Desk, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, err
	}
	desk := &Desk{delay: delay, listener: listener, booked: map[string]int{}, served: map[string]int{}}
	desk.app = fiber.New(fiber.Config{DisableStartupMessage: true})
	desk.app.Get("/engine/runs", func(ctx *fiber.Ctx) error { return ctx.JSON(desk.Booked()) })
	desk.app.All("/*", desk.book)
	desk.running.Go(func() { _ = desk.app.Listener(listener) })
	return desk, nil
}

// URL returns the desk's address.
func (desk *Desk) URL() string { return "http://" + desk.listener.Addr().String() }

// Booked returns the number of bookings started for each body.
func (desk *Desk) Booked() map[string]int {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	return maps.Clone(desk.booked)
}

// Served returns the number of bookings completed for each body.
func (desk *Desk) Served() map[string]int {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	return maps.Clone(desk.served)
}

// Hold blocks later bookings, before they complete, until the channel is closed.
func (desk *Desk) Hold(gate <-chan struct{}) {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	desk.hold = gate
}

// Close stops the service.
func (desk *Desk) Close() error {
	err := desk.app.ShutdownWithTimeout(time.Second)
	desk.running.Wait()
	return err
}

func (desk *Desk) book(ctx *fiber.Ctx) error {
	body := string(ctx.Body())
	desk.mu.Lock()
	desk.booked[body]++
	count, hold := desk.booked[body], desk.hold
	desk.mu.Unlock()
	time.Sleep(desk.delay)
	if hold != nil {
		<-hold
	}
	desk.mu.Lock()
	desk.served[body]++
	desk.mu.Unlock()
	return ctx.JSON(fiber.Map{"booked": body, "count": count})
}
