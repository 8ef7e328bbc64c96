package soak_test

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 150
	// crowdHeader is the size of the header that each of them begins, in bytes.
	crowdHeader = 12 << 10
)

// runCrowds sends crowds to random gateways until the context ends. Each connection of a
// crowd sends a header of many short lines, with or without its end and with a body that
// does not come, and stays open for a while.
func (deployment *deployment) runCrowds(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 90))
	for ctx.Err() == nil {
		address := deployment.gateway[random.IntN(gateways)]
		text := "POST /look/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n" + strings.Repeat("a:\r\n", crowdHeader/len("a:\r\n"))
		if random.IntN(2) == 0 {
			text += "\r\n"
		}
		var crowd []net.Conn
		for range crowdSize {
			// The gateway may be down, refuse the connection or close it.
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				break
			}
			crowd = append(crowd, conn)
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = conn.Write([]byte(text))
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(3000)) * time.Millisecond):
		}
		for _, conn := range crowd {
			_ = conn.Close()
		}
	}
}
