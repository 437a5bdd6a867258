package worker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/topology"
)

var demandStart = time.Unix(1000, 0)

func regionalRegistry() *Registry {
	return NewRegistry(topology.New("north-a", map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}))
}

// TestDemandCountsInTheRegionThatServesIt checks that prompts count in the region that reads
// them, running requests in the region of their engine, and prompts without a planned region in
// the node's own.
func TestDemandCountsInTheRegionThatServesIt(t *testing.T) {
	r := regionalRegistry()
	r.ReplaceAt([]Worker{{ID: "n", Service: "s", Zone: "north-b", Stage: Decode}, {ID: "s", Service: "s", Zone: "south-a", Stage: Decode}}, demandStart)
	r.ObserveDemand("s", "south", 300, demandStart)
	r.ObserveDemand("s", "", 100, demandStart)
	r.Begin("s", Load{Requests: 1, MemoryTokens: 50})
	want := map[string]Demand{
		"north": {ReadTokens: 100},
		"south": {ReadTokens: 300, Requests: 1, MemoryTokens: 50},
	}
	if diff := cmp.Diff(want, r.Demands("s", demandStart)); diff != "" {
		t.Error(diff)
	}
	if r.Idle("s", demandStart) {
		t.Error("a service with demand in another region counts as idle")
	}
}

// TestDemandHasNoRegionWithOneRegion checks that nodes of a deployment with one region tell
// each other demand without a region.
func TestDemandHasNoRegionWithOneRegion(t *testing.T) {
	r := NewRegistry(topology.New("a", map[string]string{"a": "only", "b": "only"}))
	r.ObserveDemand("s", "only", 300, time.Now())
	if got := r.Demands("s", time.Now()); len(got) != 1 || got[""].ReadTokens == 0 {
		t.Errorf("demand %v", got)
	}
	if told := r.Snapshot(); told.Demand["s"].ReadTokens == 0 || told.RegionDemand != nil {
		t.Errorf("demand %v, by region %v", told.Demand, told.RegionDemand)
	}
}

// TestRemoteDemandCountsByRegionUntilItExpires checks that the demand of another node counts
// for DemandLife after its message.
func TestRemoteDemandCountsByRegionUntilItExpires(t *testing.T) {
	teller, r := regionalRegistry(), regionalRegistry()
	teller.ObserveDemand("s", "south", 300, time.Now())
	told := teller.Snapshot()
	told.DemandLife = 5 * time.Second
	r.Merge("teller", told, demandStart)
	for _, now := range []time.Time{demandStart, demandStart.Add(told.DemandLife)} {
		if got := r.Demands("s", now); got["south"].ReadTokens == 0 || got["north"].ReadTokens != 0 {
			t.Errorf("demand %v", got)
		}
	}
	if got := r.Demands("s", demandStart.Add(told.DemandLife+1)); !got["south"].Zero() {
		t.Errorf("the demand of a silent node still counts: %v", got)
	}
}

// TestEnginesHaveNoRegionWithOneRegion checks that all engines of a deployment with one region
// are planned together.
func TestEnginesHaveNoRegionWithOneRegion(t *testing.T) {
	r := NewRegistry(topology.New("a", map[string]string{"a": "only", "b": "only"}))
	r.ReplaceAt([]Worker{{ID: "w", Service: "s", Zone: "b", Stage: Decode}}, demandStart)
	if engine := r.Engines("s", demandStart)[0]; engine.Region != "" || r.RegionOfZone("a") != "" {
		t.Errorf("engine %+v has a region, or the zone has", engine)
	}
	if got := regionalRegistry().RegionOfZone("south-a"); got != "south" {
		t.Errorf("region %q", got)
	}
}
