package placement

// LowestCost picks the engine with the lowest cost, and the first of several with the same.
// Engines don't stay equal for long, because each placement raises the cost of its engine at
// once.
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

// RoundRobin picks the engines in turn, whatever their costs. It is a baseline for experiments.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (r *RoundRobin) Pick(costs []float64) int {
	r.next++
	return r.next % len(costs)
}

// Policy names a combination of scorers and a picker.
type Policy string

// PolicyPredicted is the one that nodes use; the other two are baselines for experiments.
const (
	PolicyPredicted   Policy = "predicted"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
)

// NewPolicyPipeline returns the pipeline of a policy; an unknown name stands for
// PolicyPredicted.
func NewPolicyPipeline(policy Policy, index *PrefixIndex) *Pipeline {
	switch policy {
	case PolicyRoundRobin:
		return NewPipeline(DefaultFilters(), nil, &RoundRobin{}, nil)
	case PolicyLeastLoaded:
		return NewPipeline(DefaultFilters(), []Scorer{InFlightOnly{}}, LowestCost{}, nil)
	}
	return NewDefaultPipeline(index)
}
