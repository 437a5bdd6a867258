package stageplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	objective = 800 * time.Millisecond
	tick      = 250 * time.Millisecond
)

var origin = time.Unix(1000, 0)

func fleet(prefill, decode int, change func(*Worker)) []Worker {
	var workers []Worker
	for i := range prefill + decode {
		worker := Worker{ID: fmt.Sprintf("w%02d", i), Prefill: i < prefill, Usable: true, Capacity: 400_000, Pace: 40}
		if change != nil {
			change(&worker)
		}
		workers = append(workers, worker)
	}
	return workers
}

// after lets a planner see the same fleet for a while, and returns its first order.
func after(t *testing.T, span time.Duration, workers []Worker) (Order, time.Duration, bool) {
	t.Helper()
	planner := New(DefaultPolicy())
	for elapsed := time.Duration(0); elapsed <= span; elapsed += tick {
		if order, found := planner.Decide(origin.Add(elapsed), workers, objective); found {
			return order, elapsed, true
		}
	}
	return Order{}, 0, false
}

func TestQuietFleetIsLeftAlone(t *testing.T) {
	if order, _, found := after(t, time.Minute, fleet(4, 5, nil)); found {
		t.Errorf("%+v", order)
	}
}

func TestPromptsThatWaitGetAReader(t *testing.T) {
	waiting := fleet(4, 5, func(w *Worker) {
		if w.Prefill {
			w.ReadTokens = 20_000
		}
	})
	order, _, found := after(t, 10*time.Second, waiting)
	if !found || !order.Prefill || order.Reason != PromptsWait || order.Worker < "w04" {
		t.Errorf("%+v %v", order, found)
	}
}

func TestDecodeWorkersAreNotAllTaken(t *testing.T) {
	for _, decode := range []int{1, 2, 3} {
		waiting := fleet(6, decode, func(w *Worker) { w.ReadTokens = 50_000 })
		if order, _, found := after(t, time.Second, waiting); found && order.Prefill {
			t.Errorf("with %d decode workers: %+v", decode, order)
		}
	}
}

func TestLostDecodeWorkersAreReplaced(t *testing.T) {
	lost := fleet(5, 4, func(w *Worker) { w.Usable = w.Prefill || w.ID == "w05" })
	order, when, found := after(t, 10*time.Second, lost)
	if !found || order.Prefill || order.Reason != FewDecode {
		t.Fatalf("%+v %v", order, found)
	}
	if when < DefaultPolicy().Urgent || when > DefaultPolicy().Urgent+tick {
		t.Errorf("ordered after %v", when)
	}
}

func TestLostPrefillWorkersAreReplaced(t *testing.T) {
	lost := fleet(2, 7, func(w *Worker) { w.Usable = !w.Prefill })
	if order, _, found := after(t, 10*time.Second, lost); !found || !order.Prefill || order.Reason != FewPrefill {
		t.Errorf("%+v %v", order, found)
	}
}

func TestFullMemoryGetsAWriter(t *testing.T) {
	full := fleet(5, 4, func(w *Worker) { w.MemoryTokens = 390_000 })
	if order, _, found := after(t, 10*time.Second, full); !found || order.Prefill || order.Reason != MemoryIsFull {
		t.Errorf("%+v %v", order, found)
	}
}

// TestLargeFleetMovesSeveralEnginesInOneSettlingTime: one engine in five seconds
// would follow a shift of the load in ninety engines after minutes.
func TestLargeFleetMovesSeveralEnginesInOneSettlingTime(t *testing.T) {
	for size, want := range map[int]int{9: 1, 90: 7} {
		waiting := fleet(size*4/9, size-size*4/9, func(w *Worker) { w.ReadTokens = 50_000 })
		planner := New(DefaultPolicy())
		ordered, most := 0, 0
		for elapsed := time.Duration(0); elapsed < DefaultPolicy().Settle; elapsed += tick {
			order, found := planner.Decide(origin.Add(elapsed), waiting, objective)
			if !found {
				continue
			}
			ordered++
			for i := range waiting {
				waiting[i].Changing = waiting[i].Changing || waiting[i].ID == order.Worker
			}
			most = max(most, changing(waiting))
		}
		if ordered != want || most != want {
			t.Errorf("%d engines: %d ordered, %d changing at once, want %d", size, ordered, most, want)
		}
	}
}

func TestOneOrderAtATime(t *testing.T) {
	changing := fleet(5, 4, func(w *Worker) {
		w.Usable = w.Prefill
		w.Changing = w.ID == "w00"
	})
	if order, _, found := after(t, time.Minute, changing); found {
		t.Errorf("%+v", order)
	}
}

// TestOrdersAreFew: whatever the load does, orders for load keep their distance, and
// an order never takes the last engines of a stage.
func TestOrdersAreFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := fleet(4, 5, nil)
		planner := New(DefaultPolicy())
		var last time.Time
		for step := range 200 {
			now := origin.Add(time.Duration(step) * tick)
			tokens := rapid.IntRange(0, 60_000).Draw(t, "tokens")
			for i := range workers {
				workers[i].ReadTokens, workers[i].MemoryTokens = tokens, 6*tokens
			}
			order, found := planner.Decide(now, workers, objective)
			if !found {
				continue
			}
			if !last.IsZero() && now.Sub(last) < DefaultPolicy().Settle {
				t.Fatalf("orders at %v and %v", last, now)
			}
			last = now
			prefill := 0
			for i := range workers {
				if workers[i].ID == order.Worker {
					workers[i].Prefill = order.Prefill
				}
				if workers[i].Prefill {
					prefill++
				}
			}
			if prefill < 1 || len(workers)-prefill < 2 {
				t.Fatalf("%d prefill workers of %d", prefill, len(workers))
			}
		}
	})
}

// TestOrdersForLoadLeaveAReserve: the loss of one decode engine right after an order
// for load needs no order back.
func TestOrdersForLoadLeaveAReserve(t *testing.T) {
	for size := 4; size <= 64; size++ {
		for decode := 2; decode < size; decode++ {
			waiting := fleet(size-decode, decode, func(w *Worker) { w.ReadTokens = 50_000 })
			order, _, found := after(t, 500*time.Millisecond, waiting)
			if !found || !order.Prefill {
				continue
			}
			if left := float64(decode - 1); left < 0.4*float64(size) {
				t.Errorf("of %d engines %v are left writing", size, left)
			}
		}
	}
}
