// Package retry bounds the requests that are sent to a second worker, and estimates how long a
// service stays unavailable. The retry budget is shared by all nodes; each node spends only its
// own share, so that they need no messages to keep it. The package is pure: time is an
// argument.
package retry

import "time"

// Limits hold over all nodes together: in any Window, at most Ratio times the requests, plus
// Slack, may be sent again.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is one node's share of the budget for one service. It is a token bucket that fills
// with time and with each first request. In any window it grants no more than the node's part
// of the slack plus Ratio times the node's requests.
type Budget struct {
	limits Limits
	tokens float64
	filled time.Time
}

// spendableShare is the fraction of its share that a node spends, since it does not see
// requests that other nodes or the network repeat.
const spendableShare = 0.8

// NewBudget returns a budget that is half full, so that a fleet whose processes all restart at
// once does not spend its whole budget a second time.
func NewBudget(limits Limits, nodes int, now time.Time) *Budget {
	budget := &Budget{limits: limits, filled: now}
	budget.tokens = budget.capacity(nodes) / 2
	return budget
}

// capacity is half of the node's slack, because a full bucket at the start of a window and the
// tokens added during it must not exceed the slack together.
func (b *Budget) capacity(nodes int) float64 {
	return spendableShare * b.limits.Slack / float64(max(nodes, 1)) / 2
}

func (b *Budget) fill(nodes int, now time.Time) {
	elapsed := now.Sub(b.filled)
	b.filled = now
	capacity := b.capacity(nodes)
	b.tokens += capacity * float64(elapsed) / float64(b.limits.Window)
	b.tokens = min(b.tokens, max(capacity, 1))
}

// RecordRequest records a request that is sent for the first time.
func (b *Budget) RecordRequest(nodes int, now time.Time) {
	b.fill(nodes, now)
	b.tokens += spendableShare * b.limits.Ratio
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend(nodes int, now time.Time) bool {
	b.fill(nodes, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
