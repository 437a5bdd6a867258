package fleetsize

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/routing"
)

// fleetState is what is known of the workers fleetState for a service.
type fleetState struct {
	// standing is what stood at the last look, and since when.
	standing Counts
	since    time.Time
	// basis is what the plan rests on, nil until it is known, and era that of the store's
	// history in which it lies.
	basis *Basis
	era   uint64
	// unlimited is the plan where all kinds are to be had, on the terms planned.
	unlimited    Counts
	plannedTerms *routing.Scaling
	// limited is the plan within the limits of what can be had.
	limited Counts
	limits  map[Kind]int
	// lastRound is when orders were given last.
	lastRound time.Time
	// wanted is what was ordered, and at when.
	wanted    Counts
	orderedAt map[Kind]time.Time
	// shrunk are the kinds of which workers have gone since the look before.
	shrunk map[Kind]bool
	// unavailableSince are the kinds of which the last order was refused, by since when orders
	// of them are, and pause is until when none is tried again.
	unavailableSince map[Kind]time.Time
	pausedUntil      map[Kind]time.Time
}

func newFleetState() *fleetState {
	return &fleetState{
		wanted: make(Counts), orderedAt: make(map[Kind]time.Time),
		unavailableSince: make(map[Kind]time.Time), pausedUntil: make(map[Kind]time.Time),
	}
}

// spotOutageBoots is for how many boot times spot workers must have been unavailable before
// workers at full price are ordered in their place: those of most outages are back sooner
// than that would pay (docs/design/fleet-size.md).
const spotOutageBoots = 3

// availability are the most workers of kinds of which no more can be had, or are worth having
// yet: those that stand.
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

// unlimitedPlan is the plan where all kinds are to be had. It is worked out once for the terms
// of a configuration.
func (f *fleetState) unlimitedPlan(policy Policy, terms *routing.Scaling) Counts {
	if f.plannedTerms != terms {
		f.unlimited, f.plannedTerms = policy.Plan(terms, *f.basis, nil), terms
		f.limited, f.limits = nil, nil
	}
	return f.unlimited
}

// planWithin is the plan within limits. It is worked out anew when these change.
func (f *fleetState) planWithin(policy Policy, terms *routing.Scaling, limits map[Kind]int) Counts {
	if f.limited == nil || !maps.Equal(limits, f.limits) {
		f.limited, f.limits = policy.Plan(terms, *f.basis, limits), limits
	}
	return f.limited
}

// idleShare is the part of the operators' fleet that stands at least while there are no
// requests: they may begin before new workers have booted.
const idleShare = 0.5

// targets are the numbers of workers to be ordered now, on the way to a plan. Workers that
// are too many go only when others stand in their place, or before any requests come, and
// a zone that is full gets new ones as the others go.
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

// replaceShare is the part of a plan's workers that go at once to make room in a full zone.
const replaceShare = 0.3

// freedForReplacements is how many workers of a kind go although none stand in their place yet: those
// of the other kind can't come since the zone is full.
func (f *fleetState) freedForReplacements(terms *routing.Scaling, plan Counts, kind Kind) int {
	other := Kind{Zone: kind.Zone, Spot: !kind.Spot}
	if f.standing.inZone(kind.Zone) < terms.Max || f.standing[other] >= plan[other] {
		return 0
	}
	return max(int(replaceShare*float64(plan.total())), 1)
}

// due are the kinds to be ordered now, those of which there are too many first, since they
// may fill their zone: those of which another number is wanted than was ordered, and those
// that are missing for long or have just gone.
func (f *fleetState) due(terms *routing.Scaling, targets Counts, now time.Time) []Kind {
	var due []Kind
	for _, kind := range kindsOf(terms) {
		target := targets[kind]
		last, given := f.wanted[kind]
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

// previous is the number of workers of a kind that an order starts from: what was ordered
// last, or what stands.
func (f *fleetState) previous(kind Kind) int {
	if last, given := f.wanted[kind]; given {
		return last
	}
	return f.standing[kind]
}

// changeSize is the number of workers that come or go by an order.
func (f *fleetState) changeSize(kind Kind, count int) int {
	return max(count-f.previous(kind), f.previous(kind)-count)
}

// clampChange is the order nearest to a target by which no more than so many come or go.
func (f *fleetState) clampChange(kind Kind, target, most int) int {
	previous := f.previous(kind)
	return min(max(target, previous-max(most, 0)), previous+max(most, 0))
}

// observe takes in what stands.
func (f *fleetState) observe(standing Counts, now time.Time) {
	f.shrunk = make(map[Kind]bool)
	for kind, before := range f.standing {
		f.shrunk[kind] = standing[kind] < before && standing[kind] < f.wanted[kind]
	}
	if !maps.Equal(standing, f.standing) {
		f.standing, f.since = standing, now
	}
}
