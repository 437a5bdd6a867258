package admission

// RetryBudget bounds retries to a share of the first tries, so that a failing
// fleet is not loaded further (Google SRE book, chapter 21, "Client-Side
// Throttling" and retry budgets).
type RetryBudget struct {
	ratio   float64
	ceiling float64
	balance float64
}

// NewRetryBudget returns a budget that allows ratio retries for each first try,
// and saves up at most ceiling retries.
func NewRetryBudget(ratio, ceiling float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, ceiling: ceiling, balance: ceiling}
}

// Deposit counts a first try.
func (b *RetryBudget) Deposit() { b.balance = min(b.balance+b.ratio, b.ceiling) }

// Withdraw takes one retry, and reports whether the budget allows it.
func (b *RetryBudget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
