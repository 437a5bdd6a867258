package stageplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testSwitch = 3 * time.Second
	// listedAfter is how long after a change its row in the worker list is seen.
	listedAfter = 2 * time.Second
)

var emptyCaches = ColdStart{Selected: true, Empty: true, Switch: testSwitch, MaxOrders: 1000}

// startingFleet carries out the orders of a planner, each in the time of a change.
type startingFleet struct {
	workers  []Worker
	finished map[string]time.Duration
	// deaf engines don't carry out orders; they answer nothing or reject.
	deaf   map[string]bool
	orders []Order
	// last is when the last order was given.
	last time.Duration
}

func newStartingFleet(workers []Worker) *startingFleet {
	return &startingFleet{workers: workers, finished: make(map[string]time.Duration), deaf: make(map[string]bool)}
}

// run lets a planner decide from one time to another.
func (f *startingFleet) run(planner *Planner, from, to time.Duration, offered OfferedLoad, observe func(orders []Order)) {
	for elapsed := from; elapsed < to; elapsed += tick {
		for i := range f.workers {
			if at, changing := f.finished[f.workers[i].ID]; changing && elapsed >= at {
				f.workers[i].Changing = false
			}
		}
		orders := planner.Decide(origin.Add(elapsed), f.workers, offered)
		observe(orders)
		for _, order := range orders {
			f.orders, f.last = append(f.orders, order), elapsed
			if f.deaf[order.Worker] {
				continue
			}
			carryOut(f.workers, []Order{order}, true)
			f.finished[order.Worker] = elapsed + testSwitch + listedAfter
		}
	}
}

func ignore([]Order) {}

func preparingPlanner(cold ColdStart) *Planner {
	planner := New(DefaultPolicy())
	planner.SetColdStart(cold)
	return planner
}

// slowEvery gives every n-th engine a slow host, the others a fast one.
func slowEvery(n int) func(*Worker) {
	count := 0
	return func(w *Worker) {
		count++
		w.Slowdown = slowIf(count%n == 0)
	}
}

// slowIf returns the slowdown of a slow host or that of a fast one.
func slowIf(slow bool) float64 {
	if slow {
		return 1.7
	}
	return 0.7
}

// TestEnginesArePreparedForEmptyCaches: before the first request, all engines read but those
// that must write, in two waves of orders at most; of engines of several speeds the fast write.
func TestEnginesArePreparedForEmptyCaches(t *testing.T) {
	for name, test := range map[string]struct {
		prefill, decode int
		slow            func(*Worker)
		cold            ColdStart
		wantDecode      int
		wantSlowDecode  int
		mostOrders      int
	}{
		"smallest":                {1, 2, nil, emptyCaches, 2, 0, 0},
		"even":                    {6, 11, nil, emptyCaches, 5, 0, 6},
		"large":                   {31, 59, nil, emptyCaches, 23, 0, 36},
		"a third is slow":         {6, 11, slowEvery(3), emptyCaches, 5, 0, 6},
		"large, a third is slow":  {31, 59, slowEvery(3), emptyCaches, 23, 0, 36},
		"slow ones write":         {12, 5, func(w *Worker) { w.Slowdown = slowIf(!w.Prefill) }, emptyCaches, 5, 0, 10},
		"nearly all are slow":     {6, 11, func(w *Worker) { w.Slowdown = slowIf(w.ID != "w00") }, emptyCaches, 5, 4, 8},
		"all read already":        {12, 5, nil, emptyCaches, 5, 0, 0},
		"more read than may":      {15, 2, nil, emptyCaches, 5, 0, 3},
		"speeds that hardly vary": {12, 5, func(w *Worker) { w.Slowdown = 1.02 - float64(w.ID[2]-'0')/100 }, emptyCaches, 5, 0, 0},
		"not selected":            {6, 11, slowEvery(3), ColdStart{Empty: true, Switch: testSwitch}, 11, 3, 0},
		"callers have asked":      {6, 11, slowEvery(3), ColdStart{Selected: true, Switch: testSwitch}, 11, 3, 0},
	} {
		f := newStartingFleet(fleet(test.prefill, test.decode, test.slow))
		f.run(preparingPlanner(test.cold), 0, time.Minute, OfferedLoad{}, ignore)
		decode, slow := 0, 0
		for _, worker := range f.workers {
			if !worker.Prefill {
				decode++
				if worker.Slowdown > 1.5 {
					slow++
				}
			}
		}
		if decode != test.wantDecode || slow != test.wantSlowDecode || len(f.orders) > test.mostOrders {
			t.Errorf("%s: %d decode engines, %d of them slow, after %d orders; want %d, %d and at most %d",
				name, decode, slow, len(f.orders), test.wantDecode, test.wantSlowDecode, test.mostOrders)
		}
		if done := f.last + testSwitch; done > DefaultPolicy().Learn+2*testSwitch+listedAfter+2*tick {
			t.Errorf("%s: the last engine is ready only after %v", name, done)
		}
	}
}

// TestPreparingKeepsBothStages: whatever engines there are, at most half change at once, and
// each stage keeps its smallest number of engines that don't change, if it had them.
func TestPreparingKeepsBothStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := fleet(rapid.IntRange(0, 20).Draw(t, "prefill"), rapid.IntRange(0, 20).Draw(t, "decode"), func(w *Worker) {
			w.Usable = rapid.IntRange(0, 9).Draw(t, "usable") > 0
			w.Slowdown = rapid.SampledFrom([]float64{0, 0.7, 0.72, 1, 1.7, 4.25}).Draw(t, "slowdown")
		})
		f := newStartingFleet(workers)
		settled := func() (prefill, decode int) {
			for _, worker := range f.workers {
				switch {
				case worker.Changing || !worker.Usable:
				case worker.Prefill:
					prefill++
				default:
					decode++
				}
			}
			return prefill, decode
		}
		f.run(preparingPlanner(emptyCaches), 0, 30*time.Second, OfferedLoad{}, func(orders []Order) {
			prefill, decode := settled()
			usable := divide(f.workers).size()
			for _, order := range orders {
				if order.Prefill {
					decode--
				} else {
					prefill--
				}
				if order.Prefill && decode < DefaultPolicy().minDecode(usable) || !order.Prefill && prefill < minPrefill {
					t.Fatalf("%+v leaves %d engines that prefill and %d that decode", order, prefill, decode)
				}
			}
			if changing := countChanging(f.workers) + len(orders); len(orders) > 0 && changing > max(len(f.workers)/2, 1) {
				t.Fatalf("%d of %d engines change at once", changing, len(f.workers))
			}
		})
		if extra := len(f.orders) - len(f.workers); extra > 0 {
			t.Fatalf("%d orders to %d engines", len(f.orders), len(f.workers))
		}
	})
}

// TestEarlyRequestsEndPreparing: once callers ask, nothing more is prepared, and the usual plan
// needs no order for the division that was reached.
func TestEarlyRequestsEndPreparing(t *testing.T) {
	f := newStartingFleet(fleet(6, 11, slowEvery(3)))
	planner := preparingPlanner(emptyCaches)
	f.run(planner, 0, 3*time.Second, OfferedLoad{}, ignore)
	prepared := len(f.orders)
	planner.SetColdStart(ColdStart{Selected: true, Switch: testSwitch})
	f.run(planner, 3*time.Second, 4*time.Second, OfferedLoad{ReadTokens: enginePace, SharedTokens: enginePace, SharedUnread: enginePace}, ignore)
	if prepared == 0 || len(f.orders) != prepared {
		t.Errorf("%d orders before the first request, %d after", prepared, len(f.orders)-prepared)
	}
}

// TestWrongFirstStartGivesNoOrders: where callers do ask, other nodes tell so before engines
// are prepared, or their requests are seen at the engines.
func TestWrongFirstStartGivesNoOrders(t *testing.T) {
	for name, load := range map[string]struct {
		offered OfferedLoad
		change  func(*Worker)
	}{
		"told by others":   {OfferedLoad{ReadTokens: 0.1 * enginePace}, nil},
		"seen at engines":  {OfferedLoad{}, withDecodeRequests(1)},
		"only refusals":    {OfferedLoad{Requests: 1}, nil},
		"memory that runs": {OfferedLoad{MemoryTokens: 100}, nil},
	} {
		f := newStartingFleet(fleet(12, 5, load.change))
		f.run(preparingPlanner(emptyCaches), 0, 20*time.Second, load.offered, func(orders []Order) {
			for _, order := range orders {
				if order.Reason == EmptyCaches {
					t.Errorf("%s: %+v", name, order)
				}
			}
		})
	}
}

// TestUnusableEnginesAreNotPrepared: an engine that can't be reached or drains gets no order;
// when it is back it is prepared as the others.
func TestUnusableEnginesAreNotPrepared(t *testing.T) {
	f := newStartingFleet(fleet(6, 11, func(w *Worker) { w.Usable = w.ID != "w16" }))
	planner := preparingPlanner(emptyCaches)
	f.run(planner, 0, 8*time.Second, OfferedLoad{}, func(orders []Order) {
		for _, order := range orders {
			if order.Worker == "w16" {
				t.Errorf("%+v", order)
			}
		}
	})
	f.workers[16].Usable = true
	f.run(planner, 8*time.Second, 25*time.Second, OfferedLoad{}, ignore)
	if d := divide(f.workers); len(d.decode) != 5 {
		t.Errorf("%d of 17 engines decode, want 5", len(d.decode))
	}
}

// TestNextNodeGoesOnPreparing: a node that becomes designated midway sees the engines as they
// are, and orders only what is left.
func TestNextNodeGoesOnPreparing(t *testing.T) {
	f := newStartingFleet(fleet(6, 11, slowEvery(3)))
	f.run(preparingPlanner(emptyCaches), 0, 3*time.Second, OfferedLoad{}, ignore)
	first := len(f.orders)
	f.run(preparingPlanner(emptyCaches), 3*time.Second, 25*time.Second, OfferedLoad{}, ignore)
	ordered := make(map[string]int)
	for _, order := range f.orders {
		if ordered[order.Worker]++; ordered[order.Worker] > 1 {
			t.Errorf("%s was ordered twice", order.Worker)
		}
	}
	if d := divide(f.workers); first == 0 || len(d.decode) != 5 {
		t.Errorf("%d orders of the first node; %d of 17 engines decode, want 5", first, len(d.decode))
	}
}

// TestUnfulfilledOrdersEnd: engines that reject their orders are ordered again once a Settle
// and not for longer than preparing lasts.
func TestUnfulfilledOrdersEnd(t *testing.T) {
	f := newStartingFleet(fleet(6, 11, nil))
	for i := range f.workers {
		f.deaf[fmt.Sprintf("w%02d", i)] = true
	}
	f.run(preparingPlanner(emptyCaches), 0, 10*time.Minute, OfferedLoad{}, ignore)
	if end := DefaultPolicy().Learn + preparingSwitches*testSwitch; f.last == 0 || f.last > end {
		t.Errorf("last order after %v, want within %v", f.last, end)
	}
	if most := 6 * int(1+preparingSwitches*testSwitch/DefaultPolicy().Settle); len(f.orders) > most {
		t.Errorf("%d orders, want at most %d", len(f.orders), most)
	}
}

// TestPreparingOrdersAreBounded checks that a service with many more engines than nodes isn't
// divided anew engine by engine, for callers that may never come.
func TestPreparingOrdersAreBounded(t *testing.T) {
	cold := emptyCaches
	cold.MaxOrders = 10
	orders, _ := ordersUnder(preparingPlanner(cold), fleet(30, 70, nil), func(time.Duration) OfferedLoad { return OfferedLoad{} }, time.Minute)
	if len(orders) != cold.MaxOrders {
		t.Errorf("%d orders for 100 engines, want %d", len(orders), cold.MaxOrders)
	}
}
