package fleet

import (
	"fmt"
	"testing"

	"github.com/tinarch/tinarch/internal/catalog"
)

func namedEngines(count int) []Engine {
	list := make([]Engine, count)
	for i := range list {
		list[i].Name = fmt.Sprintf("engine-%02d", i)
	}
	return list
}

func TestAssignSplitsByShare(t *testing.T) {
	demands := []catalog.Demand{{Model: "a", Version: "1", Share: 3}, {Model: "b", Version: "1", Share: 1}}
	counts := map[string]int{}
	for _, deployment := range Assign(namedEngines(10), demands) {
		counts[deployment.Model]++
	}
	if counts["a"] != 7 || counts["b"] != 3 {
		t.Errorf("assigned %v, want 7 and 3", counts)
	}
}

func TestAssignMovesFewEngines(t *testing.T) {
	list := namedEngines(9)
	before := []catalog.Demand{{Model: "a", Version: "1", Share: 1}}
	first := Assign(list, before)
	for i := range list {
		list[i].Serving = first[list[i].Name]
	}
	after := append(before, catalog.Demand{Model: "b", Version: "1", Share: 1})
	moved := 0
	for _, deployment := range Assign(list, after) {
		if deployment.Model == "b" {
			moved++
		}
	}
	if moved != 4 && moved != 5 {
		t.Errorf("%d of 9 engines moved, want 4 or 5", moved)
	}
}

func TestAssignWithFewerEnginesThanDemands(t *testing.T) {
	demands := []catalog.Demand{{Model: "a", Version: "1", Share: 1}, {Model: "b", Version: "1", Share: 1}}
	if got := Assign(namedEngines(1), demands); len(got) != 1 {
		t.Errorf("assigned %v, want one engine", got)
	}
}
