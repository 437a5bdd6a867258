package quota

import (
	"testing"
	"time"
)

// workerLimit is the rate limit that a worker declares, and workerTolerance how far it may be
// exceeded.
var (
	workerLimit     = Limit{Rate: 2.2, Burst: 1, Unit: Requests}
	workerTolerance = Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5, Ahead: 4 * time.Second}
)

// requestTurn sends one request that may wait until a time.
func requestTurn(k *Keeper, from *node, patience, now time.Time) Decision {
	report := from.meter.Begin(accountA, workerLimit, 1, now)
	decision := k.Decide(DecisionRequest{
		Account: accountA, From: from.Spender, Report: report, Cost: 1, Patience: patience.Sub(now),
	}, true, now)
	if decision.Granted {
		from.meter.Take(accountA, 1, now)
	}
	return decision
}

// TestTurnsAreGrantedInOrderAtTheRate: a request that waits has its own turn, no later request
// gets an earlier one, and the limit is fully used.
func TestTurnsAreGrantedInOrderAtTheRate(t *testing.T) {
	keeper := NewKeeper(workerTolerance, warmSince)
	nodes := []*node{newNode(1), newNode(2), newNode(3)}
	var turns []time.Time
	for step := range 400 { // 40 s of ten requests a second, of which each waits a second at most
		now := at(float64(step) / 10)
		decision := requestTurn(keeper, nodes[step%3], now.Add(time.Second), now)
		if decision.Granted {
			turns = append(turns, now.Add(decision.Delay))
		} else if decision.Wait <= 0 {
			t.Fatal("a refusal has no retry time")
		}
	}
	for i := range turns[1:] {
		if turns[i+1].Before(turns[i]) {
			t.Fatalf("turn %d is before the one granted earlier", i+1)
		}
	}
	first := 0
	for last, now := range turns {
		for now.Sub(turns[first]) >= workerTolerance.Window {
			first++
		}
		if count := last - first + 1; float64(count) > workerLimit.Rate*4+workerLimit.Burst+workerTolerance.MaxExcess(workerLimit)/earlyCreditDivisor+1 {
			t.Fatalf("%d turns in 4 s, limit %v per second", count, workerLimit.Rate)
		}
	}
	if used := float64(len(turns)) / 40; used < 0.95*workerLimit.Rate {
		t.Errorf("%v requests per second were granted, limit %v", used, workerLimit.Rate)
	}
}

func TestNextTellsWhenAFurtherRequestPasses(t *testing.T) {
	keeper := NewKeeper(workerTolerance, warmSince)
	n := newNode(1)
	decision := Decision{Granted: true}
	for decision.Granted && decision.Next == 0 {
		decision = requestTurn(keeper, n, at(0), at(0))
	}
	if !decision.Granted || decision.Next <= 0 {
		t.Fatalf("%+v", decision)
	}
	if got := requestTurn(keeper, n, at(0), at(0).Add(decision.Next-time.Millisecond)); got.Granted {
		t.Error("a request was granted before Next")
	}
	if got := requestTurn(keeper, n, at(0), at(0).Add(decision.Next+time.Millisecond)); !got.Granted {
		t.Error("no request was granted at Next")
	}
}

func TestRefundedTurnGoesToAnotherRequest(t *testing.T) {
	keeper := NewKeeper(workerTolerance, warmSince)
	first, second := newNode(1), newNode(2)
	for requestTurn(keeper, first, at(0), at(0)).Granted {
	}
	if !requestTurn(keeper, first, at(2), at(0)).Granted {
		t.Fatal("no turn was granted within two seconds")
	}
	before := requestTurn(keeper, second, at(0), at(0)).Level
	first.meter.Refund(accountA, 1)
	first.report(keeper, at(0))
	if after := requestTurn(keeper, second, at(0), at(0)).Level; after <= before {
		t.Errorf("level %v after a refund, %v before", after, before)
	}
}

// TestTurnsStayAtTheRateWithAnyKeeper: if an answer is late, another keeper is asked, which has
// been told of the turns that the first one granted ahead of time.
func TestTurnsStayAtTheRateWithAnyKeeper(t *testing.T) {
	keepers := []*Keeper{NewKeeper(workerTolerance, warmSince), NewKeeper(workerTolerance, warmSince), NewKeeper(workerTolerance, warmSince)}
	n := newNode(1)
	granted := 0
	const span = 40
	for step := range span * 10 {
		now := at(float64(step) / 10)
		if requestTurn(keepers[step%3], n, now.Add(2500*time.Millisecond), now).Granted {
			granted++
		}
		for _, keeper := range keepers {
			n.report(keeper, now)
		}
	}
	if perSecond := float64(granted) / span; perSecond > 1.1*workerLimit.Rate {
		t.Errorf("%v turns per second were granted, limit %v", perSecond, workerLimit.Rate)
	}
}
