package front

import (
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

// maxKey bounds an idempotency key, which is kept for a day, in bytes.
const maxKey = 255

func bad(text string, values ...any) *fiber.Error {
	return fiber.NewError(fiber.StatusBadRequest, fmt.Sprintf(text, values...))
}

// classify reads the request and applies the operators' rules.
func (front *Front) classify(ctx *fiber.Ctx, id string) (call.Call, *fiber.Error) {
	input := class.Input{
		ID: id, Token: bearer(ctx), Method: strings.Clone(ctx.Method()), Path: strings.Clone(ctx.OriginalURL()),
		ContentType: strings.Clone(ctx.Get(fiber.HeaderContentType)), Key: strings.Clone(ctx.Get("Idempotency-Key")),
		Traceparent: strings.Clone(ctx.Get("Traceparent")), LowerTier: strings.Clone(ctx.Get("X-Tier")),
		Body: append([]byte(nil), ctx.Request().Body()...), Arrived: front.clock.Now(),
	}
	config := front.view.State()
	if config.Revision() == 0 {
		// Without a configuration no customer is known, which says nothing of the caller.
		ctx.Set(fiber.HeaderRetryAfter, "1")
		return call.Call{}, fiber.NewError(fiber.StatusServiceUnavailable, "this entry VM has no configuration yet; send the request again")
	}
	if _, ok := config.ByToken(class.TokenHash(input.Token)); !ok {
		return call.Call{}, fiber.NewError(fiber.StatusUnauthorized, "bearer token is missing or belongs to no customer")
	}
	if _, ok := config.Tier(input.LowerTier); !ok && input.LowerTier != "" {
		return call.Call{}, bad("X-Tier: there is no tier %q", input.LowerTier)
	}
	if len(input.Key) > maxKey {
		return call.Call{}, bad("Idempotency-Key is longer than %d bytes", maxKey)
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
		return call.Call{}, bad("this request may not be repeated and needs an Idempotency-Key header")
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
		return bad("X-Priority: %q is not a whole number in range", text)
	}
	wanted := int32(priority)
	input.LowerPriority = &wanted
	return nil
}

// readKind reads the body of a model call, or the headers for a service.
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

// readModel takes what is needed of a model call's body. It uses no reflection:
// this runs for every request.
func readModel(input *class.Input) *fiber.Error {
	if !gjson.ValidBytes(input.Body) {
		var ignored any
		// The standard parser is slower and tells where the error is.
		return bad("body is not valid JSON: %v", json.Unmarshal(input.Body, &ignored))
	}
	parsed := gjson.ParseBytes(input.Body)
	if !parsed.IsObject() {
		return bad("body is not a JSON object")
	}
	var refusal *fiber.Error
	parsed.ForEach(func(name, value gjson.Result) bool {
		refusal = readField(input, name.Str, value)
		return refusal == nil
	})
	if refusal == nil && input.Model == "" {
		return bad("model is missing")
	}
	return refusal
}

func readField(input *class.Input, name string, value gjson.Result) *fiber.Error {
	switch name {
	case "model":
		if value.Type != gjson.String {
			return bad("model is not a string")
		}
		input.Model = value.Str
	case "prompt", "messages":
		input.Prompt += value.Raw
	case "stream":
		if !value.IsBool() && value.Type != gjson.Null {
			return bad("stream is not true or false")
		}
		input.Stream = value.Bool()
	case "max_tokens":
		if value.Type == gjson.Null {
			return nil
		}
		if value.Type != gjson.Number || value.Num != math.Trunc(value.Num) || value.Num < 0 || value.Num > math.MaxUint32 {
			return bad("max_tokens is not a whole number from 0 to %d", uint32(math.MaxUint32))
		}
		input.MaxTokens = uint32(value.Num)
	}
	return nil
}

// timeLimit returns the request's time limit, which a header may lower.
func timeLimit(ctx *fiber.Ctx, longest clock.Millis) (clock.Millis, *fiber.Error) {
	text := ctx.Get("X-Time-Limit")
	if text == "" {
		return longest, nil
	}
	span, err := time.ParseDuration(text)
	if err != nil || span < time.Millisecond {
		return 0, bad("X-Time-Limit: %q is not a duration such as 500ms or 20s", text)
	}
	return min(longest, clock.Millis(span.Milliseconds())), nil
}

// customers counts each customer's requests in flight without a lock that all share.
type customers struct {
	counts sync.Map
}

// enter counts a request in, unless its customer has too many in flight.
func (customers *customers) enter(customer *wire.Customer) (func(), bool) {
	counter, ok := customers.counts.Load(customer.GetName())
	if !ok {
		counter, _ = customers.counts.LoadOrStore(customer.GetName(), &atomic.Int64{})
	}
	count, _ := counter.(*atomic.Int64)
	leave := func() { count.Add(-1) }
	if most := int64(customer.GetMaxConcurrent()); count.Add(1) > most && most > 0 {
		leave()
		return nil, false
	}
	return leave, true
}
