package engine

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// hopHeaders names the hop-by-hop headers (RFC 9110, 7.6.1) and those that the
// HTTP library sets itself.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "content-type": true, "host": true, "date": true, "server": true, "expect": true,
}

// ownHeaders names the headers addressed to hibiscuslug itself. The customer's
// bearer token in authorization must not be disclosed to the service.
var ownHeaders = map[string]bool{
	"authorization": true, "x-tier": true, "x-priority": true, "x-time-limit": true, "x-request-id": true, "x-outcome": true, "traceparent": true,
}

// ForwardsHeader reports whether a header is forwarded between a plain service
// and its callers, in either direction.
func ForwardsHeader(name string) bool {
	name = strings.ToLower(name)
	return !hopHeaders[name] && !ownHeaders[name]
}

// enginePath returns the path to request from the engine. The /services/NAME
// prefix, which selects the service, is removed.
func enginePath(target Engine, text string) string {
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

// forwardsEncoding reports whether the engine may encode its response. The caller
// needs the Content-Encoding header to decode the body; only plain services'
// headers are forwarded, and recorded answers of non-idempotent work have none.
func forwardsEncoding(target Engine, attempt *wire.Attempt) bool {
	_, ok := target.(Plain)
	return ok && attempt.GetIdempotent()
}

// forwardedHeaders returns the response headers to forward to the caller.
func forwardedHeaders(target Engine, header http.Header) []*wire.Header {
	if _, ok := target.(Plain); !ok {
		return nil
	}
	var list []*wire.Header
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if !ForwardsHeader(name) {
			continue
		}
		for _, value := range header[name] {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}
