// Package retry decides when work may be sent to an engine again: a budget
// bounds the load that retries add, and a detector keeps work away from engines
// that fail. It has no I/O and reads no clock.
package retry

const (
	// tokensPerSuccess is what each successful request adds to the budget; a
	// retry takes one token. With half of the engines failing, at most 1.05
	// requests reach engines for each request of a caller, well under the bound
	// of 1.2.
	tokensPerSuccess = 0.1
	// initialTokens lets an entry VM with little traffic retry a few requests.
	initialTokens = 10.0
	// maxTokens bounds the tokens that accumulate over a long time without
	// failures.
	maxTokens = 50.0
)

// Budget is a token bucket that successful requests fill. The zero value is empty.
// The entry process uses it; the gateway process uses RatioBudget.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget with its initial tokens.
func NewBudget() Budget { return Budget{tokens: initialTokens} }

// WithSuccess returns the budget after a request that succeeded.
func (budget Budget) WithSuccess() Budget {
	budget.tokens = min(budget.tokens+tokensPerSuccess, maxTokens)
	return budget
}

// WithRetry returns the budget after one retry, and reports whether it had a
// token left for it.
func (budget Budget) WithRetry() (Budget, bool) {
	if budget.tokens < 1 {
		return budget, false
	}
	budget.tokens--
	return budget, true
}
