// Package topology tells how far apart the places of a deployment are: zones near each
// other form a region. It is pure.
package topology

import (
	"maps"
	"slices"
)

// Distance is how far apart two places are.
type Distance int

// The distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// String names the distance in logs and metrics.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	}
	return "far"
}

// Map holds the zones of a deployment by region, as seen from one of them. The zero Map
// is of a deployment in one region.
type Map struct {
	zone    string
	regions map[string]string
	// names are the regions in order.
	names []string
}

// New returns the map of a node in a zone, given the region of each zone. Zones without
// one lie together in a region without a name, and so do all zones where only one region is
// named.
func New(zone string, regions map[string]string) Map {
	names := slices.Compact(slices.Sorted(maps.Values(regions)))
	if len(names) < 2 {
		return Map{zone: zone}
	}
	return Map{zone: zone, regions: regions, names: names}
}

// Zone is the zone from which the map is seen.
func (m Map) Zone() string { return m.zone }

// OwnRegion is the region from which the map is seen, empty in a deployment in one region.
func (m Map) OwnRegion() string { return m.regions[m.zone] }

// Region is that of a zone, empty where none is known.
func (m Map) Region(zone string) string { return m.regions[zone] }

// Regions lists the regions in order of their names, none in a deployment in one region.
func (m Map) Regions() []string { return m.names }

// MultiRegion reports whether the deployment lies in more than one region.
func (m Map) MultiRegion() bool { return len(m.names) > 1 }

// Between is the distance of two zones.
func (m Map) Between(one, other string) Distance {
	switch {
	case one == other:
		return SameZone
	case m.regions[one] == m.regions[other]:
		return SameRegion
	}
	return OtherRegion
}

// DistanceTo is the distance to a zone.
func (m Map) DistanceTo(zone string) Distance { return m.Between(m.zone, zone) }
