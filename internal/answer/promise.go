package answer

import "net/http"

// PromisesNotRun reports whether a status promises callers that the request did not run and
// never will. A caller may repeat any request after it, also one that must not run twice.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
