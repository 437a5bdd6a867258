// Package topology tells how far apart the zones of a deployment are. Zones that are near each
// other form a region. The package is pure.
package topology

import (
	"maps"
	"slices"
)

// Distance is how far apart two zones are.
type Distance int

// Values of Distance, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// String names the distance in logs and metrics: zone and region mean the same zone and the
// same region, and far means another region.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	}
	return "far"
}

// Map holds the region of each zone, as seen from one node's zone. The zero Map is that of a
// deployment with a single region.
type Map struct {
	zone    string
	regions map[string]string
	// names are the sorted names of the regions.
	names []string
}

// New returns the map of a node in a zone, given the region of each zone. Zones without a
// region form an unnamed region together. If only one region is named, all zones form the
// unnamed one.
func New(zone string, regions map[string]string) Map {
	names := slices.Compact(slices.Sorted(maps.Values(regions)))
	if len(names) < 2 {
		return Map{zone: zone}
	}
	return Map{zone: zone, regions: regions, names: names}
}

// Zone returns the node's own zone.
func (m Map) Zone() string { return m.zone }

// OwnRegion returns the node's own region, empty in a deployment with a single region.
func (m Map) OwnRegion() string { return m.regions[m.zone] }

// Region returns the region of a zone, empty if none is known.
func (m Map) Region(zone string) string { return m.regions[zone] }

// Regions returns the sorted names of the regions, none in a deployment with a single region.
func (m Map) Regions() []string { return m.names }

// MultiRegion reports whether the deployment has more than one region.
func (m Map) MultiRegion() bool { return len(m.names) > 1 }

// Between returns the distance of two zones.
func (m Map) Between(one, other string) Distance {
	switch {
	case one == other:
		return SameZone
	case m.regions[one] == m.regions[other]:
		return SameRegion
	}
	return OtherRegion
}

// DistanceTo returns the distance from the node's zone to another one.
func (m Map) DistanceTo(zone string) Distance { return m.Between(m.zone, zone) }
