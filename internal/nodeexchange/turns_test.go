package nodeexchange

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/worker"
)

// noTolerance bears nothing beyond a limit, so that turns can be counted.
var noTolerance = quota.Tolerance{Window: 4 * time.Second}

// turnNodes returns nodes that have known each other and a worker for long.
func turnNodes(t *testing.T, nodes int, tolerance quota.Tolerance) []*Exchange {
	t.Helper()
	return exchangesWith(t, nodes, func(exchange *Exchange) *quotaExchange {
		exchange.SetTurns(tolerance)
		return exchange.turns
	})
}

// named has a worker name a limit to a node now.
func named(e *Exchange, rate float64) {
	now := time.Now()
	e.registry.ObserveLimit("w", "request", worker.LimitStatement{Named: true, Rate: rate, Sent: now, Heard: now})
}

// hourly is a limit that hardly comes back within a test.
const hourly = worker.MinRate

// TestTurnsHoldOverAllNodes that were told of the limit by one.
func TestTurnsHoldOverAllNodes(t *testing.T) {
	exchanges := turnNodes(t, 5, noTolerance)
	named(exchanges[0], hourly)
	awaitThat(t, "all nodes know the limit", func() bool {
		for _, exchange := range exchanges {
			if !exchange.registry.HasLimit("w") {
				return false
			}
		}
		return true
	})
	granted := 0
	for range 10 {
		for _, exchange := range exchanges {
			verdict := exchange.TakeTurn(t.Context(), "w", 0)
			if verdict.Granted && !verdict.Private {
				granted++
			}
			if !verdict.Granted && verdict.RetryAfter <= 0 {
				t.Errorf("%+v", verdict)
			}
			exchange.turns.reportChanged(time.Now())
		}
	}
	// A keeper whose answer is late may be followed by one that wasn't told of the last turn.
	if granted < turnBurst || granted > turnBurst+2 {
		t.Errorf("%d turns, want %d", granted, turnBurst)
	}
}

// TestRequestsWithoutATurnCount: orders and the like are sent without asking.
func TestRequestsWithoutATurnCount(t *testing.T) {
	exchanges := turnNodes(t, 2, noTolerance)
	named(exchanges[0], hourly)
	exchanges[0].CountTurn("w")
	awaitThat(t, "the next turn is refused everywhere", func() bool {
		return !exchanges[1].TakeTurn(t.Context(), "w", 0).Granted && !exchanges[0].TakeTurn(t.Context(), "w", 0).Granted
	})
}

// TestNodeThatAsksLearnsOfTheEnd from the keeper, which has heard of it.
func TestNodeThatAsksLearnsOfTheEnd(t *testing.T) {
	exchanges := turnNodes(t, 3, noTolerance)
	for _, exchange := range exchanges {
		named(exchange, hourly)
	}
	for exchanges[0].TakeTurn(t.Context(), "w", 0).Granted {
	}
	// The end is said well after the limit was: else a message's way makes its order unknown.
	time.Sleep(2 * limitTimeSlack)
	now := time.Now()
	for _, exchange := range exchanges[1:] {
		exchange.registry.MergeLimit("w", "other", worker.LimitStatement{Sent: now, Heard: now})
	}
	awaitThat(t, "the node is granted all it asks for", func() bool {
		first, second := exchanges[0].TakeTurn(t.Context(), "w", 0), exchanges[0].TakeTurn(t.Context(), "w", 0)
		return first.Granted && second.Granted && !exchanges[0].registry.HasLimit("w")
	})
}

// TestNewNodeIsToldOfLimits of which it can't have heard.
func TestNewNodeIsToldOfLimits(t *testing.T) {
	exchanges := turnNodes(t, 2, noTolerance)
	now := time.Now()
	exchanges[0].registry.MergeLimit("w", "other", worker.LimitStatement{Named: true, Rate: 2, Sent: now, Heard: now})
	awaitThat(t, "the nodes hear each other", func() bool { return exchanges[1].OldestDigest() > 0 && exchanges[0].OldestDigest() > 0 })
	exchanges[0].shareLimits(exchanges[1].peers.address)
	awaitThat(t, "the other node knows the limit", func() bool { return exchanges[1].registry.HasLimit("w") })
}

// TestOneNodeAsksASilentWorker: the first of those that count its requests and are heard.
func TestOneNodeAsksASilentWorker(t *testing.T) {
	exchanges := turnNodes(t, 4, noTolerance)
	awaitThat(t, "one node of four asks", func() bool {
		count := 0
		for _, exchange := range exchanges {
			if exchange.IsFirstTurnKeeper("w") {
				count++
			}
		}
		return count == 1
	})
}

func TestLimitsTravelAsAges(t *testing.T) {
	now := time.Now()
	before := worker.LimitStatement{Named: true, Rate: 2.6, Sent: now.Add(-30 * time.Millisecond), Heard: now.Add(-10 * time.Millisecond)}
	later := now.Add(time.Hour) // another node's clock
	got := renderLimit(before, now).statement(later)
	want := worker.LimitStatement{Named: true, Rate: 2.6, Sent: later.Add(-30*time.Millisecond - limitTimeSlack), Heard: later.Add(-10 * time.Millisecond)}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestTurnsAreKeptByThoseWhoKeepTheAccount: they are told what the worker says.
func TestTurnsAreKeptByThoseWhoKeepTheAccount(t *testing.T) {
	set := newPeerSet("self", netip.MustParseAddrPort("10.0.0.1:1"), "zone")
	var listed []Peer
	for i := range 100 {
		listed = append(listed, Peer{Node: fmt.Sprint("n", i), Address: addressOf(i), Zone: "zone"})
	}
	set.addFullList(listed)
	keepers := set.turnKeepers(turnCharge("w").Account)
	homes := set.homes("w")
	if len(keepers) == 0 || len(keepers) > turnKeepers || len(homes) < len(keepers) {
		t.Fatalf("%d keepers of %d homes", len(keepers), len(homes))
	}
	for i := range keepers {
		if keepers[i] != homes[i] {
			t.Errorf("keeper %d is %v, home %v", i, keepers[i], homes[i])
		}
	}
}

// awaitThat waits until something holds.
func awaitThat(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
	}
}
