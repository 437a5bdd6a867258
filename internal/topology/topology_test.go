package topology

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDistances(t *testing.T) {
	m := New("north-a", map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
	for zone, want := range map[string]Distance{"north-a": SameZone, "north-b": SameRegion, "south-a": OtherRegion} {
		if got := m.DistanceTo(zone); got != want {
			t.Errorf("distance to %s is %v, want %v", zone, got, want)
		}
	}
	if !m.MultiRegion() || m.OwnRegion() != "north" {
		t.Errorf("multi-region %v, own region %q", m.MultiRegion(), m.OwnRegion())
	}
	if diff := cmp.Diff([]string{"north", "south"}, m.Regions()); diff != "" {
		t.Error(diff)
	}
}

func TestZonesWithoutRegionsFormOneRegion(t *testing.T) {
	m := New("a", nil)
	if m.MultiRegion() || m.DistanceTo("b") != SameRegion || m.DistanceTo("a") != SameZone {
		t.Errorf("multi-region %v, distance to b %v", m.MultiRegion(), m.DistanceTo("b"))
	}
}

// TestSingleNamedRegionCountsAsNone checks that in a deployment with a single named region a
// zone that the settings do not name is as near as the others.
func TestSingleNamedRegionCountsAsNone(t *testing.T) {
	m := New("a", map[string]string{"a": "north", "b": "north"})
	if m.MultiRegion() || m.DistanceTo("b") != SameRegion || m.DistanceTo("c") != SameRegion || m.OwnRegion() != "" || m.Region("b") != m.Region("c") {
		t.Errorf("multi-region %v, distance to b %v, to c %v, regions %q and %q", m.MultiRegion(), m.DistanceTo("b"), m.DistanceTo("c"), m.Region("b"), m.Region("c"))
	}
}
