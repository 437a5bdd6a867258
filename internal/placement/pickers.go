package placement

// LowestCost picks the engine with the lowest cost, the first of equals. Own
// placements are counted exactly, so equal costs do not stay equal.
type LowestCost struct{}

// Pick implements Picker.
func (LowestCost) Pick(costs []float64) int {
	best := 0
	for i, cost := range costs {
		if cost < costs[best] {
			best = i
		}
	}
	return best
}

// RoundRobin picks one engine after the other: the baseline that looks at
// nothing.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (r *RoundRobin) Pick(costs []float64) int {
	r.next++
	return r.next % len(costs)
}

// Policy names a set of scorers and a picker.
type Policy string

// The policies. The latter two are baselines for experiments.
const (
	PolicyPredicted   Policy = "predicted"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
)

// NewPolicyPipeline returns the cycle of a policy, that of PolicyPredicted for any
// other name.
func NewPolicyPipeline(policy Policy, index *PrefixIndex) *Pipeline {
	switch policy {
	case PolicyRoundRobin:
		return NewPipeline(DefaultFilters(), nil, &RoundRobin{}, nil)
	case PolicyLeastLoaded:
		return NewPipeline(DefaultFilters(), []Scorer{InFlightOnly{}}, LowestCost{}, nil)
	}
	return NewDefaultPipeline(index)
}
