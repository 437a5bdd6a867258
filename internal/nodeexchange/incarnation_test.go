package nodeexchange

import (
	"fmt"
	"testing"
	"time"
)

// TestEarlierBuildLeavesTheDutiesToThisOne guards against a supervisor of an earlier build that
// records usage anew while one of this build is present, and so reports a window twice.
func TestEarlierBuildLeavesTheDutiesToThisOne(t *testing.T) {
	f := newUsageFleet(t)
	// The lowest and the highest incarnation that an earlier build may have.
	earlier := []*usageNode{f.start("000000000000"), f.start("ffffffffffff")}
	awaitDesignated(t, earlier[0], true)
	for range 3 {
		name := NewIncarnation()
		later := f.start(name)
		awaitDesignated(t, later, true)
		for _, node := range earlier {
			awaitDesignated(t, node, false)
		}
		f.end(name)
	}
	awaitDesignated(t, earlier[0], true)
}

// TestEarlierBuildActsWhereThisOneSteppedBack guards against duties that nobody carries out
// since no supervisor of this build reaches the store.
func TestEarlierBuildActsWhereThisOneSteppedBack(t *testing.T) {
	f := newUsageFleet(t)
	later, earlier := f.start(NewIncarnation()), f.start("000000000000")
	awaitDesignated(t, earlier, false)
	later.StepBack(time.Minute)
	awaitDesignated(t, earlier, true)
}

func awaitDesignated(t *testing.T, node *usageNode, want bool) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("%s is designated: %v", node.node, want), func() bool { return node.Designated() == want })
}
