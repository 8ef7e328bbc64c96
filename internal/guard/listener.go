package guard

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// Waits after an error of accept; without descriptors it fails until one is closed.
	minAcceptWait = 5 * clock.Millis(1)
	maxAcceptWait = clock.Second
	waitFactor    = 2
)

// Parts of the descriptors of a process for the connections of one kind of client. An
// eighth remains for all else.
const (
	// CallersShare is the part for callers, whose requests may each need another connection
	// to an endpoint.
	CallersShare = 3.0 / 8
	// PeersShare is the part for other processes, where most connections are theirs, and
	// FewPeersShare where they are not.
	PeersShare    = 3.0 / 8
	FewPeersShare = 1.0 / 8
	// OperatorsShare is the part for operators and the heartbeats of endpoints.
	OperatorsShare = 1.0 / 4
	// ChecksShare is the part for checks of readiness, and for readers of metrics.
	ChecksShare = 1.0 / 32
)

// Options describe the clients of a listener.
type Options struct {
	// Name names the listener in the log and in metrics.
	Name string
	// Share is the part of the descriptors of the process that its connections may use.
	Share float64
	// HeadLimit returns the largest header of a request in bytes; nil for clients that do
	// not use HTTP.
	HeadLimit func() int
	// HeadTime limits the time from the first byte of a request until the server gets it;
	// 0 for any time.
	HeadTime clock.Millis
	// WholeBody is the length up to which the server gets a request only once its body has
	// arrived; 0 for a server that counts the body itself.
	WholeBody int
	// Decoded is set if the body is a JSON text that is decoded as a whole.
	Decoded bool
	// Respond returns the response to a request that the server does not get to see; nil
	// for a plain one.
	Respond func(status int) []byte
	// ServerRefuses is set if the server itself answers headers that are too large or do
	// not arrive in time, from the part that it gets.
	ServerRefuses bool
	// WriteStall is the time after which a connection whose client reads nothing is
	// closed; 0 for none.
	WriteStall clock.Millis
}

type listener struct {
	net.Listener
	guard   *Guard
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	// closing keeps the first result of Close, which servers call more than once.
	closing sync.Once
	closed  error
}

// Listen returns a listener that passes on the connections of another one. Its Accept ends
// only when it is closed: other errors are logged and waited out.
func (guard *Guard) Listen(inner net.Listener, options Options) net.Listener {
	ctx, cancel := context.WithCancel(guard.ctx)
	return &listener{Listener: inner, guard: guard, options: options, ctx: ctx, cancel: cancel}
}

// Accept returns the next connection for which there is room.
func (listener *listener) Accept() (net.Conn, error) {
	wait := minAcceptWait
	for {
		accepted, err := listener.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			listener.guard.log.Write(event.AcceptFailed, "listener", listener.options.Name, "wait", wait, "error", err)
			if err := listener.guard.clock.Sleep(listener.ctx, wait); err != nil {
				return nil, net.ErrClosed
			}
			wait = min(wait*waitFactor, maxAcceptWait)
			continue
		}
		wait = minAcceptWait
		account := listener.guard.accept(listener.options.Name, listener.limit(), func() { _ = accepted.Close() })
		if account == nil {
			// Nothing was read, so there is nobody to tell an error.
			_ = accepted.Close()
			continue
		}
		return newConn(accepted, listener.options, account), nil
	}
}

// limit returns the number of connections that the listener may have; 0 for any.
func (listener *listener) limit() int {
	if listener.guard.settings.Descriptors <= 0 {
		return 0
	}
	return max(int(float64(listener.guard.settings.Descriptors)*listener.options.Share), 1)
}

// Close closes the listener. Its connections stay open.
func (listener *listener) Close() error {
	listener.closing.Do(func() {
		listener.cancel()
		listener.closed = listener.Listener.Close()
	})
	return listener.closed
}
