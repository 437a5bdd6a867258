// Package fleetsize decides how many workers of each kind run in each zone, for services whose
// workers the platform lets us order. It compares the price of one worker more or less of each
// kind with the value of the requests that would be served in time, including the risk that all
// spot workers of a zone are reclaimed at once. Planning is pure: the caller passes the time;
// Controller sends the orders. docs/design/fleet-size.md describes the alternatives that were
// considered.
//
// To order workers means to request a number of them from the platform's API. Standing workers
// are those that are listed and not draining. The basis of a plan is what was known of the load
// when planning began.
package fleetsize

import (
	"cmp"
	"math"
	"slices"

	"github.com/tinarch/tinarch/internal/routing"
)

// Kind identifies workers that are ordered together: spot or on-demand workers of one zone.
type Kind struct {
	Zone string
	// Spot workers are cheaper, but the provider may reclaim all of them in a zone at once. The
	// others, on-demand workers, stay.
	Spot bool
}

// compareKinds orders kinds by zone, on-demand before spot workers.
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

// priceOf returns the price per second of a worker of a kind.
func priceOf(terms *routing.Scaling, kind Kind) float64 {
	if kind.Spot {
		return terms.PriceByZone[kind.Zone] * terms.SpotPrice
	}
	return terms.PriceByZone[kind.Zone]
}

// kindsOf returns the kinds that may be ordered, in a fixed order.
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

// Policy holds the parameters of the planner.
type Policy struct {
	// Elasticity is the exponent by which late requests decrease with more workers: twice as
	// many workers mean 2^Elasticity times fewer late requests.
	Elasticity float64
	// AbsenceBase and AbsencePerSecond give the share of the time for which the spot workers of
	// some zone are missing: the base plus AbsencePerSecond for each second that a new worker
	// takes to boot.
	AbsenceBase, AbsencePerSecond float64
	// Gain is the fraction of the total cost that a change must save.
	Gain float64
}

// DefaultPolicy returns the values measured so far; docs/design/fleet-size.md describes how.
func DefaultPolicy() Policy {
	return Policy{Elasticity: 2, AbsenceBase: 0.2, AbsencePerSecond: 0.02, Gain: 0.04}
}

// Basis is what a plan is based on: an observed loss at an observed number of workers.
type Basis struct {
	// Lost is the value, in the unit of prices, of the requests per second that are late or
	// refused for lack of workers if there are as many as Workers.
	Lost    float64 `json:"lost"`
	Workers float64 `json:"workers"`
}

// Counts is a number of workers per kind.
type Counts map[Kind]int

// total returns the number of workers of all kinds.
func (c Counts) total() int {
	sum := 0
	for _, count := range c {
		sum += count
	}
	return sum
}

func (c Counts) inZone(zone string) int { return c[Kind{Zone: zone}] + c[Kind{Zone: zone, Spot: true}] }

// InitialBasis returns the basis before any request has come. It assumes that the operators'
// fleet is optimal at on-demand prices, so that one more worker would save exactly its price.
func (p Policy) InitialBasis(terms *routing.Scaling, standing Counts) Basis {
	workers, price := 0.0, 0.0
	for kind, count := range standing {
		workers += float64(count)
		price += float64(count) * terms.PriceByZone[kind.Zone]
	}
	return Basis{Lost: price / p.Elasticity, Workers: workers}
}

// planSearch is the state of the search for the cheapest plan.
type planSearch struct {
	policy   Policy
	terms    *routing.Scaling
	observed Basis
	counts   Counts
	// limits has the maximum number of workers of some kinds.
	limits map[Kind]int
}

// lossWith returns the value lost per second with a number of workers.
func (f *planSearch) lossWith(workers int) float64 {
	return f.observed.Lost * math.Pow(f.observed.Workers/math.Max(float64(workers), 1), f.policy.Elasticity)
}

// cost returns the price of all workers plus the expected loss, averaged over the zones whose
// spot workers may be missing.
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

// costWith returns the cost with count workers of a kind added, infinite if the bounds of the
// zone don't allow them.
func (f *planSearch) costWith(kind Kind, count int) float64 {
	after := f.counts.inZone(kind.Zone) + count
	if f.counts[kind]+count < 0 || after < f.terms.Min || after > f.terms.Max {
		return math.Inf(1)
	}
	f.counts[kind] += count
	defer func() { f.counts[kind] -= count }()
	return f.cost()
}

// stepSizes are the numbers of workers by which a plan changes, coarse steps first, so that a
// plan of thousands of workers takes as many steps as one of tens.
var stepSizes = []int{64, 16, 4, 1}

// Plan returns the number of workers of each kind with the lowest total cost. limits has the
// maximum numbers for kinds that can't be had without limit.
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

// change is one step of the search: workers of a kind that are added, or removed if count is
// negative, and possibly the same number of another kind that they replace.
type change struct {
	add   Kind
	count int
	// drop is the kind that is replaced, equal to add if there is none.
	drop Kind
}

// improve applies the change of the given step size that saves most. It returns false if none
// saves anything.
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

// minSaving ends the search once steps save next to nothing, in the unit of prices.
const minSaving = 1e-6

// costSwapped returns the cost with count workers of one kind replaced by another kind.
func (f *planSearch) costSwapped(add, drop Kind, count int) float64 {
	f.counts[drop] -= count
	defer func() { f.counts[drop] += count }()
	if f.counts.inZone(drop.Zone) < f.terms.Min && add.Zone != drop.Zone {
		return math.Inf(1)
	}
	return f.costWith(add, count)
}

// Cost returns the price of the workers per second plus the value lost.
func (p Policy) Cost(terms *routing.Scaling, observed Basis, counts Counts) float64 {
	f := &planSearch{policy: p, terms: terms, observed: observed, counts: counts}
	return f.cost()
}
