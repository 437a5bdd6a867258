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
		return terms.PriceByZone[kind.Zone] * terms.SpotPrice
	}
	return terms.PriceByZone[kind.Zone]
}

// kindsOf are those that may be ordered, in a fixed order.
func kindsOf(terms *routing.Scaling) []Kind {
	var kinds []Kind
	for zone := range terms.PriceByZone {
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

// Basis is what is known of a service's work.
type Basis struct {
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
func (p Policy) Prior(terms *routing.Scaling, standing Counts) Basis {
	workers, price := 0.0, 0.0
	for kind, count := range standing {
		workers += float64(count)
		price += float64(count) * terms.PriceByZone[kind.Zone]
	}
	return Basis{Lost: price / p.Elasticity, Workers: workers}
}

// planSearch is a plan in the making.
type planSearch struct {
	policy   Policy
	terms    *routing.Scaling
	observed Basis
	counts   Counts
	// limits bounds the workers of some kinds.
	limits map[Kind]int
}

// lossWith is the worth that is lossWith in a second with a number of workers.
func (f *planSearch) lossWith(workers int) float64 {
	return f.observed.Lost * math.Pow(f.observed.Workers/math.Max(float64(workers), 1), f.policy.Elasticity)
}

// cost is the price of all workers and the worth that is lost, as an expectation over the
// zones whose spot workers may be away.
func (f *planSearch) cost() float64 {
	total := f.counts.total()
	absence := min(f.policy.AbsenceBase+f.policy.AbsencePerSecond*f.terms.Boot.Seconds(), 1)
	zones := float64(len(f.terms.PriceByZone))
	expected := (1 - absence) * f.lossWith(total)
	for zone := range f.terms.PriceByZone {
		expected += absence / zones * f.lossWith(total-f.counts[Kind{Zone: zone, Spot: true}])
	}
	return priceOfAll(f.terms, f.counts) + expected
}

// costWith returns the cost costWith workers of a kind added, infinite where they may not be.
func (f *planSearch) costWith(kind Kind, count int) float64 {
	after := f.counts.inZone(kind.Zone) + count
	if f.counts[kind]+count < 0 || after < f.terms.Min || after > f.terms.Max {
		return math.Inf(1)
	}
	f.counts[kind] += count
	defer func() { f.counts[kind] -= count }()
	return f.cost()
}

// stepSizes are the numbers of workers by which a plan grows, coarse ones first: thousands of
// workers take as many stepSizes as tens.
var stepSizes = []int{64, 16, 4, 1}

// Plan returns the workers of each kind that cost least, all in all. Of kinds that are not
// to be had there are at most so many.
func (p Policy) Plan(terms *routing.Scaling, observed Basis, limits map[Kind]int) Counts {
	f := &planSearch{policy: p, terms: terms, observed: observed, counts: make(Counts), limits: limits}
	for zone := range terms.PriceByZone {
		f.counts[Kind{Zone: zone}] = terms.Min
	}
	kinds := kindsOf(terms)
	for _, step := range stepSizes {
		for f.improve(kinds, step) {
		}
	}
	return f.counts
}

// change is a step of a plan: workers of a kind that are added, or fewer where negative, and
// others that they take the place of.
type change struct {
	add   Kind
	count int
	// drop is the kind of the others, the same as add where there are none.
	drop Kind
}

// improve makes the change by a step that saves most. It reports false where none does.
func (f *planSearch) improve(kinds []Kind, step int) bool {
	best, least := change{}, f.cost()-minSaving
	consider := func(c change, cost float64) {
		if cost < least {
			best, least = c, cost
		}
	}
	for _, kind := range kinds {
		consider(change{kind, -step, kind}, f.costWith(kind, -step))
		if limit, limited := f.limits[kind]; limited && f.counts[kind]+step > limit {
			continue
		}
		consider(change{kind, step, kind}, f.costWith(kind, step))
		for _, other := range kinds {
			if other != kind && f.counts[other] >= step {
				consider(change{kind, step, other}, f.costSwapped(kind, other, step))
			}
		}
	}
	if best.count == 0 {
		return false
	}
	f.counts[best.add] += best.count
	if best.drop != best.add {
		f.counts[best.drop] -= best.count
	}
	return true
}

// minSaving ends the search where steps save next to nothing, in the unit of prices.
const minSaving = 1e-6

// costSwapped returns the cost with workers of one kind in place of others.
func (f *planSearch) costSwapped(add, drop Kind, count int) float64 {
	f.counts[drop] -= count
	defer func() { f.counts[drop] += count }()
	if f.counts.inZone(drop.Zone) < f.terms.Min && add.Zone != drop.Zone {
		return math.Inf(1)
	}
	return f.costWith(add, count)
}

// Cost returns what workers cost in a second, with the worth that is lost.
func (p Policy) Cost(terms *routing.Scaling, observed Basis, counts Counts) float64 {
	f := &planSearch{policy: p, terms: terms, observed: observed, counts: counts}
	return f.cost()
}
