// Package class classifies a request by the operator's rules. The customer determines
// tier and priority; a request may lower them, but never raise them.
package class

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// prefixLength is the length of the prompt's start, in bytes, that determines
	// prefix-cache affinity.
	prefixLength = 512
)

// Input holds the fields of a request that classification uses.
type Input struct {
	ID, Token, Method, Path, ContentType, Key, Traceparent string
	// LowerTier and LowerPriority are the tier and priority that the request asks for;
	// they apply only where they are lower than the customer's.
	LowerTier     string
	LowerPriority *int32
	Model         string
	Prompt        string
	MaxTokens     uint32
	Stream        bool
	Body          []byte
	Headers       []*wire.Header
	Arrived       clock.Millis
}

// TokenHash returns the hex-encoded SHA-256 hash of a token, the form in which tokens
// are stored.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Classify returns the call for a request, or false when the token is unknown.
func Classify(config *state.State, input Input) (call.Call, bool) {
	customer, ok := config.ByToken(TokenHash(input.Token))
	if !ok {
		return call.Call{}, false
	}
	tier, _ := config.Tier(customer.GetTier())
	result := call.Call{
		ID: input.ID, Customer: customer, Method: input.Method, Path: input.Path,
		ContentType: input.ContentType, Body: input.Body, Stream: input.Stream,
		Key: input.Key, Model: input.Model, Arrived: input.Arrived, Traceparent: input.Traceparent,
		Headers: input.Headers,
		Tier:    tier.GetLevel(), Priority: tier.GetPriority() + customer.GetPriority(),
		Deadline: input.Arrived + clock.Millis(tier.GetPatience()),
		Kind:     kindOf(input.Path), Service: serviceOf(input.Path), Idempotent: true,
		OutputLimit: input.MaxTokens, PrefixHash: prefixHash(input),
	}
	applyRule(config, &result)
	applyRequested(config, input, &result)
	return result, true
}

// applyRule applies the first rule that matches.
func applyRule(config *state.State, result *call.Call) {
	for _, rule := range config.Rules() {
		if !matches(rule, result) {
			continue
		}
		result.Rule = rule.GetName()
		result.Priority += rule.GetBoost()
		result.Idempotent = !rule.GetNonIdempotent()
		result.KeyOptional = rule.GetKeyOptional()
		if rule.GetKind() != wire.Kind_KIND_UNSPECIFIED {
			result.Kind = rule.GetKind()
		}
		if rule.GetService() != "" {
			result.Service = rule.GetService()
		}
		if rule.GetSize() != 0 {
			result.PredictedSize = rule.GetSize()
		}
		return
	}
}

func matches(rule *wire.Rule, result *call.Call) bool {
	return strings.HasPrefix(result.Path, rule.GetPathPrefix()) &&
		(rule.GetCustomer() == "" || rule.GetCustomer() == result.Customer.GetName()) &&
		(rule.GetModel() == "" || rule.GetModel() == result.Model) &&
		(rule.GetMethod() == "" || rule.GetMethod() == result.Method)
}

// applyRequested applies the tier and priority that the request asks for, where they
// are lower.
func applyRequested(config *state.State, input Input, result *call.Call) {
	own, _ := config.Tier(result.Customer.GetTier())
	if tier, ok := config.Tier(input.LowerTier); ok && tier.GetLevel() >= own.GetLevel() {
		result.Tier = tier.GetLevel()
		result.Priority = min(result.Priority, result.Priority-own.GetPriority()+tier.GetPriority())
	}
	if input.LowerPriority != nil && *input.LowerPriority < result.Priority {
		result.Priority = *input.LowerPriority
	}
}

func kindOf(path string) wire.Kind {
	if strings.HasPrefix(path, "/v1/") {
		return wire.Kind_KIND_MODEL
	}
	return wire.Kind_KIND_PLAIN
}

func serviceOf(path string) string {
	rest, ok := strings.CutPrefix(path, "/services/")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, "/")
	return name
}

func prefixHash(input Input) uint64 {
	prompt := input.Prompt
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixLength)])
}
