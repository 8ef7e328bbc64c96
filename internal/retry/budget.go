// Package retry decides when work may be sent to an engine once more: a budget
// bounds the load that repeated work adds, and a detector keeps work away from
// engines that fail. It is pure.
package retry

const (
	// share is how much of a retry each successful request pays for. With half
	// of the engines failing, at most 1.05 requests reach engines for each
	// request of a caller, well under the bound of 1.2.
	share = 0.1
	// reserve lets an entry VM with little traffic repeat a few requests.
	reserve = 10.0
	// most bounds what a long time without failures can save up.
	most = 50.0
)

// Budget is a token bucket that successful requests fill. The zero value is empty.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget with its reserve.
func NewBudget() Budget { return Budget{tokens: reserve} }

// WithSuccess returns the budget after a request that succeeded.
func (budget Budget) WithSuccess() Budget {
	budget.tokens = min(budget.tokens+share, most)
	return budget
}

// WithRetry returns the budget after one more attempt, or false when it does
// not cover the attempt.
func (budget Budget) WithRetry() (Budget, bool) {
	if budget.tokens < 1 {
		return budget, false
	}
	budget.tokens--
	return budget, true
}
