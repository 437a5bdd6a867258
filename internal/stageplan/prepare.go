package stageplan

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// EmptyCaches is the reason of orders before the first request.
const EmptyCaches Reason = "caches are empty and no caller has asked yet"

const (
	// preparingShare is the share of the engines that may change at once before the first
	// request. Orders cost nobody anything then; if callers come while they are carried out,
	// the other half serves them.
	preparingShare = 0.5
	// preparingSwitches is for how many Switch engines are prepared: for two waves, and for
	// what an engine that left its order unanswered takes until it can be ordered again. An
	// engine that rejects its orders isn't ordered for longer.
	preparingSwitches = 8
	// similarSpeed is the ratio of neighbouring speed classes. Engines of one class count as
	// equally fast: a smaller difference is within what one statement of a slowdown varies by,
	// and isn't worth an order.
	similarSpeed = 1.25
)

// prepare returns the orders that divide the engines for prompts that have to be read whole,
// while caches are known to be empty. They begin once no demand has been seen for Learn, since
// other nodes tell what their callers ask only after a moment.
func (p *Planner) prepare(now time.Time, workers []Worker, d division) []Order {
	p.preparing = p.cold.Selected && p.cold.Empty && p.demandSince.IsZero()
	if !p.preparing {
		return nil
	}
	if p.emptySince.IsZero() {
		p.emptySince = now
	}
	since := now.Sub(p.emptySince)
	p.preparing = since <= p.policy.Learn+preparingSwitches*p.cold.Switch
	if !p.preparing || since < p.policy.Learn || now.Before(p.nextOrders) {
		return nil
	}
	atOnce := max(int(preparingShare*float64(len(workers))), 1) - countChanging(workers)
	orders := p.policy.preparingOrders(d, min(atOnce, p.cold.MaxOrders-p.prepared))
	if len(orders) > 0 {
		p.nextOrders = now.Add(p.policy.Settle)
		p.prepared += len(orders)
	}
	return orders
}

// preparingOrders returns at most budget orders toward the division for empty caches. Reading
// bounds such a service, so all engines read but those that orders leave to decode in any case.
// These are the fastest: every request finishes on one of the few, and as many slow ones would
// be left with far less than DecodeShare of what all engines can do. Each stage keeps its
// smallest number of engines that aren't changing.
func (p Policy) preparingOrders(d division, budget int) []Order {
	minDecode := p.minDecode(d.size())
	engines := slices.SortedFunc(slices.Values(append(slices.Clone(d.decode), d.prefill...)), fastestFirst)
	writers, readers := engines[:minDecode], engines[minDecode:]
	var orders []Order
	order := func(from []Worker, prefill bool, spare int) {
		for _, worker := range from {
			if worker.Prefill == prefill || worker.Changing || spare < 1 || budget < 1 {
				continue
			}
			orders = append(orders, Order{Worker: worker.ID, Region: worker.Region, Prefill: prefill, Reason: EmptyCaches})
			spare--
			budget--
		}
	}
	order(writers, false, len(d.prefill)-countChanging(d.prefill)-minPrefill)
	order(readers, true, len(d.decode)-countChanging(d.decode)-minDecode)
	return orders
}

// fastestFirst orders engines by how fast they are, and among similar ones those that decode
// first.
func fastestFirst(left, right Worker) int {
	if order := cmp.Compare(left.speedClass(), right.speedClass()); order != 0 {
		return order
	}
	if left.Prefill != right.Prefill {
		if right.Prefill {
			return -1
		}
		return 1
	}
	return strings.Compare(left.ID, right.ID)
}

// speedClass groups engines of similar speed, the slower the higher.
func (w Worker) speedClass() int {
	if w.Slowdown <= 0 {
		return 0 // as fast as usual, for all that is known
	}
	return int(math.Round(math.Log(w.Slowdown) / math.Log(similarSpeed)))
}
