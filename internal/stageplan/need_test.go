package stageplan

import (
	"testing"
	"time"
)

// rateLimitedFleet are engines of which some take few requests.
func rateLimitedFleet(prefill, decode, limited int) []Worker {
	count := 0
	return fleet(prefill, decode, func(worker *Worker) {
		worker.Limited = count < limited
		worker.Requests = 1
		count++
	})
}

// ordersOf lets a planner see engines for ten seconds and has its orders carried out at once.
func ordersOf(workers []Worker, offered OfferedLoad) (orders []Order) {
	planner := New(DefaultPolicy())
	for elapsed := time.Duration(0); elapsed <= 10*time.Second; elapsed += tick {
		given := planner.Decide(origin.Add(elapsed), workers, offered)
		carryOut(workers, given, false)
		orders = append(orders, given...)
	}
	return orders
}

// TestRateLimitedEnginesChangeToDecode: what one that only reads takes serves nobody.
func TestRateLimitedEnginesChangeToDecode(t *testing.T) {
	workers := rateLimitedFleet(6, 3, 9)
	orders := ordersOf(workers, OfferedLoad{ReadTokens: 1, Requests: 20})
	if len(orders) != 5 {
		t.Fatalf("%d orders, want 5: one engine goes on reading", len(orders))
	}
	for _, order := range orders {
		if order.Prefill || order.Reason != RateLimitBottleneck {
			t.Errorf("%+v", order)
		}
	}
}

// TestRateLimitedEnginesStayWhileNothingIsRefused where nobody is refused, or where others are enough to plan with.
func TestRateLimitedEnginesStayWhileNothingIsRefused(t *testing.T) {
	if orders := ordersOf(rateLimitedFleet(6, 3, 9), OfferedLoad{ReadTokens: 1, Requests: 3}); len(orders) > 0 {
		t.Errorf("nobody is refused: %+v", orders)
	}
	for _, order := range ordersOf(rateLimitedFleet(6, 3, 4), OfferedLoad{ReadTokens: 1, Requests: 3}) {
		if order.Reason == RateLimitBottleneck || order.Worker < "w04" {
			t.Errorf("an engine in need is ordered: %+v", order)
		}
	}
}
