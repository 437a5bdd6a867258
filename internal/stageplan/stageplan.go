// Package stageplan decides when a model engine changes its stage: more engines that
// read where prompts wait, more that write where too few are left. It is pure: time
// is an argument, and giving orders is the caller's work.
package stageplan

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Worker is what the planner knows of one engine of a service.
type Worker struct {
	ID      string
	Prefill bool
	// Usable engines are listed, stay, and did not fail just now.
	Usable bool
	// Changing engines carry out an order, or may do so later.
	Changing bool
	// Requests, ReadTokens and MemoryTokens are the load placed by all nodes.
	Requests     int
	ReadTokens   int
	MemoryTokens int
	// Capacity is the KV cache, in tokens.
	Capacity int
	// Pace is the learned reading pace, in tokens a millisecond.
	Pace float64
}

// Reason tells why an engine is to change.
type Reason string

// The reasons.
const (
	FewDecode    Reason = "few decode workers are left"
	FewPrefill   Reason = "few prefill workers are left"
	PromptsWait  Reason = "prompts wait at the prefill workers"
	MemoryIsFull Reason = "the memory of the decode workers is full"
)

// Order is a decision.
type Order struct {
	Worker string
	// Prefill is the stage that the worker is to have.
	Prefill bool
	Reason  Reason
}

// Policy are the figures of the planner.
type Policy struct {
	// WaitShare is the share of the objective that prompts may wait, on average,
	// before an engine is moved to reading.
	WaitShare float64
	// MemoryShare is the fill of decode engines past which one is moved to writing.
	MemoryShare float64
	// Smoothing is the time over which loads are averaged.
	Smoothing time.Duration
	// Settle is the time that an order for load is given to show its effect: so long
	// no more than Together engines are ordered. Urgent is the time before one for
	// engines that are lost.
	Settle, Urgent time.Duration
	// TogetherShare is the share of a service's engines that may change at once, at
	// least one.
	TogetherShare float64
}

// DefaultPolicy returns the figures measured so far.
func DefaultPolicy() Policy {
	return Policy{WaitShare: 0.2, MemoryShare: 0.7, Smoothing: 1500 * time.Millisecond, Settle: 5 * time.Second, Urgent: 1200 * time.Millisecond, TogetherShare: 0.08}
}

// Planner plans the engines of one service.
type Planner struct {
	policy Policy
	// wait and fill are averages of the prompts' wait in milliseconds and of the
	// decode engines' memory.
	wait, fill float64
	observed   time.Time
	// shortSince is since when a stage has too few engines, zero while it has enough.
	shortSince time.Time
	ordered    time.Time
}

// New returns a planner.
func New(policy Policy) *Planner { return &Planner{policy: policy} }

// Wait returns the average wait of prompts at prefill engines.
func (p *Planner) Wait() time.Duration { return time.Duration(p.wait * float64(time.Millisecond)) }

// division counts the usable engines by stage.
type division struct{ prefill, decode []Worker }

func divide(workers []Worker) division {
	var d division
	for _, worker := range workers {
		switch {
		case !worker.Usable || worker.Changing:
		case worker.Prefill:
			d.prefill = append(d.prefill, worker)
		default:
			d.decode = append(d.decode, worker)
		}
	}
	return d
}

func (d division) size() int { return len(d.prefill) + len(d.decode) }

// leastDecode is the fewest decode engines that must be left: a third, since each
// request ends at one and others may be lost at any time.
func (d division) leastDecode() int { return max(int(math.Ceil(float64(d.size())/3)), 2) }

// keptDecode is the fewest decode engines that an order for load leaves: some more,
// so that the loss of one need not be mended by an order back.
func (d division) keptDecode() int { return max(int(math.Ceil(0.4*float64(d.size()))), 2) }

// leastPrefill is the fewest prefill engines.
func (d division) leastPrefill() int { return max(d.size()/4, 1) }

// Decide observes the engines and returns an order to be given now, if any. Call it
// every few hundred milliseconds.
func (p *Planner) Decide(now time.Time, workers []Worker, objective time.Duration) (Order, bool) {
	d := divide(workers)
	p.observe(now, d)
	together := p.policy.together(len(workers))
	if changing(workers) >= together {
		return Order{}, false
	}
	order, found := p.restore(now, d)
	if found && together == 1 {
		p.shortSince = time.Time{}
	}
	if !found {
		order, found = p.balance(now, d, objective, together)
	}
	if found {
		p.ordered = now
	}
	return order, found
}

// together is how many engines of a service may change at once.
func (p Policy) together(engines int) int { return max(int(p.TogetherShare*float64(engines)), 1) }

func changing(workers []Worker) int {
	count := 0
	for _, worker := range workers {
		if worker.Changing {
			count++
		}
	}
	return count
}

func (p *Planner) observe(now time.Time, d division) {
	elapsed := p.policy.Smoothing
	if !p.observed.IsZero() {
		elapsed = now.Sub(p.observed)
	}
	p.observed = now
	share := 1 - math.Exp(-float64(elapsed)/float64(p.policy.Smoothing))
	p.wait += (meanWait(d.prefill) - p.wait) * share
	p.fill += (meanFill(d.decode) - p.fill) * share
}

func meanWait(workers []Worker) float64 {
	sum := 0.0
	for _, worker := range workers {
		sum += float64(worker.ReadTokens) / max(worker.Pace, 0.1)
	}
	return sum / max(float64(len(workers)), 1)
}

func meanFill(workers []Worker) float64 {
	sum := 0.0
	for _, worker := range workers {
		sum += float64(worker.MemoryTokens) / max(float64(worker.Capacity), 1)
	}
	return sum / max(float64(len(workers)), 1)
}

// restore orders an engine to a stage that has lost too many, once that has lasted.
func (p *Planner) restore(now time.Time, d division) (Order, bool) {
	var order Order
	switch {
	case len(d.decode) < d.leastDecode() && len(d.prefill) > d.leastPrefill():
		order = Order{Worker: idlest(d.prefill), Prefill: false, Reason: FewDecode}
	case len(d.prefill) < d.leastPrefill() && len(d.decode) > d.leastDecode():
		order = Order{Worker: idlest(d.decode), Prefill: true, Reason: FewPrefill}
	default:
		p.shortSince = time.Time{}
		return Order{}, false
	}
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	return order, now.Sub(p.shortSince) >= p.policy.Urgent
}

// balance moves an engine where load asks for it.
func (p *Planner) balance(now time.Time, d division, objective time.Duration, together int) (Order, bool) {
	if now.Sub(p.ordered) < p.policy.Settle/time.Duration(together) {
		return Order{}, false
	}
	limit := p.policy.WaitShare * float64(objective) / float64(time.Millisecond)
	switch {
	case p.wait > limit && p.fill < p.policy.MemoryShare/2 && len(d.decode) > d.keptDecode():
		return Order{Worker: idlest(d.decode), Prefill: true, Reason: PromptsWait}, true
	case p.fill > p.policy.MemoryShare && p.wait < limit/2 && len(d.prefill) > d.leastPrefill():
		return Order{Worker: idlest(d.prefill), Prefill: false, Reason: MemoryIsFull}, true
	}
	return Order{}, false
}

// idlest returns the engine with the least work.
func idlest(workers []Worker) string {
	least := slices.MinFunc(workers, func(left, right Worker) int {
		if left.ReadTokens+left.MemoryTokens != right.ReadTokens+right.MemoryTokens {
			return left.ReadTokens + left.MemoryTokens - right.ReadTokens - right.MemoryTokens
		}
		return strings.Compare(left.ID, right.ID)
	})
	return least.ID
}
