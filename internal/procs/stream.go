package procs

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

// Completion is the result of one streamed completion, as its caller saw it.
type Completion struct {
	RequestID  string
	Status     int
	Outcome    string
	RetryAfter string
	// FirstEvent and Total are the times from the request to the first event and
	// to the end of the response.
	FirstEvent time.Duration
	Total      time.Duration
	Err        error
}

// CompleteTimed requests a streamed completion, measures its latency and checks
// it token by token.
func CompleteTimed(ctx context.Context, client *http.Client, base, token, prompt string, events int) Completion {
	body := []byte(fmt.Sprintf(`{"model":"guide-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, events))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Completion{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Completion{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result := Completion{
		RequestID: response.Header.Get("X-Request-Id"), Status: response.StatusCode,
		Outcome: response.Header.Get("X-Outcome"), RetryAfter: response.Header.Get("Retry-After"),
	}
	if result.Status != http.StatusOK {
		return result
	}
	lines := bufio.NewScanner(response.Body)
	count, done := 0, false
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "":
		case line == "data: [DONE]":
			done = true
		case !strings.Contains(line, fake.Token(body, count)):
			result.Err = fmt.Errorf("request %s: event %d is %q", result.RequestID, count, line)
			return result
		default:
			if count++; count == 1 {
				result.FirstEvent = time.Since(start)
			}
		}
	}
	result.Total = time.Since(start)
	if count != events || !done {
		result.Err = fmt.Errorf("request %s: %d of %d events, closing event %v, %w", result.RequestID, count, events, done, lines.Err())
	}
	return result
}
