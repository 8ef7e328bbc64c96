package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

// Answer is what a caller got.
type Answer struct {
	Status    int
	RequestID string
	// Outcome is empty for a full success.
	Outcome string
	// Tokens are the events of a stream, in the order of their arrival.
	Tokens []string
	// Done tells that the stream's closing event arrived, once and last.
	Done bool
	// Text is a body that is no stream, or the error event of a stream.
	Text string
}

// Check returns an error unless the answer is the whole one to a body with a
// number of tokens, each its own, once and in order.
func (answer Answer) Check(body string, count int) error {
	for n, token := range answer.Tokens {
		if n >= count || token != fake.Token([]byte(body), n) {
			return errors.Newf("request %s: token %d is %q, not its own token %d of %d", answer.RequestID, n, token, n, count)
		}
	}
	if len(answer.Tokens) != count || !answer.Done {
		return errors.Newf("request %s: status %d, outcome %q, %d of %d tokens, done %t: %s",
			answer.RequestID, answer.Status, answer.Outcome, len(answer.Tokens), count, answer.Done, answer.Text)
	}
	return nil
}

// Complete sends a completion and reads its answer. Each token's number is
// passed to seen as it arrives.
func Complete(ctx context.Context, base, token, body string, seen func(int)) (Answer, error) {
	return Post(ctx, base+"/v1/completions", map[string]string{"Authorization": "Bearer " + token, "Content-Type": "application/json"}, body, seen)
}

// Post sends a request on a connection of its own and reads its answer.
func Post(ctx context.Context, url string, headers map[string]string, body string, seen func(int)) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id"), Outcome: response.Header.Get("X-Outcome")}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(response.Body)
		answer.Text = string(text)
		return answer, err
	}
	return answer, answer.read(response.Body, seen)
}

func (answer *Answer) read(from io.Reader, seen func(int)) error {
	failed := false
	scanner := bufio.NewScanner(from)
	for scanner.Scan() {
		line := scanner.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !ok:
		case failed:
			answer.fail(data)
		case data == "[DONE]":
			if answer.Done {
				return errors.Newf("request %s: a second closing event", answer.RequestID)
			}
			answer.Done = true
		default:
			if answer.Done {
				return errors.Newf("request %s: %q after the closing event", answer.RequestID, data)
			}
			if err := answer.token(data); err != nil {
				return err
			}
			if seen != nil {
				seen(len(answer.Tokens))
			}
		}
	}
	return scanner.Err()
}

func (answer *Answer) token(data string) error {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
		return errors.Newf("request %s: %q is no event of a completion", answer.RequestID, data)
	}
	answer.Tokens = append(answer.Tokens, event.Choices[0].Text)
	return nil
}

func (answer *Answer) fail(data string) {
	var problem struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	answer.Text = data
	if json.Unmarshal([]byte(data), &problem) == nil {
		answer.Outcome = problem.Error.Outcome
	}
}

// Runs returns how often an engine ran each request or, for a desk, each body.
func (process *Process) Runs(ctx context.Context) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, process.Address+"/engine/runs", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	runs := map[string]int{}
	return runs, json.NewDecoder(response.Body).Decode(&runs)
}
