// Package fleet decides what each engine of a cell should serve. It is pure.
package fleet

import (
	"cmp"
	"slices"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
)

// Engine is an engine as assignment sees it.
type Engine struct {
	Name string
	// Serving is what it serves now. Its zero value is nothing.
	Serving engine.Deployment
	// Assigned is what it was last told to serve.
	Assigned engine.Deployment
}

// Assign gives each engine a model version, in proportion to the demands'
// shares, and moves as few engines as possible. Every demand gets an engine
// while there are enough. Engines are in the order of their names in the result.
func Assign(members []Engine, demands []catalog.Demand) map[string]engine.Deployment {
	assigned := make(map[string]engine.Deployment, len(members))
	if len(demands) == 0 {
		return assigned
	}
	quota := quotas(len(members), demands)
	var free []Engine
	for _, member := range sorted(members) {
		i := keeps(member, demands, quota)
		if i < 0 {
			free = append(free, member)
			continue
		}
		quota[i]--
		assigned[member.Name] = deployment(demands[i])
	}
	for _, member := range free {
		for i := range demands {
			if quota[i] > 0 {
				quota[i]--
				assigned[member.Name] = deployment(demands[i])
				break
			}
		}
	}
	return assigned
}

func sorted(members []Engine) []Engine {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(left, right Engine) int { return cmp.Compare(left.Name, right.Name) })
	return ordered
}

// keeps returns the demand that the engine already fulfils, -1 for none.
func keeps(member Engine, demands []catalog.Demand, quota []int) int {
	for _, current := range []engine.Deployment{member.Assigned, member.Serving} {
		for i, demand := range demands {
			if quota[i] > 0 && current.Model == demand.Model && current.Version == demand.Version {
				return i
			}
		}
	}
	return -1
}

func deployment(demand catalog.Demand) engine.Deployment {
	return engine.Deployment{Model: demand.Model, Version: demand.Version, Role: engine.RoleMixed, Adapters: demand.Adapters}
}

// quotas splits count by the largest remainder, after one for each demand.
func quotas(count int, demands []catalog.Demand) []int {
	quota := make([]int, len(demands))
	total := 0
	for i, demand := range demands {
		total += demand.Share
		if i < count {
			quota[i] = 1
		}
	}
	rest := count - min(count, len(demands))
	remainders := make([]int, len(demands))
	given := 0
	for i, demand := range demands {
		quota[i] += rest * demand.Share / total
		given += rest * demand.Share / total
		remainders[i] = rest * demand.Share % total
	}
	for ; given < rest; given++ {
		largest := 0
		for i := range remainders {
			if remainders[i] > remainders[largest] {
				largest = i
			}
		}
		quota[largest]++
		remainders[largest] = -1
	}
	return quota
}
