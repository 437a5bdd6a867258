package fleetsize

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/routing"
)

// fleetState is the state of the fleet and of the orders for one service.
type fleetState struct {
	// standing counts the workers at the last check, and since is when they last changed.
	standing Counts
	since    time.Time
	// basis is what the plan is based on, nil until it is known, and era the store's era in
	// which its row was read or written.
	basis *Basis
	era   uint64
	// unlimited is the plan if all kinds are available, computed for plannedTerms.
	unlimited    Counts
	plannedTerms *routing.Scaling
	// limited is the plan under the limits of the available kinds.
	limited Counts
	limits  map[Kind]int
	// lastRound is when the last round of orders was sent.
	lastRound time.Time
	// lastOrdered is the last number ordered of each kind that the platform accepted, and
	// orderedAt when it was ordered.
	lastOrdered Counts
	orderedAt   map[Kind]time.Time
	// shrunk are the kinds that lost workers since the check before.
	shrunk map[Kind]bool
	// unavailableSince has the kinds whose last order was refused, with the time of the first
	// refusal in a row, and pausedUntil the time until which a kind is not ordered again.
	unavailableSince map[Kind]time.Time
	pausedUntil      map[Kind]time.Time
}

func newFleetState() *fleetState {
	return &fleetState{
		lastOrdered: make(Counts), orderedAt: make(map[Kind]time.Time),
		unavailableSince: make(map[Kind]time.Time), pausedUntil: make(map[Kind]time.Time),
	}
}

// spotOutageBoots is how many boot times spot workers must have been unavailable before
// on-demand workers are ordered in their place. Most outages end sooner than that would pay off
// (docs/design/fleet-size.md).
const spotOutageBoots = 3

// availability returns the limits for kinds that can't grow, which is the number of workers
// they have: kinds that are unavailable, and on-demand workers while no outage of spot workers
// has lasted long enough.
func (f *fleetState) availability(terms *routing.Scaling, now time.Time) map[Kind]int {
	limits := make(map[Kind]int)
	lasting := false
	for kind, since := range f.unavailableSince {
		limits[kind] = f.standing[kind]
		lasting = lasting || now.Sub(since) >= spotOutageBoots*terms.Boot
	}
	for _, kind := range kindsOf(terms) {
		if !kind.Spot && !lasting {
			limits[kind] = f.standing[kind]
		}
	}
	return limits
}

// unlimitedPlan returns the plan if all kinds are available. It is computed once per
// configuration.
func (f *fleetState) unlimitedPlan(policy Policy, terms *routing.Scaling) Counts {
	if f.plannedTerms != terms {
		f.unlimited, f.plannedTerms = policy.Plan(terms, *f.basis, nil), terms
		f.limited, f.limits = nil, nil
	}
	return f.unlimited
}

// planWithin returns the plan under limits. It is recomputed when the limits change.
func (f *fleetState) planWithin(policy Policy, terms *routing.Scaling, limits map[Kind]int) Counts {
	if f.limited == nil || !maps.Equal(limits, f.limits) {
		f.limited, f.limits = policy.Plan(terms, *f.basis, limits), limits
	}
	return f.limited
}

// idleShare is the share of the operators' fleet to keep running while there are no requests,
// since requests may begin before new workers have booted.
const idleShare = 0.5

// targets returns the numbers of workers to order now on the way to a plan. Surplus workers are
// stopped only once their replacements are running, unless no requests have come yet. In a full
// zone some are stopped early to make room for their replacements.
func (f *fleetState) targets(terms *routing.Scaling, plan Counts, idle bool) Counts {
	targets := make(Counts)
	for _, kind := range kindsOf(terms) {
		targets[kind] = plan[kind]
	}
	least := plan.total()
	if idle {
		least = min(least, int(math.Ceil(idleShare*f.basis.Workers)))
	}
	spare := max(f.standing.total()-least, 0)
	for _, kind := range kindsOf(terms) {
		if tooMany := f.standing[kind] - plan[kind]; tooMany > 0 {
			going := min(tooMany, max(spare, f.freedForReplacements(terms, plan, kind)))
			spare = max(spare-going, 0)
			targets[kind] = f.standing[kind] - going
		}
	}
	for _, kind := range kindsOf(terms) {
		other := Kind{Zone: kind.Zone, Spot: !kind.Spot}
		if plan[kind] > f.standing[kind] {
			targets[kind] = max(min(plan[kind], terms.Max-targets[other]), f.standing[kind])
		}
	}
	return targets
}

// replaceShare is the share of a plan's workers stopped at once to make room in a full zone.
const replaceShare = 0.3

// freedForReplacements returns how many workers of a kind to stop before their replacements are
// running: those of the other kind can't start because the zone is full.
func (f *fleetState) freedForReplacements(terms *routing.Scaling, plan Counts, kind Kind) int {
	other := Kind{Zone: kind.Zone, Spot: !kind.Spot}
	if f.standing.inZone(kind.Zone) < terms.Max || f.standing[other] >= plan[other] {
		return 0
	}
	return max(int(replaceShare*float64(plan.total())), 1)
}

// due returns the kinds to order now: those whose target differs from the last order, and those
// that have lacked workers for too long or have just lost some. Kinds to shrink come first,
// since they may fill their zone.
func (f *fleetState) due(terms *routing.Scaling, targets Counts, now time.Time) []Kind {
	var due []Kind
	for _, kind := range kindsOf(terms) {
		target := targets[kind]
		last, given := f.lastOrdered[kind]
		late := now.Sub(f.orderedAt[kind]) >= terms.Boot+lateMargin || f.shrunk[kind]
		switch {
		case now.Before(f.pausedUntil[kind]):
		case !given && target == f.standing[kind]:
		case !given || target != last || f.standing[kind] != target && late:
			due = append(due, kind)
		}
	}
	slices.SortStableFunc(due, func(a, b Kind) int {
		return (targets[a] - f.standing[a]) - (targets[b] - f.standing[b])
	})
	return due
}

// previous returns the number of workers that an order changes: the last number ordered, or the
// standing workers if there was no order.
func (f *fleetState) previous(kind Kind) int {
	if last, given := f.lastOrdered[kind]; given {
		return last
	}
	return f.standing[kind]
}

// changeSize returns the number of workers that an order starts or stops.
func (f *fleetState) changeSize(kind Kind, count int) int {
	return max(count-f.previous(kind), f.previous(kind)-count)
}

// clampChange returns the count closest to the target that starts or stops no more than most
// workers.
func (f *fleetState) clampChange(kind Kind, target, most int) int {
	previous := f.previous(kind)
	return min(max(target, previous-max(most, 0)), previous+max(most, 0))
}

// observe updates the state with the standing workers.
func (f *fleetState) observe(standing Counts, now time.Time) {
	f.shrunk = make(map[Kind]bool)
	for kind, before := range f.standing {
		f.shrunk[kind] = standing[kind] < before && standing[kind] < f.lastOrdered[kind]
	}
	if !maps.Equal(standing, f.standing) {
		f.standing, f.since = standing, now
	}
}
