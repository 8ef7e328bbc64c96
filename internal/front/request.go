package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/tidwall/gjson"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/class"
	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxKeyBytes is the maximum length of an idempotency key, which is stored for a day.
const maxKeyBytes = 255

// maxNesting is the depth of JSON values to which the standard parser descends.
const maxNesting = 10_000

func badRequest(text string, values ...any) *fiber.Error {
	return fiber.NewError(fiber.StatusBadRequest, fmt.Sprintf(text, values...))
}

// classify parses the request, authenticates its customer and applies the configured
// rules.
func (front *Front) classify(ctx *fiber.Ctx, id string) (call.Call, *fiber.Error) {
	input := class.Input{
		ID: id, Token: bearer(ctx), Method: strings.Clone(ctx.Method()), Path: strings.Clone(ctx.OriginalURL()),
		ContentType: strings.Clone(ctx.Get(fiber.HeaderContentType)), Key: strings.Clone(ctx.Get("Idempotency-Key")),
		Traceparent: strings.Clone(ctx.Get("Traceparent")), LowerTier: strings.Clone(ctx.Get("X-Tier")),
		Body: append([]byte(nil), ctx.Request().Body()...), Arrived: front.clock.Now(),
	}
	config := front.view.State()
	if config.Revision() == 0 {
		// Without a configuration every token is unknown, so 401 would be wrong.
		ctx.Set(fiber.HeaderRetryAfter, "1")
		return call.Call{}, fiber.NewError(fiber.StatusServiceUnavailable, "this entry VM has no configuration yet; send the request again")
	}
	if _, ok := config.ByToken(class.TokenHash(input.Token)); !ok {
		return call.Call{}, fiber.NewError(fiber.StatusUnauthorized, "bearer token is missing or belongs to no customer")
	}
	if _, ok := config.Tier(input.LowerTier); !ok && input.LowerTier != "" {
		return call.Call{}, badRequest("X-Tier: there is no tier %q", input.LowerTier)
	}
	if len(input.Key) > maxKeyBytes {
		return call.Call{}, badRequest("Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	if refusal := readPriority(ctx, &input); refusal != nil {
		return call.Call{}, refusal
	}
	if refusal := readKind(ctx, &input); refusal != nil {
		return call.Call{}, refusal
	}
	request, ok := class.Classify(config, input)
	if !ok {
		return call.Call{}, fiber.NewError(fiber.StatusUnauthorized, "bearer token is missing or belongs to no customer")
	}
	if !request.Idempotent && request.Key == "" && !request.KeyOptional {
		return call.Call{}, badRequest("this request may not be repeated and needs an Idempotency-Key header")
	}
	return request, nil
}

func bearer(ctx *fiber.Ctx) string {
	token, _ := strings.CutPrefix(ctx.Get(fiber.HeaderAuthorization), "Bearer ")
	return token
}

func readPriority(ctx *fiber.Ctx, input *class.Input) *fiber.Error {
	text := ctx.Get("X-Priority")
	if text == "" {
		return nil
	}
	priority, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return badRequest("X-Priority: %q is not a whole number in range", text)
	}
	lowered := int32(priority)
	input.LowerPriority = &lowered
	return nil
}

// readKind reads the body of a model call, or the forwarded headers of a service call.
func readKind(ctx *fiber.Ctx, input *class.Input) *fiber.Error {
	if !strings.HasPrefix(input.Path, "/v1/") {
		for name, value := range ctx.Request().Header.All() {
			if text := string(name); engine.ForwardsHeader(text) {
				input.Headers = append(input.Headers, &wire.Header{Name: text, Value: string(value)})
			}
		}
		return nil
	}
	if input.Method != fiber.MethodPost {
		return fiber.NewError(fiber.StatusMethodNotAllowed, "model calls use POST, not "+input.Method)
	}
	if ctx.Get(fiber.HeaderContentEncoding) != "" {
		return fiber.NewError(fiber.StatusUnsupportedMediaType, "model calls are sent without Content-Encoding")
	}
	return readModel(input)
}

// readModel reads the required fields of a model call's body. It runs for every
// request and therefore avoids reflection.
func readModel(input *class.Input) *fiber.Error {
	if nestsDeeply(input.Body) || !gjson.ValidBytes(input.Body) {
		var discarded any
		// The standard parser is slower, but its error says what is wrong with the JSON.
		return badRequest("body is not valid JSON: %v", json.Unmarshal(input.Body, &discarded))
	}
	parsed := gjson.ParseBytes(input.Body)
	if !parsed.IsObject() {
		return badRequest("body is not a JSON object")
	}
	var refusal *fiber.Error
	var prompt strings.Builder
	parsed.ForEach(func(name, value gjson.Result) bool {
		refusal = readField(input, &prompt, name.Str, value)
		return refusal == nil
	})
	input.Prompt = prompt.String()
	if refusal == nil && input.Model == "" {
		return badRequest("model is missing")
	}
	return refusal
}

// nestsDeeply reports whether a text may nest deeper than maxNesting. The fast parser
// descends once for each level, and a stack of a gigabyte ends the process.
func nestsDeeply(text []byte) bool {
	if bytes.Count(text, []byte("["))+bytes.Count(text, []byte("{")) <= maxNesting {
		return false
	}
	depth, inString := 0, false
	for at := 0; at < len(text); at++ {
		switch char := text[at]; {
		case inString && char == '\\':
			at++
		case char == '"':
			inString = !inString
		case inString:
		case char == '[' || char == '{':
			if depth++; depth > maxNesting {
				return true
			}
		case char == ']' || char == '}':
			depth--
		}
	}
	return false
}

// readField reads one field of a model call. The texts of the prompt are collected in
// prompt: appending each to a string takes a time that grows with the square of their
// number.
func readField(input *class.Input, prompt *strings.Builder, name string, value gjson.Result) *fiber.Error {
	switch name {
	case "model":
		if value.Type != gjson.String {
			return badRequest("model is not a string")
		}
		input.Model = value.Str
	case "prompt", "messages":
		prompt.WriteString(value.Raw)
	case "stream":
		if !value.IsBool() && value.Type != gjson.Null {
			return badRequest("stream is not true or false")
		}
		input.Stream = value.Bool()
	case "max_tokens":
		if value.Type == gjson.Null {
			return nil
		}
		if value.Type != gjson.Number || value.Num != math.Trunc(value.Num) || value.Num < 0 || value.Num > math.MaxUint32 {
			return badRequest("max_tokens is not a whole number from 0 to %d", uint32(math.MaxUint32))
		}
		input.MaxTokens = uint32(value.Num)
	}
	return nil
}

// timeLimit returns the request's time limit, which the caller may lower by a header.
func timeLimit(ctx *fiber.Ctx, maxLimit clock.Millis) (clock.Millis, *fiber.Error) {
	text := ctx.Get("X-Time-Limit")
	if text == "" {
		return maxLimit, nil
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit < time.Millisecond {
		return 0, badRequest("X-Time-Limit: %q is not a duration such as 500ms or 20s", text)
	}
	return min(maxLimit, clock.Millis(limit.Milliseconds())), nil
}

// customers counts each customer's requests in flight without a shared lock.
type customers struct {
	counts sync.Map
}

// acquire adds a request of the customer and returns the function that removes it. It
// returns false if the customer has too many requests in flight.
func (customers *customers) acquire(customer *wire.Customer) (func(), bool) {
	counter, ok := customers.counts.Load(customer.GetName())
	if !ok {
		counter, _ = customers.counts.LoadOrStore(customer.GetName(), &atomic.Int64{})
	}
	count, _ := counter.(*atomic.Int64)
	release := func() { count.Add(-1) }
	if maximum := int64(customer.GetMaxConcurrent()); count.Add(1) > maximum && maximum > 0 {
		release()
		return nil, false
	}
	return release, true
}
