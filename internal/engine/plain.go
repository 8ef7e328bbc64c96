package engine

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// perHop names the headers that belong to one connection (RFC 9110, 7.6.1) or
// that the HTTP library writes itself.
var perHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "content-type": true, "host": true, "date": true, "server": true, "expect": true,
}

// ours names the headers by which callers speak to hibiscuslug. The bearer
// token is the customer's and no business of the service.
var ours = map[string]bool{
	"authorization": true, "x-tier": true, "x-priority": true, "x-time-limit": true, "x-request-id": true, "x-outcome": true, "traceparent": true,
}

// Passed tells whether a plain service and its callers see each other's header.
func Passed(name string) bool {
	name = strings.ToLower(name)
	return !perHop[name] && !ours[name]
}

// path returns the path at the engine: a service does not see the prefix that
// brought the request to it.
func path(target Engine, text string) string {
	if _, ok := target.(Model); ok {
		return text
	}
	rest, ok := strings.CutPrefix(text, "/services/")
	if !ok {
		return text
	}
	if end := strings.IndexAny(rest, "/?"); end >= 0 {
		return "/" + strings.TrimPrefix(rest[end:], "/")
	}
	return "/"
}

// encoded tells whether the answer's headers reach the caller, without which
// an encoded body cannot be read. A recorded answer has none.
func encoded(target Engine, attempt *wire.Attempt) bool {
	_, ok := target.(Plain)
	return ok && attempt.GetIdempotent()
}

func kept(target Engine, header *fasthttp.ResponseHeader) []*wire.Header {
	if _, ok := target.(Plain); !ok {
		return nil
	}
	var list []*wire.Header
	for name, value := range header.All() {
		if text := string(name); Passed(text) {
			list = append(list, &wire.Header{Name: text, Value: string(value)})
		}
	}
	return list
}
