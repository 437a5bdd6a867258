package quota

import "time"

// ChargeRequest asks to charge a tenant's request to the tenant's account.
type ChargeRequest struct {
	Tenant string
	// Limit is the tenant's limit in configuration version Version.
	Limit   Limit
	Version uint64
	Cost    float64
	// Patience is how long the request may wait for its turn; see Tolerance.Ahead. If zero, it
	// is granted at once or refused.
	Patience time.Duration
}

// Charge returns the charge to the tenant's account.
func (c ChargeRequest) Charge() Charge {
	return Charge{Account: AccountName(c.Tenant, c.Limit.Unit), Cost: c.Cost}
}

// Charge is an amount charged to an account. The zero Charge charges nothing.
type Charge struct {
	Account string
	Cost    float64
}

// None reports whether nothing was charged.
func (c Charge) None() bool { return c.Account == "" }

// Outcome is the result of a ChargeRequest, whether a keeper or this node decided.
type Outcome struct {
	Granted bool
	// Private means that no keeper answered, so this node decided by its own allowance: its
	// share of what nodes that reach no keeper may use.
	Private bool
	// Keeper is the address of the keeper that decided, empty if none did.
	Keeper string
	// Level is the level of the account's bucket, or of the allowance, before the request.
	Level float64
	// Reserved is the fraction of the limit that the keeper holds back for silent nodes.
	Reserved float64
	// Version is the configuration version of the applied limit.
	Version uint64
	// RetryAfter is the time until a refused request can be served.
	RetryAfter time.Duration
	// Delay is the time until the turn of a granted request. Next is the time until another one
	// would be served at once, as far as the keeper knows.
	Delay, Next time.Duration
	// Asked and Unanswered are the numbers of keepers that were asked and that didn't answer.
	Asked, Unanswered int
	// Took is the time until the decision.
	Took time.Duration
}
