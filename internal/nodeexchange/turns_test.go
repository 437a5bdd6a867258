package nodeexchange

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/worker"
)

// turnZeroTolerance permits no excess, so that a test can count the turns.
var turnZeroTolerance = quota.Tolerance{Window: 4 * time.Second}

// turnNodes returns nodes that have known each other and a worker for a long time.
func turnNodes(t *testing.T, nodes int, tolerance quota.Tolerance) []*Exchange {
	t.Helper()
	return exchangesWith(t, nodes, func(exchange *Exchange) *quotaExchange {
		exchange.SetTurns(tolerance)
		return exchange.turns
	})
}

// stateLimit lets a worker state a limit to a node now.
func stateLimit(e *Exchange, rate float64) {
	now := time.Now()
	e.registry.ObserveLimit("w", "request", worker.LimitStatement{Named: true, Rate: rate, Sent: now, Heard: now})
}

// hourly is a limit that hardly refills during a test.
const hourly = worker.MinRate

// TestTurnsHoldOverAllNodes checks that all nodes together keep to a limit that a worker stated
// to one of them.
func TestTurnsHoldOverAllNodes(t *testing.T) {
	exchanges := turnNodes(t, 5, turnZeroTolerance)
	stateLimit(exchanges[0], hourly)
	waitUntil(t, "all nodes know the limit", func() bool {
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
	// If a keeper's answer is late, the next keeper decides, which may not have the last report
	// yet.
	if granted < turnBurst || granted > turnBurst+2 {
		t.Errorf("%d turns, want %d", granted, turnBurst)
	}
}

// TestRequestsWithoutATurnAreCounted checks that requests which are sent without asking for a
// turn, such as orders, count too.
func TestRequestsWithoutATurnAreCounted(t *testing.T) {
	exchanges := turnNodes(t, 2, turnZeroTolerance)
	stateLimit(exchanges[0], hourly)
	exchanges[0].CountTurn("w")
	waitUntil(t, "the next turn is refused everywhere", func() bool {
		return !exchanges[1].TakeTurn(t.Context(), "w", 0).Granted && !exchanges[0].TakeTurn(t.Context(), "w", 0).Granted
	})
}

// TestAskingNodeLearnsThatALimitEnded checks that a node that asks for turns learns from the
// keeper that the worker has ended its limit.
func TestAskingNodeLearnsThatALimitEnded(t *testing.T) {
	exchanges := turnNodes(t, 3, turnZeroTolerance)
	for _, exchange := range exchanges {
		stateLimit(exchange, hourly)
	}
	for exchanges[0].TakeTurn(t.Context(), "w", 0).Granted {
	}
	// The end is stated well after the limit: within limitTimeSlack their order would be
	// unknown.
	time.Sleep(2 * limitTimeSlack)
	now := time.Now()
	for _, exchange := range exchanges[1:] {
		exchange.registry.MergeLimit("w", "other", worker.LimitStatement{Sent: now, Heard: now})
	}
	waitUntil(t, "the node is granted all it asks for", func() bool {
		first, second := exchanges[0].TakeTurn(t.Context(), "w", 0), exchanges[0].TakeTurn(t.Context(), "w", 0)
		return first.Granted && second.Granted && !exchanges[0].registry.HasLimit("w")
	})
}

// TestNewNodeGetsTheLimits checks that a new node gets limits that were stated before it
// started.
func TestNewNodeGetsTheLimits(t *testing.T) {
	exchanges := turnNodes(t, 2, turnZeroTolerance)
	now := time.Now()
	exchanges[0].registry.MergeLimit("w", "other", worker.LimitStatement{Named: true, Rate: 2, Sent: now, Heard: now})
	waitUntil(t, "the nodes hear each other", func() bool { return exchanges[1].OldestDigest() > 0 && exchanges[0].OldestDigest() > 0 })
	exchanges[0].shareLimits(exchanges[1].peers.address)
	waitUntil(t, "the other node knows the limit", func() bool { return exchanges[1].registry.HasLimit("w") })
}

// TestOneNodeIsTheFirstTurnKeeper checks that exactly one node, the first present keeper of a
// worker's turns, is the one that is to ask a silent worker.
func TestOneNodeIsTheFirstTurnKeeper(t *testing.T) {
	exchanges := turnNodes(t, 4, turnZeroTolerance)
	waitUntil(t, "one node of four asks", func() bool {
		count := 0
		for _, exchange := range exchanges {
			if exchange.IsFirstTurnKeeper("w") {
				count++
			}
		}
		return count == 1
	})
}

func TestLimitTimesAreSentAsAges(t *testing.T) {
	now := time.Now()
	before := worker.LimitStatement{Named: true, Rate: 2.6, Sent: now.Add(-30 * time.Millisecond), Heard: now.Add(-10 * time.Millisecond)}
	later := now.Add(time.Hour) // another node's clock
	got := renderLimit(before, now).statement(later)
	want := worker.LimitStatement{Named: true, Rate: 2.6, Sent: later.Add(-30*time.Millisecond - limitTimeSlack), Heard: later.Add(-10 * time.Millisecond)}
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestTurnKeepersAreTheFirstHomes checks that the keepers of a worker's turns are among its
// homes, which are told the worker's limit.
func TestTurnKeepersAreTheFirstHomes(t *testing.T) {
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

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}
