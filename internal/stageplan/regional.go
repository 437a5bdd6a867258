package stageplan

import (
	"maps"
	"slices"
	"time"
)

// RegionalPlanner plans the engines of one service for each region separately: transferring KV
// caches between regions is slow, so each region needs engines of both stages. The number of
// engines that change at once is bounded over all regions together.
type RegionalPlanner struct {
	policy   Policy
	planners map[string]*Planner
	// lastServed is the region that received orders last; the other regions go before it.
	lastServed string
	cold       ColdStart
}

// NewRegionalPlanner returns a planner for a service in any number of regions.
func NewRegionalPlanner(policy Policy) *RegionalPlanner {
	return &RegionalPlanner{policy: policy, planners: make(map[string]*Planner)}
}

// SetColdStart sets what the next decisions take as known about the caches of all regions.
func (r *RegionalPlanner) SetColdStart(cold ColdStart) { r.cold = cold }

// ColdStates returns each region's view of its caches.
func (r *RegionalPlanner) ColdStates() map[string]ColdState {
	states := make(map[string]ColdState, len(r.planners))
	for region, planner := range r.planners {
		states[region] = planner.ColdState()
	}
	return states
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

// Decide observes the engines and the load offered to each region, and returns the orders to be
// given now, if any. If no node of a region is heard from and nothing is requested of its
// engines, they get no orders: the region may only be unreachable from this node and still
// serve its own callers.
func (r *RegionalPlanner) Decide(now time.Time, workers []Worker, offered map[string]OfferedLoad, heard func(region string) bool) []Order {
	regions := byRegion(workers)
	offered = reassignOffered(regions, offered)
	budget := r.policy.budget(workers)
	var orders []Order
	previous := r.lastServed
	for _, region := range r.regionsInTurn(regions, previous) {
		planner, engines := r.Planner(region), regions[region]
		planner.SetColdStart(r.cold)
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

// regionBudget returns how many more engines of a region may be ordered to change now.
func (p Policy) regionBudget(workers []Worker) int {
	return max(int(p.RegionShare*float64(len(workers))), 1) - countChanging(workers)
}

// regionsInTurn returns the regions that have or had engines in round-robin order, beginning
// after the region that received orders last.
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

// reassignOffered distributes the load offered to regions without a usable engine among the
// other regions, in proportion to their usable engines: only those can serve it.
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

// plusShare returns the load plus a fraction of another load.
func (o OfferedLoad) plusShare(other OfferedLoad, share float64) OfferedLoad {
	o.ReadTokens += share * other.ReadTokens
	o.Requests += share * other.Requests
	o.MemoryTokens += share * other.MemoryTokens
	o.SharedTokens += share * other.SharedTokens
	o.SharedUnread += share * other.SharedUnread
	return o
}

func (o OfferedLoad) isZero() bool { return o == OfferedLoad{} }

// suspendDecay keeps the averages and peaks of the demand from decaying up to now.
func (p *Planner) suspendDecay(now time.Time) {
	for _, observed := range []*time.Time{
		&p.prefillMean.observed, &p.decodeMean.observed, &p.prefillPeak.observed, &p.decodePeak.observed,
	} {
		if !observed.IsZero() {
			*observed = now
		}
	}
}
