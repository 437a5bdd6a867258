package stageplan

import (
	"testing"
	"time"
)

// rateLimitedFleet returns engines of which the first few are rate limited.
func rateLimitedFleet(prefill, decode, limited int) []Worker {
	count := 0
	return fleet(prefill, decode, func(worker *Worker) {
		worker.Limited = count < limited
		worker.Requests = 1
		count++
	})
}

// ordersOf lets a planner observe engines for ten seconds and carries its orders out at once.
func ordersOf(workers []Worker, offered OfferedLoad) (orders []Order) {
	planner := New(DefaultPolicy())
	for elapsed := time.Duration(0); elapsed <= 10*time.Second; elapsed += tick {
		given := planner.Decide(origin.Add(elapsed), workers, offered)
		carryOut(workers, given, false)
		orders = append(orders, given...)
	}
	return orders
}

// TestRateLimitedEnginesChangeToDecode: a request that a rate-limited prefill engine accepts
// still needs a decode engine.
func TestRateLimitedEnginesChangeToDecode(t *testing.T) {
	workers := rateLimitedFleet(6, 3, 9)
	orders := ordersOf(workers, OfferedLoad{ReadTokens: 1, Requests: 20})
	if len(orders) != 5 {
		t.Fatalf("%d orders, want 5: one prefill engine stays", len(orders))
	}
	for _, order := range orders {
		if order.Prefill || order.Reason != RateLimitBottleneck {
			t.Errorf("%+v", order)
		}
	}
}

// TestRateLimitedEnginesStayWhileNothingIsRefused, and while enough engines without a limit are
// left to plan with.
func TestRateLimitedEnginesStayWhileNothingIsRefused(t *testing.T) {
	if orders := ordersOf(rateLimitedFleet(6, 3, 9), OfferedLoad{ReadTokens: 1, Requests: 3}); len(orders) > 0 {
		t.Errorf("orders although no request is refused: %+v", orders)
	}
	for _, order := range ordersOf(rateLimitedFleet(6, 3, 4), OfferedLoad{ReadTokens: 1, Requests: 3}) {
		if order.Reason == RateLimitBottleneck || order.Worker < "w04" {
			t.Errorf("order to a rate-limited engine: %+v", order)
		}
	}
}
