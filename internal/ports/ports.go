// Package ports finds loopback ports for tests and benchmarks that close a
// listener and open it again. It keeps below the range from which the kernel
// takes ports of outgoing connections: one of those took a port between the
// end of a process and its restart.
package ports

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	first = 10_000
	last  = 32_000
	tries = 100
)

// Listen listens on a free port.
func Listen() (net.Listener, error) {
	var config net.ListenConfig
	failure := errors.New("no port was tried")
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(last-first))
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return listener, nil
		}
		failure = err
	}
	return nil, errors.Wrapf(failure, "no free port from %d to %d in %d tries", first, last, tries)
}
