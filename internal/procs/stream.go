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

// Completion is what a caller saw of one streamed completion.
type Completion struct {
	RequestID  string
	Status     int
	Outcome    string
	RetryAfter string
	// First and Whole are the times to the first and the last event.
	First time.Duration
	Whole time.Duration
	Err   error
}

// CompleteTimed asks for a streamed completion and checks it token by token.
func CompleteTimed(ctx context.Context, client *http.Client, base, token, prompt string, events int) Completion {
	body := []byte(fmt.Sprintf(`{"model":"guide-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, events))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Completion{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+token)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return Completion{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	seen := Completion{
		RequestID: response.Header.Get("X-Request-Id"), Status: response.StatusCode,
		Outcome: response.Header.Get("X-Outcome"), RetryAfter: response.Header.Get("Retry-After"),
	}
	if seen.Status != http.StatusOK {
		return seen
	}
	lines := bufio.NewScanner(response.Body)
	count, done := 0, false
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "":
		case line == "data: [DONE]":
			done = true
		case !strings.Contains(line, fake.Token(body, count)):
			seen.Err = fmt.Errorf("request %s: event %d is %q", seen.RequestID, count, line)
			return seen
		default:
			if count++; count == 1 {
				seen.First = time.Since(began)
			}
		}
	}
	seen.Whole = time.Since(began)
	if count != events || !done {
		seen.Err = fmt.Errorf("request %s: %d of %d events, closing event %v, %w", seen.RequestID, count, events, done, lines.Err())
	}
	return seen
}
