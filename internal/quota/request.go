package quota

import "time"

// ChargeRequest is a request of a tenant that is to be charged.
type ChargeRequest struct {
	Tenant string
	// Limit is the tenant's by the configuration of Version.
	Limit   Limit
	Version uint64
	Cost    float64
	// Patience is for how long the request may wait for its turn. Without any it is served at
	// once or refused.
	Patience time.Duration
}

// Charge returns what the claim's tenant is charged.
func (c ChargeRequest) Charge() Charge {
	return Charge{Account: AccountName(c.Tenant, c.Limit.Unit), Cost: c.Cost}
}

// Charge is what a request has cost an account. The zero Charge is none.
type Charge struct {
	Account string
	Cost    float64
}

// None reports whether nothing was charged.
func (c Charge) None() bool { return c.Account == "" }

// Outcome is what became of a claim.
type Outcome struct {
	Granted bool
	// Private tells that no keeper answered, so that this node's own allowance decided.
	Private bool
	// Keeper is the address of the keeper that decided, empty where none did.
	Keeper string
	// Level is what the account, or the allowance, held.
	Level float64
	// Reserved is the part of the limit that the keeper holds back for nodes that it can't
	// hear.
	Reserved float64
	// Version is that of the configuration that decided.
	Version uint64
	// RetryAfter is when a refused request can be served.
	RetryAfter time.Duration
	// Delay is when a request that was granted has its turn, and Next when a further one
	// would be served at once, as far as the keeper knows.
	Delay, Next time.Duration
	// Asked and Unanswered count the keepers.
	Asked, Unanswered int
	// Took is how long the answer took.
	Took time.Duration
}
