package admission

// RetryBudget limits retries to a fraction of the first attempts, so that retries don't
// overload engines that are already failing (see retry budgets in the Google SRE book, chapter
// 21, "Handling Overload").
type RetryBudget struct {
	ratio   float64
	ceiling float64
	balance float64
}

// NewRetryBudget returns a budget that allows ratio retries per first attempt. It starts with
// ceiling retries, which is also the most that it accumulates.
func NewRetryBudget(ratio, ceiling float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, ceiling: ceiling, balance: ceiling}
}

// Deposit credits a first attempt.
func (b *RetryBudget) Deposit() { b.balance = min(b.balance+b.ratio, b.ceiling) }

// Withdraw spends one retry if the budget has one, and reports whether it did.
func (b *RetryBudget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
