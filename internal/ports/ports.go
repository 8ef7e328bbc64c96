// Package ports finds loopback ports for tests and benchmarks that close a
// listener and open it again. The ports are below the kernel's ephemeral range:
// an outgoing connection once took a port from that range between the exit of a
// process and its restart.
package ports

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	minPort     = 10_000
	maxPort     = 32_000
	maxAttempts = 100
)

// Listen listens on a random free loopback port.
func Listen() (net.Listener, error) {
	var config net.ListenConfig
	failure := errors.New("no port tried")
	for range maxAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return listener, nil
		}
		failure = err
	}
	return nil, errors.Wrapf(failure, "no free port from %d to %d after %d attempts", minPort, maxPort, maxAttempts)
}
