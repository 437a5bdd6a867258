package stageplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// regionalFleet returns the same number of engines for each region.
func regionalFleet(prefill, decode int, regions ...string) []Worker {
	var workers []Worker
	for _, region := range regions {
		workers = append(workers, fleet(prefill, decode, func(w *Worker) {
			w.ID, w.Region = region+"-"+w.ID, region
		})...)
	}
	return workers
}

func hearsAll(string) bool { return true }

// ordersWithin lets a planner observe the same engines and load for a while and returns all
// orders, without carrying them out.
func ordersWithin(planner *RegionalPlanner, span time.Duration, workers []Worker, offered map[string]OfferedLoad, heard func(string) bool) []Order {
	var orders []Order
	for elapsed := time.Duration(0); elapsed <= span; elapsed += tick {
		orders = append(orders, planner.Decide(origin.Add(elapsed), workers, offered, heard)...)
	}
	return orders
}

// TestEachRegionIsDividedByItsOwnDemand: prompts in one region don't change engines in another.
func TestEachRegionIsDividedByItsOwnDemand(t *testing.T) {
	workers := regionalFleet(4, 8, "north", "south")
	planner := NewRegionalPlanner(DefaultPolicy())
	offered := map[string]OfferedLoad{"north": {ReadTokens: 5 * enginePace}, "south": {Requests: 8 * 60}}
	for elapsed := time.Duration(0); elapsed <= time.Minute; elapsed += tick {
		carryOut(workers, planner.Decide(origin.Add(elapsed), workers, offered, hearsAll), false)
	}
	regions := byRegion(workers)
	if north := len(divide(regions["north"]).prefill); north < 8 {
		t.Errorf("%d prefill engines in the region with prompts, want 8 or more", north)
	}
	if south := len(divide(regions["south"]).prefill); south > 4 {
		t.Errorf("%d prefill engines in the region with streams, want 4 or fewer", south)
	}
}

// TestOneRegionIsPlannedAsWithoutRegions: a deployment in one region gets the same orders as
// from a Planner, which knows no regions.
func TestOneRegionIsPlannedAsWithoutRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, regional := New(DefaultPolicy()), NewRegionalPlanner(DefaultPolicy())
		workers := fleet(4, 5, nil)
		for step := range 60 {
			now := origin.Add(time.Duration(step) * tick)
			offered := OfferedLoad{ReadTokens: rapid.Float64Range(0, 20*enginePace).Draw(t, "tokens")}
			want := plain.Decide(now, workers, offered)
			got := regional.Decide(now, workers, map[string]OfferedLoad{"": offered}, hearsAll)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("step %d: %v, want %v", step, got, want)
			}
			carryOut(workers, want, false)
		}
	})
}

// TestOrdersTogetherAreBoundedOverAllRegions: four regions of eight engines that all need
// prefill engines get no more orders than one region of 32, and every region gets some.
func TestOrdersTogetherAreBoundedOverAllRegions(t *testing.T) {
	regions := []string{"east", "north", "south", "west"}
	workers := regionalFleet(3, 5, regions...)
	offered := make(map[string]OfferedLoad)
	for _, region := range regions {
		offered[region] = OfferedLoad{ReadTokens: 8 * enginePace}
	}
	planner := NewRegionalPlanner(DefaultPolicy())
	served := make(map[string]bool)
	most := DefaultPolicy().maxChanging(len(workers))
	if most >= len(workers)/2 || most <= 1 {
		t.Fatalf("the test needs a limit between 1 and half the engines, got %d", most)
	}
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += tick {
		if int(elapsed/tick)%4 == 0 {
			for i := range workers {
				workers[i].Changing = false
			}
		}
		orders := planner.Decide(origin.Add(elapsed), workers, offered, hearsAll)
		for _, order := range orders {
			served[order.Region] = true
		}
		carryOut(workers, orders, true)
		if count := countChanging(workers); count > most {
			t.Fatalf("%d engines change at once, want at most %d", count, most)
		}
	}
	if len(served) != len(regions) {
		t.Errorf("only these regions got orders: %v", served)
	}
}

// TestUnansweredOrdersDontStopARegion: engines whose order was not answered count as changing
// for a long time, and the region may need prefill engines meanwhile.
func TestUnansweredOrdersDontStopARegion(t *testing.T) {
	workers := regionalFleet(3, 9, "east", "north", "south")
	unanswered := 0
	for i := range workers {
		if workers[i].Region == "south" && workers[i].Prefill && unanswered < 2 {
			workers[i].Changing, workers[i].Usable = true, false
			unanswered++
		}
	}
	offered := map[string]OfferedLoad{"south": {ReadTokens: 8 * enginePace}}
	ordered := make(map[string]int)
	for _, order := range ordersWithin(NewRegionalPlanner(DefaultPolicy()), time.Second, workers, offered, hearsAll) {
		ordered[order.Region]++
	}
	if ordered["south"] == 0 {
		t.Errorf("no orders for the region with prompts; orders by region: %v", ordered)
	}
}

// TestRegionsTakeTurnsForOrders if only one engine of the whole service may change at a time.
func TestRegionsTakeTurnsForOrders(t *testing.T) {
	workers := regionalFleet(1, 2, "north", "south")
	for i := range workers {
		workers[i].Prefill = true // no decode engine anywhere
	}
	planner := NewRegionalPlanner(DefaultPolicy())
	var regions []string
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += tick {
		orders := planner.Decide(origin.Add(elapsed), workers, nil, hearsAll)
		if len(orders) > 1 {
			t.Fatalf("%d orders at once", len(orders))
		}
		for _, order := range orders {
			regions = append(regions, order.Region)
		}
	}
	if len(regions) < 2 || regions[0] == regions[1] {
		t.Errorf("orders went to the regions %v, want alternating ones", regions)
	}
}

// TestRegionThatLostAllItsEngines: the load offered to it counts for the engines of the other
// regions.
func TestRegionThatLostAllItsEngines(t *testing.T) {
	workers := regionalFleet(3, 9, "north", "south")
	for i := range workers {
		workers[i].Usable = workers[i].Region != "south"
	}
	offered := map[string]OfferedLoad{"south": {ReadTokens: 4 * enginePace}}
	orders := ordersWithin(NewRegionalPlanner(DefaultPolicy()), 5*time.Second, workers, offered, hearsAll)
	if len(orders) == 0 {
		t.Fatal("no orders for the load of the region that lost its engines")
	}
	for _, order := range orders {
		if order.Region != "north" || !order.Prefill {
			t.Errorf("%+v", order)
		}
	}
}

// TestUnreachableRegionGetsNoOrders: nothing is known of its callers and nodes, so its engines
// must not be considered idle. Its demand does not decay until it can be reached again.
func TestUnreachableRegionGetsNoOrders(t *testing.T) {
	workers := regionalFleet(3, 9, "north", "south")
	planner := NewRegionalPlanner(DefaultPolicy())
	busy := map[string]OfferedLoad{"south": {Requests: 9 * 60 * 0.95}}
	if orders := ordersWithin(planner, 10*time.Second, workers, busy, hearsAll); len(orders) > 0 && orders[0].Prefill && orders[0].Region == "south" {
		t.Fatalf("%+v", orders)
	}
	needed := planner.Planner("south").Demand().DecodeEngines
	for elapsed := 10 * time.Second; elapsed < 70*time.Second; elapsed += tick {
		now := origin.Add(elapsed)
		for _, order := range planner.Decide(now, workers, nil, func(region string) bool { return region != "south" }) {
			if order.Region == "south" {
				t.Fatalf("after %v: %+v", elapsed, order)
			}
		}
	}
	planner.Decide(origin.Add(70*time.Second), workers, nil, hearsAll)
	if left := planner.Planner("south").Demand().DecodeEngines; left < 0.9*needed {
		t.Errorf("of a demand for %.1f engines only %.1f is left", needed, left)
	}
}

// TestRegionWithoutNodesIsPlannedByOfferedLoad, as nodes of other regions report it.
func TestRegionWithoutNodesIsPlannedByOfferedLoad(t *testing.T) {
	workers := regionalFleet(3, 9, "north", "south")
	offered := map[string]OfferedLoad{"south": {ReadTokens: 4 * enginePace}}
	orders := ordersWithin(NewRegionalPlanner(DefaultPolicy()), 5*time.Second, workers, offered, func(region string) bool { return region == "north" })
	if len(orders) == 0 || orders[0].Region != "south" || !orders[0].Prefill {
		t.Errorf("%+v", orders)
	}
}
