// Package ports finds loopback ports for tests and benchmarks that close a
// listener and open it again, often in another process. The ports are below the
// kernel's ephemeral range: an outgoing connection once took a port from that
// range between the exit of a process and its restart.
package ports

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	minPort = 10_000
	maxPort = 32_000
	// blockPorts is the number of ports in a block. The first one is the guard.
	blockPorts = 100
	blocks     = (maxPort - minPort) / blockPorts
)

// reserved are the ports of this process. A process reserves a block by
// listening on its guard port until it exits, so no other process hands out a
// port of the block, also while nothing listens on it.
var reserved struct {
	sync.Mutex
	guards []net.Listener
	// claimed holds the indexes of the blocks that this process has reserved.
	claimed map[int]bool
	// next and end delimit the ports of the newest block that were not handed out.
	next, end int
}

// Listen listens on a free loopback port that was not handed out before to this
// process or to another one that is still running.
func Listen() (net.Listener, error) {
	reserved.Lock()
	defer reserved.Unlock()
	for {
		if reserved.next == reserved.end {
			if err := reserveBlock(); err != nil {
				return nil, err
			}
		}
		reserved.next++
		// The port may belong to a process that is not ours.
		if listener, err := listen(reserved.next - 1); err == nil {
			return listener, nil
		}
	}
}

// reserveBlock reserves a block that no other process has. The caller holds
// reserved.
func reserveBlock() error {
	first := rand.IntN(blocks)
	for offset := range blocks {
		block := (first + offset) % blocks
		if reserved.claimed[block] {
			continue
		}
		guard, err := listen(minPort + block*blockPorts)
		if err != nil {
			continue
		}
		if reserved.claimed == nil {
			reserved.claimed = map[int]bool{}
		}
		reserved.claimed[block] = true
		reserved.guards = append(reserved.guards, guard)
		reserved.next, reserved.end = minPort+block*blockPorts+1, minPort+(block+1)*blockPorts
		return nil
	}
	return errors.Newf("no block of %d ports is free from %d to %d", blockPorts, minPort, maxPort)
}

func listen(port int) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
