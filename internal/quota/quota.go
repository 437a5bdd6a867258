// Package quota limits what tenants may use by a rate and a burst that hold across all nodes
// together. A few nodes, the keepers of a tenant's account, decide on requests; every node
// reports its usage to all of them. The package does no I/O and takes the time as an argument.
// docs/design/quotas.md describes which nodes decide, where accounts are kept, and what
// failures cost.
package quota

import "time"

// Unit is the unit in which a limit is counted.
type Unit string

// Units of limits.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// Limit is what a tenant may use across all nodes. The zero Limit means no limit.
type Limit struct {
	// Rate is the refill per second, and Burst the most that can be saved up, both in Unit.
	Rate, Burst float64
	Unit        Unit
	// DefaultTokens is the cost of a request that doesn't declare its tokens, where Unit is
	// Tokens.
	DefaultTokens int
}

// Limited reports whether l limits anything.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the cost of a request; tokens is the number of tokens that it declares, zero if
// none.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.DefaultTokens)
}

// Tolerance is how far all nodes together may exceed a limit in any window: a fraction of what
// the limit allows there (Overshoot), plus a fixed amount in the unit of the limit (Slack). It
// covers usage by nodes that can't reach each other.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// Ahead is how far in the future turns are granted to requests that can wait. If zero, none
	// are. A turn is a reserved rate-limit slot: a grant that is charged at once, for a request
	// that is sent after Decision.Delay.
	Ahead time.Duration
}

// MaxExcess returns how much may be used beyond a limit in a window.
func (t Tolerance) MaxExcess(limit Limit) float64 {
	return t.Overshoot*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
}
