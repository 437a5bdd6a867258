package stageplan

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// fillingCaches offers prompts of which three quarters are shared, and of these the part that
// isn't held yet falls with a time constant from share to held.
type fillingCaches struct {
	tokens      float64 // asked per second
	share, held float64
	constant    time.Duration
}

func (c fillingCaches) at(elapsed time.Duration) OfferedLoad {
	shared := 0.75 * c.tokens
	unread := shared * max(c.share*math.Exp(-float64(elapsed)/float64(c.constant)), c.held)
	return OfferedLoad{ReadTokens: c.tokens - shared + unread, SharedTokens: shared, SharedUnread: unread}
}

// ordersUnder lets a planner follow a load and carries its orders out at once.
func ordersUnder(planner *Planner, workers []Worker, load func(time.Duration) OfferedLoad, span time.Duration) (orders []Order, at []time.Duration) {
	for elapsed := time.Duration(0); elapsed < span; elapsed += tick {
		for _, order := range planner.Decide(origin.Add(elapsed), workers, load(elapsed)) {
			carryOut(workers, []Order{order}, false)
			orders, at = append(orders, order), append(at, elapsed)
		}
	}
	return orders, at
}

var loadedCaches = ColdStart{Selected: true, Switch: testSwitch}

// TestColdPeakThatEndsBeforeEnginesAreBackGetsNone: engines that would be back when the caches
// are filled are left where they are; the same load that lasts, or grows, gets them.
func TestColdPeakThatEndsBeforeEnginesAreBackGetsNone(t *testing.T) {
	const engines = 12
	for name, test := range map[string]struct {
		cold ColdStart
		load fillingCaches
		span time.Duration
		want bool
	}{
		"over in two seconds":              {loadedCaches, fillingCaches{8 * enginePace, 1, 0.05, 2 * time.Second}, 4 * time.Second, false},
		"over in two seconds, not planned": {ColdStart{}, fillingCaches{8 * enginePace, 1, 0.05, 2 * time.Second}, 4 * time.Second, true},
		"over in a minute":                 {loadedCaches, fillingCaches{8 * enginePace, 1, 0.05, time.Minute}, 10 * time.Second, true},
		"never read twice":                 {loadedCaches, fillingCaches{8 * enginePace, 1, 1, time.Minute}, 10 * time.Second, true},
		"warm and too many":                {loadedCaches, fillingCaches{18 * enginePace, 0.05, 0.05, time.Minute}, 10 * time.Second, true},
	} {
		planner := preparingPlanner(test.cold)
		orders, _ := ordersUnder(planner, fleet(6, engines-6, withDecodeRequests(20)), test.load.at, test.span)
		if (len(orders) > 0) != test.want || len(orders) > 0 && !orders[0].Prefill {
			t.Errorf("%s: orders %+v, wanted: %v", name, orders, test.want)
		}
		if wantCold := test.cold.Selected && test.load.share >= coldFrom; (planner.ColdState().Phase == Cold) != wantCold {
			t.Errorf("%s: phase %s", name, planner.ColdState().Phase)
		}
	}
}

// TestColdPhaseGetsNoOrderBeforeItsEndIsForeseen: how fast caches fill isn't known in the first
// moments.
func TestColdPhaseGetsNoOrderBeforeItsEndIsForeseen(t *testing.T) {
	load := fillingCaches{12 * enginePace, 1, 0.05, time.Minute}
	_, at := ordersUnder(preparingPlanner(loadedCaches), fleet(4, 8, nil), load.at, 10*time.Second)
	if len(at) == 0 || at[0] < DefaultPolicy().Learn {
		t.Errorf("orders at %v, want the first after %v", at, DefaultPolicy().Learn)
	}
}

// TestStageWithoutEnginesGetsSomeInAColdPhase: a stage that has lost nearly all its engines
// doesn't wait for the end of the phase.
func TestStageWithoutEnginesGetsSomeInAColdPhase(t *testing.T) {
	load := fillingCaches{4 * enginePace, 1, 0.05, time.Second}
	noDecode := fleet(8, 4, func(w *Worker) { w.Usable = w.Prefill || w.ID == "w08" })
	if orders, _ := ordersUnder(preparingPlanner(loadedCaches), noDecode, load.at, 4*time.Second); len(orders) == 0 || orders[0].Prefill {
		t.Errorf("orders %+v, want engines that decode", orders)
	}
	noPrefill := fleet(4, 8, func(w *Worker) { w.Usable = !w.Prefill })
	if orders, _ := ordersUnder(preparingPlanner(loadedCaches), noPrefill, load.at, 4*time.Second); len(orders) == 0 || !orders[0].Prefill {
		t.Errorf("orders %+v, want engines that prefill", orders)
	}
}

// TestColdPeakIsForgotten: the peak of a cold phase isn't planned for once caches are filled,
// and the division doesn't swing back and forth.
func TestColdPeakIsForgotten(t *testing.T) {
	load := fillingCaches{6 * enginePace, 1, 0.05, 2 * time.Second}
	planner := preparingPlanner(loadedCaches)
	orders, _ := ordersUnder(planner, fleet(9, 3, withDecodeRequests(20)), load.at, time.Minute)
	if len(orders) > 0 {
		t.Errorf("%+v", orders)
	}
	if state := planner.ColdState(); state.Phase != Warm || state.Lasting != 1 {
		t.Errorf("%+v", state)
	}
}

// TestPhaseIsColdAgainWhenEnginesAreReplaced, with a forecast of its own, and it ends once.
func TestPhaseIsColdAgainWhenEnginesAreReplaced(t *testing.T) {
	load := fillingCaches{6 * enginePace, 1, 0.05, 2 * time.Second}
	planner, workers := preparingPlanner(loadedCaches), fleet(9, 3, withDecodeRequests(20))
	var phases []ColdPhase
	for elapsed := time.Duration(0); elapsed < 60*time.Second; elapsed += tick {
		since := elapsed
		if elapsed >= 30*time.Second {
			since -= 30 * time.Second
		}
		planner.Decide(origin.Add(elapsed), workers, load.at(since))
		if phase := planner.ColdState().Phase; len(phases) == 0 || phases[len(phases)-1] != phase {
			phases = append(phases, phase)
		}
	}
	if diff := cmp.Diff([]ColdPhase{Cold, Warm, Cold, Warm}, phases); diff != "" {
		t.Error(diff)
	}
}

// TestForecastFollowsTheDecline within a tenth, and stays a share under any load.
func TestForecastFollowsTheDecline(t *testing.T) {
	load := fillingCaches{6 * enginePace, 1, 0, 4 * time.Second}
	var caches coldCaches
	for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += tick {
		caches.observe(origin.Add(elapsed), load.at(elapsed), DefaultPolicy().Smoothing)
		got, known := caches.lasting(origin.Add(elapsed), testSwitch, DefaultPolicy().Learn)
		if want := load.at(elapsed+testSwitch).ReadTokens / load.at(elapsed).ReadTokens; known && math.Abs(got-want) > 0.1 {
			t.Errorf("after %v: %.2f of the reading is left after a change, want %.2f", elapsed, got, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		var caches coldCaches
		figure := rapid.Float64Range(0, 1e7)
		for step := range 40 {
			now := origin.Add(time.Duration(step) * tick)
			caches.observe(now, OfferedLoad{
				ReadTokens: figure.Draw(t, "read"), SharedTokens: figure.Draw(t, "shared"), SharedUnread: figure.Draw(t, "unread"),
			}, DefaultPolicy().Smoothing)
			if share, _ := caches.lasting(now, testSwitch, DefaultPolicy().Learn); !(share >= 0 && share <= 1) {
				t.Fatalf("%v of the reading is left", share)
			}
		}
	})
}

// TestPlanIsAsBeforeWhereColdStartIsOff: what is known of caches and speeds changes nothing
// there.
func TestPlanIsAsBeforeWhereColdStartIsOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := fleet(4, 8, nil)
		told := fleet(4, 8, slowEvery(3))
		before, off := New(DefaultPolicy()), preparingPlanner(ColdStart{Empty: true, Switch: testSwitch})
		for step := range 80 {
			now := origin.Add(time.Duration(step) * tick)
			offered := OfferedLoad{ReadTokens: rapid.Float64Range(0, 20*enginePace).Draw(t, "read"), Requests: rapid.Float64Range(0, 900).Draw(t, "requests")}
			want := before.Decide(now, plain, offered)
			offered.SharedTokens, offered.SharedUnread = offered.ReadTokens, 0.9*offered.ReadTokens
			got := off.Decide(now, told, offered)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatal(diff)
			}
			carryOut(plain, want, false)
			carryOut(told, got, false)
		}
	})
}

// TestFasterEnginesChangeFirst among those with the same load, where speeds are known.
func TestFasterEnginesChangeFirst(t *testing.T) {
	d := divide(fleet(5, 7, func(w *Worker) { w.Slowdown = slowIf(w.ID != "w03" && w.ID != "w08") }))
	planner := preparingPlanner(loadedCaches)
	if first := planner.leastLoaded(d.prefill, 1)[0]; first.ID != "w03" {
		t.Errorf("%s changes to decode first, want the fast engine", first.ID)
	}
	if first := planner.leastLoaded(d.decode, 1)[0]; first.ID != "w08" {
		t.Errorf("%s changes to prefill first, want the fast engine", first.ID)
	}
	d.decode[3].MemoryTokens = 10
	if last := planner.leastLoaded(d.decode, 7)[6]; last.ID != "w08" {
		t.Errorf("%s changes last, want the loaded engine", last.ID)
	}
}
