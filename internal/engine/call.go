package engine

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// maxIdleConns is the maximum number of idle connections to one engine. Engines run
	// hundreds of requests at a time.
	maxIdleConns = 512
	// maxControlBytes bounds the body of an engine's response to an order or a query.
	maxControlBytes = 64 << 10
	defaultPort     = "80"
)

// call is a request to an engine.
type call struct {
	target Engine
	method string
	// path is the path with the query, below the engine's URL.
	path   string
	header http.Header
	body   []byte
	// fresh requires a new connection.
	fresh bool
}

// request encodes a call.
func (call call) request() (conns.Request, error) {
	address, target, err := locate(URL(call.target), call.path)
	if err != nil {
		return conns.Request{}, errors.Mark(err, conns.ErrNotSent)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.method, target, address)
	// Header.Write replaces line ends in values; writing to a buffer cannot fail.
	_ = call.header.Write(&head)
	if len(call.body) > 0 || call.method != http.MethodGet && call.method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.body))
	}
	head.WriteString("\r\n")
	return conns.Request{
		Address: address, Method: call.method, Head: head.Bytes(), Body: call.body, Fresh: call.fresh,
		Owner: func(http.Header) conns.Owner { return conns.Own },
	}, nil
}

// do sends a call and reads the header of its response.
func (runner *Runner) do(ctx context.Context, call call) (*conns.Exchange, error) {
	request, err := call.request()
	if err != nil {
		return nil, err
	}
	return runner.pool.Do(ctx, request)
}

// locate returns the address of an engine and the target of a request line.
func locate(base, path string) (address, target string, err error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return "", "", errors.Wrapf(err, "engine URL %q", base)
	}
	address = parsed.Host
	if parsed.Port() == "" {
		address = net.JoinHostPort(parsed.Hostname(), defaultPort)
	}
	target = parsed.EscapedPath() + path
	if strings.ContainsFunc(target, func(char rune) bool { return char <= ' ' || char == 0x7f }) {
		return "", "", errors.Newf("path %.100q holds a blank or a control byte", path)
	}
	return address, target, nil
}

// query sends a call that has a short response, and returns its status and body.
func (runner *Runner) query(timeout clock.Millis, call call) (int, []byte, error) {
	request, err := call.request()
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	return runner.pool.Query(ctx, request, maxControlBytes)
}
