package conns

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Query sends a request whose response has a body of at most limit bytes, and returns its
// status and body. It is sent once more on a new connection if a reused one failed and the
// endpoint did not get it or its method is GET.
func (pool *Pool) Query(ctx context.Context, request Request, limit int64) (int, []byte, error) {
	request.Owner = func(http.Header) Owner { return Own }
	exchange, err := pool.Do(ctx, request)
	if errors.Is(err, ErrStale) && (request.Method == http.MethodGet || errors.Is(err, ErrNotSent)) {
		request.Fresh = true
		exchange, err = pool.Do(ctx, request)
	}
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(exchange.Response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Newf("response of %s is longer than %d bytes", request.Address, limit)
	}
	exchange.Close(err == nil, 0)
	return exchange.Response.StatusCode, body, err
}
