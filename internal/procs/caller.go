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

// Answer is the response to a request, as its caller saw it.
type Answer struct {
	Status    int
	RequestID string
	// Outcome is the X-Outcome header or the outcome of a stream's error event.
	// It is empty for a success.
	Outcome string
	// Tokens are the events of a stream, in the order of their arrival.
	Tokens []string
	// Done is set once the stream's closing event has arrived. Any event after it
	// is an error.
	Done bool
	// Text is the body of a response that is not a stream, or the data of a
	// stream's error event.
	Text string
}

// Check returns an error unless the answer is complete: the expected number of
// tokens, each the right one for the body, in order, and the closing event.
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

// Complete sends a completion request and reads the answer. If onToken is not
// nil, it is called with the number of tokens received after each token.
func Complete(ctx context.Context, base, token, body string, onToken func(int)) (Answer, error) {
	return Post(ctx, base+"/v1/completions", map[string]string{"Authorization": "Bearer " + token, "Content-Type": "application/json"}, body, onToken)
}

// Post sends a request on a new connection and reads the answer. onToken is used
// as in Complete.
func Post(ctx context.Context, url string, headers map[string]string, body string, onToken func(int)) (Answer, error) {
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
	return answer, answer.read(response.Body, onToken)
}

func (answer *Answer) read(from io.Reader, onToken func(int)) error {
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
			answer.setError(data)
		case data == "[DONE]":
			if answer.Done {
				return errors.Newf("request %s: a second closing event", answer.RequestID)
			}
			answer.Done = true
		default:
			if answer.Done {
				return errors.Newf("request %s: %q after the closing event", answer.RequestID, data)
			}
			if err := answer.addToken(data); err != nil {
				return err
			}
			if onToken != nil {
				onToken(len(answer.Tokens))
			}
		}
	}
	return scanner.Err()
}

func (answer *Answer) addToken(data string) error {
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

func (answer *Answer) setError(data string) {
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

// Runs returns the number of runs of each request id at an engine or, at an
// order desk, of each body.
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
