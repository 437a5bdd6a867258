package topology

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDistances(t *testing.T) {
	m := New("north-a", map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
	for zone, want := range map[string]Distance{"north-a": SameZone, "north-b": SameRegion, "south-a": OtherRegion} {
		if got := m.To(zone); got != want {
			t.Errorf("distance to %s is %v, want %v", zone, got, want)
		}
	}
	if !m.Several() || m.Own() != "north" {
		t.Errorf("several %v, own region %q", m.Several(), m.Own())
	}
	if diff := cmp.Diff([]string{"north", "south"}, m.Regions()); diff != "" {
		t.Error(diff)
	}
}

func TestZonesWithoutRegionsLieTogether(t *testing.T) {
	m := New("a", nil)
	if m.Several() || m.To("b") != SameRegion || m.To("a") != SameZone {
		t.Errorf("several %v, to b %v", m.Several(), m.To("b"))
	}
}

// TestOneRegionIsNone: a zone that the settings don't name is as near as the others.
func TestOneRegionIsNone(t *testing.T) {
	m := New("a", map[string]string{"a": "north", "b": "north"})
	if m.Several() || m.To("b") != SameRegion || m.To("c") != SameRegion || m.Own() != "" || m.Region("b") != m.Region("c") {
		t.Errorf("several %v, to b %v, to c %v, regions %q and %q", m.Several(), m.To("b"), m.To("c"), m.Region("b"), m.Region("c"))
	}
}
