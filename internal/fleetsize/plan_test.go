package fleetsize

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/routing"
)

// terms returns the scaling terms of three zones with all prices multiplied by times.
func terms(spot, times float64, boot time.Duration) *routing.Scaling {
	return &routing.Scaling{
		Min: 1, Max: 94, Boot: boot, SpotPrice: spot,
		PriceByZone: map[string]float64{"a": 0.85 * times, "b": 1.2 * times, "c": times},
	}
}

// operatorsFleet is the fleet that the operators started.
func operatorsFleet() Counts { return Counts{{Zone: "a"}: 47, {Zone: "b"}: 47, {Zone: "c"}: 46} }

func countSpot(counts Counts) int {
	sum := 0
	for kind, count := range counts {
		if kind.Spot {
			sum += count
		}
	}
	return sum
}

// TestPlanNeverCostsMoreThanTheOperatorsFleet at any prices, and it stays within the bounds of
// each zone.
func TestPlanNeverCostsMoreThanTheOperatorsFleet(t *testing.T) {
	policy := DefaultPolicy()
	for _, spot := range []float64{0, 0.05, 0.18, 0.5, 0.9, 1.2} {
		for _, times := range []float64{0.05, 1, 4} {
			for _, boot := range []time.Duration{2 * time.Second, 12 * time.Second} {
				known := terms(spot, times, boot)
				basis := policy.InitialBasis(terms(spot, 1, boot), operatorsFleet())
				plan := policy.Plan(known, basis, nil)
				if before, after := policy.Cost(known, basis, operatorsFleet()), policy.Cost(known, basis, plan); after > before {
					t.Errorf("spot %v, prices × %v: %v costs %.1f, the operators' fleet %.1f", spot, times, plan, after, before)
				}
				for zone := range known.PriceByZone {
					if count := plan.inZone(zone); count < known.Min || count > known.Max {
						t.Errorf("%d workers in zone %s", count, zone)
					}
				}
			}
		}
	}
}

// TestPricesDecideTheMix: cheap spot workers are used, and more workers with them; expensive
// spot workers are not. If all workers are expensive there are fewer.
func TestPricesDecideTheMix(t *testing.T) {
	policy := DefaultPolicy()
	plan := func(spot, times float64) Counts {
		basis := policy.InitialBasis(terms(spot, 1, 4*time.Second), operatorsFleet())
		return policy.Plan(terms(spot, times, 4*time.Second), basis, nil)
	}
	if cheap := plan(0.18, 1); countSpot(cheap) != cheap.total() || cheap.total() <= operatorsFleet().total() {
		t.Errorf("with cheap spot workers: %v", cheap)
	}
	if dear := plan(0.95, 1); countSpot(dear) > dear.total()/10 {
		t.Errorf("with expensive spot workers: %v", dear)
	}
	if none := plan(0, 1); countSpot(none) != 0 {
		t.Errorf("without spot workers: %v", none)
	}
	if normal, dear := plan(0.18, 1).total(), plan(0.18, 4).total(); dear >= normal {
		t.Errorf("%d workers at four times the price, %d before", dear, normal)
	}
}

// TestSameFleetAtTheSamePrices: if there is no cheaper kind, the operators' fleet keeps about
// its size.
func TestSameFleetAtTheSamePrices(t *testing.T) {
	policy := DefaultPolicy()
	flat := &routing.Scaling{Min: 1, Max: 94, PriceByZone: map[string]float64{"a": 1, "b": 1, "c": 1}}
	plan := policy.Plan(flat, policy.InitialBasis(flat, operatorsFleet()), nil)
	if total := plan.total(); total < 138 || total > 142 {
		t.Errorf("%d workers, the operators' fleet has 140", total)
	}
}

// TestUnavailableZoneIsReplacedElsewhere: spot workers that one zone lacks are ordered in
// others.
func TestUnavailableZoneIsReplacedElsewhere(t *testing.T) {
	policy := DefaultPolicy()
	known := terms(0.5, 1, 4*time.Second)
	basis := policy.InitialBasis(known, operatorsFleet())
	whole := policy.Plan(known, basis, nil)
	away := Kind{Zone: "a", Spot: true}
	without := policy.Plan(known, basis, map[Kind]int{away: 0})
	if without[away] != 0 || without.total()-without[away] <= whole.total()-whole[away] {
		t.Errorf("%v without spot workers in zone a, %v with them", without, whole)
	}
}

// TestPlanScalesWithTheFleet: the plan for a fleet ten times as large has ten times as many
// workers.
func TestPlanScalesWithTheFleet(t *testing.T) {
	policy := DefaultPolicy()
	small := terms(0.5, 1, 4*time.Second)
	large := *small
	large.Max *= 10
	times := make(Counts)
	for kind, count := range operatorsFleet() {
		times[kind] = 10 * count
	}
	few := policy.Plan(small, policy.InitialBasis(small, operatorsFleet()), nil).total()
	many := policy.Plan(&large, policy.InitialBasis(&large, times), nil).total()
	if off := many - 10*few; off < -10*few/20 || off > 10*few/20 {
		t.Errorf("%d workers, %d in a fleet a tenth as large", many, few)
	}
}
