// Package fleet decides which model version each engine of a cell should serve. A cell is the
// part of a pool that one scheduler (package cell) serves. Package fleet has no state and does
// no I/O.
package fleet

import (
	"cmp"
	"slices"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
)

// Engine is what Assign needs to know of an engine.
type Engine struct {
	Name string
	// Serving is what the engine serves now; the zero value means nothing.
	Serving engine.Deployment
	// Assigned is what an earlier call assigned to the engine.
	Assigned engine.Deployment
}

// Assign gives each engine a model version, in proportion to the shares of the demands, and
// changes the version of as few engines as possible. Each demand gets at least one engine, as
// long as there are enough of them. Engines are considered in order of name, so that the same
// input always gives the same result.
func Assign(engines []Engine, demands []catalog.Demand) map[string]engine.Deployment {
	assigned := make(map[string]engine.Deployment, len(engines))
	if len(demands) == 0 {
		return assigned
	}
	wanted := apportion(len(engines), demands)
	var unassigned []Engine
	for _, e := range sortedByName(engines) {
		i := demandServed(e, demands, wanted)
		if i < 0 {
			unassigned = append(unassigned, e)
			continue
		}
		wanted[i]--
		assigned[e.Name] = deployment(demands[i])
	}
	for _, e := range unassigned {
		for i := range demands {
			if wanted[i] > 0 {
				wanted[i]--
				assigned[e.Name] = deployment(demands[i])
				break
			}
		}
	}
	return assigned
}

func sortedByName(engines []Engine) []Engine {
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(left, right Engine) int { return cmp.Compare(left.Name, right.Name) })
	return ordered
}

// demandServed returns the index of the demand to which the engine is assigned already, or that
// it serves, and that still wants engines; -1 if there is none.
func demandServed(e Engine, demands []catalog.Demand, wanted []int) int {
	for _, current := range []engine.Deployment{e.Assigned, e.Serving} {
		for i, demand := range demands {
			if wanted[i] > 0 && current.Model == demand.Model && current.Version == demand.Version {
				return i
			}
		}
	}
	return -1
}

func deployment(demand catalog.Demand) engine.Deployment {
	return engine.Deployment{Model: demand.Model, Version: demand.Version, Role: engine.RoleMixed, Adapters: demand.Adapters}
}

// apportion returns how many engines each demand gets: one each first, as far as the engines
// go, and the rest in proportion to the shares by the largest remainder method.
func apportion(engines int, demands []catalog.Demand) []int {
	counts := make([]int, len(demands))
	total := 0
	for i, demand := range demands {
		total += demand.Share
		if i < engines {
			counts[i] = 1
		}
	}
	rest := engines - min(engines, len(demands))
	remainders := make([]int, len(demands))
	assigned := 0
	for i, demand := range demands {
		counts[i] += rest * demand.Share / total
		assigned += rest * demand.Share / total
		remainders[i] = rest * demand.Share % total
	}
	for ; assigned < rest; assigned++ {
		largest := 0
		for i := range remainders {
			if remainders[i] > remainders[largest] {
				largest = i
			}
		}
		counts[largest]++
		remainders[largest] = -1
	}
	return counts
}
