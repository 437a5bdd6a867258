package quota

import (
	"testing"
	"time"
)

// The limit of a worker in need, and what it bears beyond it.
var (
	ofWorker  = Limit{Rate: 2.2, Burst: 1, Unit: Requests}
	tolerated = Tolerance{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5, Ahead: 4 * time.Second}
)

// turn asks for one request that may wait.
func turn(k *Keeper, from *node, patience, now time.Time) Decision {
	report := from.meter.Begin(tenantA, ofWorker, 1, now)
	decision := k.Decide(DecisionRequest{
		Account: tenantA, From: from.Spender, Report: report, Cost: 1, Patience: patience.Sub(now),
	}, true, now)
	if decision.Granted {
		from.meter.Take(tenantA, 1, now)
	}
	return decision
}

// TestTurnsAreGivenInOrderAtTheRate: who waits has a turn of its own, which none that comes later
// is served before, and all that a limit allows is used.
func TestTurnsAreGivenInOrderAtTheRate(t *testing.T) {
	keeper := NewKeeper(tolerated, warmSince)
	nodes := []*node{newNode(1), newNode(2), newNode(3)}
	var turns []time.Time
	for step := range 400 { // 40 s of ten requests a second, of which each waits a second at most
		now := at(float64(step) / 10)
		decision := turn(keeper, nodes[step%3], now.Add(time.Second), now)
		if decision.Granted {
			turns = append(turns, now.Add(decision.Delay))
		} else if decision.Wait <= 0 {
			t.Fatal("a refusal doesn't tell when to come back")
		}
	}
	for i := range turns[1:] {
		if turns[i+1].Before(turns[i]) {
			t.Fatalf("turn %d comes before the one that was given earlier", i+1)
		}
	}
	first := 0
	for last, now := range turns {
		for now.Sub(turns[first]) >= tolerated.Window {
			first++
		}
		if count := last - first + 1; float64(count) > ofWorker.Rate*4+ofWorker.Burst+tolerated.MaxExcess(ofWorker)/creditPart+1 {
			t.Fatalf("%d turns in 4 s, %v a second are taken", count, ofWorker.Rate)
		}
	}
	if used := float64(len(turns)) / 40; used < 0.95*ofWorker.Rate {
		t.Errorf("%v requests a second of %v", used, ofWorker.Rate)
	}
}

// TestNextTellsWhenAFurtherRequestPasses.
func TestNextTellsWhenAFurtherRequestPasses(t *testing.T) {
	keeper := NewKeeper(tolerated, warmSince)
	n := newNode(1)
	decision := Decision{Granted: true}
	for decision.Granted && decision.Next == 0 {
		decision = turn(keeper, n, at(0), at(0))
	}
	if !decision.Granted || decision.Next <= 0 {
		t.Fatalf("%+v", decision)
	}
	if got := turn(keeper, n, at(0), at(0).Add(decision.Next-time.Millisecond)); got.Granted {
		t.Error("a request passes before the time that was told")
	}
	if got := turn(keeper, n, at(0), at(0).Add(decision.Next+time.Millisecond)); !got.Granted {
		t.Error("no request passes at the time that was told")
	}
}

// TestTurnThatIsGivenBackIsSomebodyElses.
func TestTurnThatIsGivenBackIsSomebodyElses(t *testing.T) {
	keeper := NewKeeper(tolerated, warmSince)
	first, second := newNode(1), newNode(2)
	for turn(keeper, first, at(0), at(0)).Granted {
	}
	if !turn(keeper, first, at(2), at(0)).Granted {
		t.Fatal("no turn within two seconds")
	}
	before := turn(keeper, second, at(0), at(0)).Level
	first.meter.Refund(tenantA, 1)
	first.tell(keeper, at(0))
	if after := turn(keeper, second, at(0), at(0)).Level; after <= before {
		t.Errorf("the level is %v, was %v", after, before)
	}
}

// TestTurnsHoldWhicheverKeeperIsAsked: an answer that is late has another keeper asked, which was
// told of the turns that the first has given ahead.
func TestTurnsHoldWhicheverKeeperIsAsked(t *testing.T) {
	keepers := []*Keeper{NewKeeper(tolerated, warmSince), NewKeeper(tolerated, warmSince), NewKeeper(tolerated, warmSince)}
	n := newNode(1)
	granted := 0
	const span = 40
	for step := range span * 10 {
		now := at(float64(step) / 10)
		if turn(keepers[step%3], n, now.Add(2500*time.Millisecond), now).Granted {
			granted++
		}
		for _, keeper := range keepers {
			n.tell(keeper, now)
		}
	}
	if perSecond := float64(granted) / span; perSecond > 1.1*ofWorker.Rate {
		t.Errorf("%v turns a second are given, %v are taken", perSecond, ofWorker.Rate)
	}
}
