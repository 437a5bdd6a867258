package stageplan

import (
	"maps"
	"slices"
	"time"
)

// RegionalPlanner plans the engines of one service region by region: memory moves slowly between
// regions, so that each needs engines of both stages. How many engines change at once is
// bounded over all regions together.
type RegionalPlanner struct {
	policy   Policy
	planners map[string]*Planner
	// lastServed is the region that was given orders lastServed: the others come before it.
	lastServed string
}

// NewRegionalPlanner returns a planner for a service in any number of regions.
func NewRegionalPlanner(policy Policy) *RegionalPlanner {
	return &RegionalPlanner{policy: policy, planners: make(map[string]*Planner)}
}

// Planner returns the planner of a region.
func (r *RegionalPlanner) Planner(region string) *Planner {
	planner, known := r.planners[region]
	if !known {
		planner = New(r.policy)
		r.planners[region] = planner
	}
	return planner
}

// Decide observes the engines and the work that is offered to each region's, and returns
// the orders to be given now, if any. A region of which nothing is heard and from whose
// engines nothing is wanted is left as it is: it may be cut off from this node, and still
// serve its own callers.
func (r *RegionalPlanner) Decide(now time.Time, workers []Worker, offered map[string]OfferedLoad, heard func(region string) bool) []Order {
	regions := byRegion(workers)
	offered = reassignOffered(regions, offered)
	budget := r.policy.budget(workers)
	var orders []Order
	previous := r.lastServed
	for _, region := range r.regionsInTurn(regions, previous) {
		planner, engines := r.Planner(region), regions[region]
		if offered[region].isZero() && !heard(region) {
			planner.suspendDecay(now)
			continue
		}
		given := planner.decideWithin(now, engines, offered[region], min(budget, r.policy.regionBudget(engines)))
		if len(given) > 0 {
			r.lastServed = region
		}
		budget -= len(given)
		orders = append(orders, given...)
	}
	return orders
}

// regionBudget is how many more engines of a region may be ordered to change now.
func (p Policy) regionBudget(workers []Worker) int {
	return max(int(p.RegionShare*float64(len(workers))), 1) - countChanging(workers)
}

// regionsInTurn are the regions that have engines or had some, in the order in which they come to
// their orders: those after the one that came last go first.
func (r *RegionalPlanner) regionsInTurn(regions map[string][]Worker, last string) []string {
	for region := range regions {
		r.Planner(region)
	}
	regionsInTurn := slices.Sorted(maps.Keys(r.planners))
	next, _ := slices.BinarySearch(regionsInTurn, last)
	if next < len(regionsInTurn) && regionsInTurn[next] == last {
		next++
	}
	return append(slices.Clone(regionsInTurn[next:]), regionsInTurn[:next]...)
}

func byRegion(workers []Worker) map[string][]Worker {
	regions := make(map[string][]Worker)
	for _, worker := range workers {
		regions[worker.Region] = append(regions[worker.Region], worker)
	}
	return regions
}

// reassignOffered divides the work that is offered to regions without a usable engine among
// the others, by their engines: only there can it be done.
func reassignOffered(regions map[string][]Worker, offered map[string]OfferedLoad) map[string]OfferedLoad {
	usable, total := make(map[string]int), 0
	for region, workers := range regions {
		if count := divide(workers).size(); count > 0 {
			usable[region] = count
			total += count
		}
	}
	if total == 0 {
		return offered
	}
	var unserved OfferedLoad
	shared := make(map[string]OfferedLoad, len(offered))
	for region, work := range offered {
		if usable[region] > 0 {
			shared[region] = work
		} else {
			unserved = unserved.plusShare(work, 1)
		}
	}
	for region, count := range usable {
		shared[region] = shared[region].plusShare(unserved, float64(count)/float64(total))
	}
	return shared
}

// plusShare returns the work with a share of other work added.
func (o OfferedLoad) plusShare(other OfferedLoad, share float64) OfferedLoad {
	o.ReadTokens += share * other.ReadTokens
	o.Requests += share * other.Requests
	o.MemoryTokens += share * other.MemoryTokens
	return o
}

func (o OfferedLoad) isZero() bool { return o == OfferedLoad{} }

// suspendDecay keeps what is remembered of the demand as it is.
func (p *Planner) suspendDecay(now time.Time) {
	for _, observed := range []*time.Time{
		&p.readingMean.observed, &p.writingMean.observed, &p.readingPeak.observed, &p.writingPeak.observed,
	} {
		if !observed.IsZero() {
			*observed = now
		}
	}
}
