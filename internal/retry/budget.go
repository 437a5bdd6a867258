// Package retry holds the budget of requests that are sent to a second worker.
// The budget is common to all nodes; each node spends only its own share, so that
// no message is needed to keep it. It is pure: time is an argument.
package retry

import "time"

// Limits are the bounds that hold over all nodes together: in any Window, at most
// Ratio times the requests, plus Slack, may be sent again.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is one node's share for one service: a token bucket that fills by time
// and with each first request. In any window it gives out no more than the node's
// part of the slack, plus the ratio of the node's requests.
type Budget struct {
	terms  Limits
	tokens float64
	filled time.Time
}

// caution is the part of its share that a node spends: arrivals that other nodes
// or the network repeat are not seen here.
const caution = 0.8

// NewBudget returns a budget that holds half of its share, so that a fleet whose
// processes all restart at once does not spend everything twice.
func NewBudget(terms Limits, nodes int, now time.Time) *Budget {
	budget := &Budget{terms: terms, filled: now}
	budget.tokens = budget.capacity(nodes) / 2
	return budget
}

// capacity is half of the node's slack: what is full at a window's begin and what
// is filled during it add up to the whole.
func (b *Budget) capacity(nodes int) float64 {
	return caution * b.terms.Slack / float64(max(nodes, 1)) / 2
}

func (b *Budget) fill(nodes int, now time.Time) {
	elapsed := now.Sub(b.filled)
	b.filled = now
	capacity := b.capacity(nodes)
	b.tokens += capacity * float64(elapsed) / float64(b.terms.Window)
	b.tokens = min(b.tokens, max(capacity, 1))
}

// RecordRequest records a request that is sent for the first time.
func (b *Budget) RecordRequest(nodes int, now time.Time) {
	b.fill(nodes, now)
	b.tokens += caution * b.terms.Ratio
}

// Spend takes one repeat out of the budget, or reports that there is none left.
func (b *Budget) Spend(nodes int, now time.Time) bool {
	b.fill(nodes, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
