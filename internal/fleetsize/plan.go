// Package fleetsize decides how many workers of which price stand in which zone, where
// the platform lets a service's workers be ordered. It weighs the price of one more or
// one less of each kind against the requests that would be served in time, with the loss
// of all of a zone's workers that may be taken away in the sum. Planning is pure: time is
// an argument; Controller gives the orders. docs/design/fleet-size.md tells what was
// weighed.
package fleetsize

import (
	"cmp"
	"math"
	"slices"

	"github.com/tinarch/tinarch/internal/routing"
)

// Kind is workers that are ordered together.
type Kind struct {
	Zone string
	// Spot workers are cheaper and may be taken away, all of a zone at once.
	Spot bool
}

// compareKinds orders kinds by zone, and those that stay first.
func compareKinds(a, b Kind) int {
	if a.Zone != b.Zone {
		return cmp.Compare(a.Zone, b.Zone)
	}
	switch {
	case a.Spot == b.Spot:
		return 0
	case b.Spot:
		return -1
	}
	return 1
}

// priceOf is the price of a second of a worker of a kind.
func priceOf(terms *routing.Scaling, kind Kind) float64 {
	if kind.Spot {
		return terms.ZonePrices[kind.Zone] * terms.SpotPrice
	}
	return terms.ZonePrices[kind.Zone]
}

// kindsOf are those that may be ordered, in a fixed order.
func kindsOf(terms *routing.Scaling) []Kind {
	var kinds []Kind
	for zone := range terms.ZonePrices {
		kinds = append(kinds, Kind{Zone: zone})
		if terms.SpotPrice > 0 {
			kinds = append(kinds, Kind{Zone: zone, Spot: true})
		}
	}
	slices.SortFunc(kinds, compareKinds)
	return kinds
}

// Policy are the figures of the planner.
type Policy struct {
	// Elasticity is the power by which the requests that come late fall as workers are
	// added: with twice as many workers, 2^Elasticity times fewer.
	Elasticity float64
	// Absence is the share of the time for which the spot workers of some zone are away,
	// for each second that a new one takes to boot, besides AbsenceBase.
	AbsenceBase, AbsencePerSecond float64
	// Gain is the part of the whole cost that a change must promise to save.
	Gain float64
}

// DefaultPolicy returns the figures measured so far; docs/design/fleet-size.md tells how.
func DefaultPolicy() Policy {
	return Policy{Elasticity: 2, AbsenceBase: 0.2, AbsencePerSecond: 0.02, Gain: 0.04}
}

// Observed is what is known of a service's work.
type Observed struct {
	// Lost is the worth of requests that come late or are refused in a second for want of
	// workers, in the unit of prices, while Workers stood.
	Lost    float64 `json:"lost"`
	Workers float64 `json:"workers"`
}

// Counts are workers by kind.
type Counts map[Kind]int

// total counts the workers of all kinds.
func (c Counts) total() int {
	sum := 0
	for _, count := range c {
		sum += count
	}
	return sum
}

func (c Counts) inZone(zone string) int { return c[Kind{Zone: zone}] + c[Kind{Zone: zone, Spot: true}] }

// Prior is what is known before any request has come: that the operators' fleet is right
// at the prices of workers that stay. There, one more worker is worth its price.
func (p Policy) Prior(terms *routing.Scaling, standing Counts) Observed {
	workers, price := 0.0, 0.0
	for kind, count := range standing {
		workers += float64(count)
		price += float64(count) * terms.ZonePrices[kind.Zone]
	}
	return Observed{Lost: price / p.Elasticity, Workers: workers}
}

// fleet is a plan in the making.
type fleet struct {
	policy   Policy
	terms    *routing.Scaling
	observed Observed
	counts   Counts
}

// lost is the worth that is lost in a second with a number of workers.
func (f *fleet) lost(workers int) float64 {
	return f.observed.Lost * math.Pow(f.observed.Workers/math.Max(float64(workers), 1), f.policy.Elasticity)
}

// cost is the price of all workers and the worth that is lost, as an expectation over the
// zones whose spot workers may be away.
func (f *fleet) cost() float64 {
	total := f.counts.total()
	absence := min(f.policy.AbsenceBase+f.policy.AbsencePerSecond*f.terms.Boot.Seconds(), 1)
	zones := float64(len(f.terms.ZonePrices))
	expected := (1 - absence) * f.lost(total)
	for zone := range f.terms.ZonePrices {
		expected += absence / zones * f.lost(total-f.counts[Kind{Zone: zone, Spot: true}])
	}
	return priceOfAll(f.terms, f.counts) + expected
}

// with returns the cost with workers of a kind added, infinite where they may not be.
func (f *fleet) with(kind Kind, count int) float64 {
	after := f.counts.inZone(kind.Zone) + count
	if f.counts[kind]+count < 0 || after < f.terms.Min || after > f.terms.Max {
		return math.Inf(1)
	}
	f.counts[kind] += count
	defer func() { f.counts[kind] -= count }()
	return f.cost()
}

// Plan returns the workers of each kind that cost least, all in all. Kinds that are not to
// be had keep at most what stands.
func (p Policy) Plan(terms *routing.Scaling, observed Observed, standing Counts, unavailable map[Kind]bool) Counts {
	f := &fleet{policy: p, terms: terms, observed: observed, counts: make(Counts)}
	kinds := kindsOf(terms)
	for zone := range terms.ZonePrices {
		f.counts[Kind{Zone: zone}] = terms.Min
	}
	for f.improve(kinds, standing, unavailable) {
	}
	return f.counts
}

// improve adds the worker that saves most, or puts one in place of another.
func (f *fleet) improve(kinds []Kind, standing Counts, unavailable map[Kind]bool) bool {
	best, add, drop := f.cost()-leastSaved, Kind{}, Kind{}
	found, replaces := false, false
	for _, kind := range kinds {
		if unavailable[kind] && f.counts[kind] >= standing[kind] {
			continue
		}
		if cost := f.with(kind, 1); cost < best {
			best, add, found, replaces = cost, kind, true, false
		}
		for _, other := range kinds {
			if other == kind || f.counts[other] == 0 {
				continue
			}
			if cost := f.swapped(kind, other); cost < best {
				best, add, drop, found, replaces = cost, kind, other, true, true
			}
		}
	}
	if !found {
		return false
	}
	f.counts[add]++
	if replaces {
		f.counts[drop]--
	}
	return true
}

// leastSaved ends the search where steps save next to nothing, in the unit of prices.
const leastSaved = 1e-6

// swapped returns the cost with a worker of one kind in place of one of another.
func (f *fleet) swapped(add, drop Kind) float64 {
	f.counts[drop]--
	defer func() { f.counts[drop]++ }()
	if f.counts.inZone(drop.Zone) < f.terms.Min && add.Zone != drop.Zone {
		return math.Inf(1)
	}
	return f.with(add, 1)
}

// Cost returns what workers cost in a second, with the worth that is lost.
func (p Policy) Cost(terms *routing.Scaling, observed Observed, counts Counts) float64 {
	f := &fleet{policy: p, terms: terms, observed: observed, counts: counts}
	return f.cost()
}
