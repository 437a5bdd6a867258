// Package quota keeps tenants within what they may use: a rate and a burst that hold over
// all nodes together. It is pure: time is an argument. docs/design/quotas.md tells who
// decides, where the accounts live, and what a failure costs.
package quota

import "time"

// Unit is what a limit counts.
type Unit string

// The units.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// Limit is what a tenant may use, over all nodes together. The zero Limit is none.
type Limit struct {
	// Rate comes back in a second, and Burst is the most that is saved up, both in Unit.
	Rate, Burst float64
	Unit        Unit
	// DefaultTokens is the cost of a request that doesn't tell its tokens, where tokens are
	// counted.
	DefaultTokens int
}

// Limited reports whether there is a limit at all.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost is what a request counts: tokens is the sum of those that it declares, zero where
// it declares none.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.DefaultTokens)
}

// Tolerance is by how much the operators let all nodes together exceed a limit in any
// window: a share of what it allows there, and a fixed count in the unit of the limit.
// It pays for what nodes use that can't hear each other.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// Ahead is how far ahead turns are given to requests that can wait; none are where it is
	// zero.
	Ahead time.Duration
}

// MaxExcess is what may be used past a limit in a window.
func (t Tolerance) MaxExcess(limit Limit) float64 {
	return t.Overshoot*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
}
