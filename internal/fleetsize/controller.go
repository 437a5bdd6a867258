package fleetsize

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/rowstore"
)

// The figures of a controller.
const (
	// stepEvery is the time between two looks at the fleet.
	stepEvery = 500 * time.Millisecond
	// settled is for how long the workers must have stood unchanged before their number is
	// taken for the operators' choice: they write their entries one by one.
	settled = 800 * time.Millisecond
	// callTimeout bounds a call to the platform's API, storeTimeout one to its store.
	callTimeout  = 2 * time.Second
	storeTimeout = 800 * time.Millisecond
	// patience is how long after its boot time a worker may be missing before the order is
	// given once more.
	patience = 2 * time.Second
	// unavailableFor is how long a refused order isn't tried again.
	unavailableFor = 2 * time.Second
)

// API is the platform's API for workers.
type API interface {
	// OrderWorkers orders the number of workers of a kind that a service is to have. The
	// error tells why a verdict isn't duty.Accepted.
	OrderWorkers(ctx context.Context, act duty.Act, service string, kind Kind, count int) (duty.Verdict, error)
}

// Workers are what is known of the workers.
type Workers interface {
	// Standing counts the workers of a service that are listed and stay.
	Standing(service string) Counts
	// Idle reports whether no request of a service is known to have come lately.
	Idle(service string, now time.Time) bool
}

// Service is a service whose workers are ordered.
type Service struct {
	Name  string
	Terms *routing.Scaling
}

// Options are what a controller works with.
type Options struct {
	// Node names this node to the platform.
	Node      string
	Authority *authority.Authority
	Store     rowstore.Store
	API       API
	Workers   Workers
	Services  func() []Service
	// Designated reports whether this is the node that the others expect to order workers.
	Designated func() bool
	Log        *logrus.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Controller orders workers. It is used by one goroutine.
type Controller struct {
	options Options
	policy  Policy
	fleets  map[string]*ordered
}

// ordered is what is known of the workers ordered for a service.
type ordered struct {
	// standing is what stood at the last look, and since when.
	standing Counts
	since    time.Time
	// basis is what the plan rests on, nil until it is known.
	basis *Observed
	// whole is the plan where all kinds are to be had, on the terms planned.
	whole   Counts
	planned *routing.Scaling
	// wanted is what was ordered, and at when.
	wanted Counts
	at     map[Kind]time.Time
	// fell are the kinds of which workers have gone since the look before.
	fell map[Kind]bool
	// unavailable are the kinds of which the last order was refused, by since when orders
	// of them are, and pause is until when none is tried again.
	unavailable map[Kind]time.Time
	pause       map[Kind]time.Time
}

// New returns a controller.
func New(options Options) *Controller {
	return &Controller{options: options, policy: DefaultPolicy(), fleets: make(map[string]*ordered)}
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.options.Designated() {
			clear(c.fleets) // another node orders now: what it has done isn't known here
			continue
		}
		c.Step(ctx, time.Now())
	}
}

// Step orders what is missing or too many.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	for _, service := range c.options.Services() {
		fleet, known := c.fleets[service.Name]
		if !known {
			fleet = &ordered{wanted: make(Counts), at: make(map[Kind]time.Time), unavailable: make(map[Kind]time.Time), pause: make(map[Kind]time.Time)}
			c.fleets[service.Name] = fleet
		}
		if err := c.step(ctx, service, fleet, now); err != nil {
			c.options.Log.WithFields(logrus.Fields{"service": service.Name, "cause": err.Error()}).Warn("workers not ordered")
		}
	}
}

func (c *Controller) step(ctx context.Context, service Service, fleet *ordered, now time.Time) error {
	standing := c.options.Workers.Standing(service.Name)
	fleet.look(standing, now)
	if fleet.basis == nil {
		if now.Sub(fleet.since) < settled || standing.total() == 0 {
			return nil
		}
		if err := c.learnBasis(ctx, service, fleet, standing); err != nil {
			return err
		}
	}
	idle := c.options.Workers.Idle(service.Name, now)
	whole := fleet.wholePlan(c.policy, service.Terms)
	c.options.Metrics.observe(service, standing, whole)
	targets := fleet.targets(service.Terms, whole, idle)
	if len(fleet.unavailable) > 0 {
		// What is not to be had is asked for again now and then, as if it were.
		wished := targets
		targets = fleet.targets(service.Terms, c.policy.Plan(service.Terms, *fleet.basis, standing, fleet.barred(service.Terms, now)), idle)
		for kind := range fleet.unavailable {
			targets[kind] = wished[kind]
		}
	}
	for _, kind := range fleet.due(service.Terms, targets, now) {
		if err := c.order(ctx, service, fleet, kind, targets[kind], now); err != nil {
			return err
		}
	}
	return nil
}

// outageBoots is for how many boot times spot workers must have been unavailable before
// workers at full price are ordered in their place: those of most outages are back sooner
// than that would pay (docs/design/fleet-size.md).
const outageBoots = 3

// barred are the kinds of which no more can be had, or are worth having yet.
func (f *ordered) barred(terms *routing.Scaling, now time.Time) map[Kind]bool {
	barred := make(map[Kind]bool)
	lasting := false
	for kind, since := range f.unavailable {
		barred[kind] = true
		lasting = lasting || now.Sub(since) >= outageBoots*terms.Boot
	}
	for _, kind := range kindsOf(terms) {
		barred[kind] = barred[kind] || !kind.Spot && !lasting
	}
	return barred
}

// wholePlan is the plan where all kinds are to be had. It is worked out once for the terms
// of a configuration.
func (f *ordered) wholePlan(policy Policy, terms *routing.Scaling) Counts {
	if f.planned != terms {
		f.whole, f.planned = policy.Plan(terms, *f.basis, nil, nil), terms
	}
	return f.whole
}

// idleShare is the part of the operators' fleet that stands at least while there are no
// requests: they may begin before new workers have booted.
const idleShare = 0.5

// targets are the numbers of workers to be ordered now, on the way to a plan. Workers that
// are too many go only when others stand in their place, or before any requests come, and
// a zone that is full gets new ones as the others go.
func (f *ordered) targets(terms *routing.Scaling, plan Counts, idle bool) Counts {
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
			going := min(tooMany, max(spare, f.toMakeRoom(terms, plan, kind)))
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

// roomShare is the part of a plan's workers that go at once to make room in a full zone.
const roomShare = 0.3

// toMakeRoom is how many workers of a kind go although none stand in their place yet: those
// of the other kind can't come since the zone is full.
func (f *ordered) toMakeRoom(terms *routing.Scaling, plan Counts, kind Kind) int {
	other := Kind{Zone: kind.Zone, Spot: !kind.Spot}
	if f.standing.inZone(kind.Zone) < terms.Max || f.standing[other] >= plan[other] {
		return 0
	}
	return max(int(roomShare*float64(plan.total())), 1)
}

// due are the kinds to be ordered now, those of which there are too many first, since they
// may fill their zone: those of which another number is wanted than was ordered, and those
// that are missing for long or have just gone.
func (f *ordered) due(terms *routing.Scaling, targets Counts, now time.Time) []Kind {
	var due []Kind
	for _, kind := range kindsOf(terms) {
		target := targets[kind]
		last, given := f.wanted[kind]
		late := now.Sub(f.at[kind]) >= terms.Boot+patience || f.fell[kind]
		switch {
		case now.Before(f.pause[kind]):
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

// look takes in what stands.
func (f *ordered) look(standing Counts, now time.Time) {
	f.fell = make(map[Kind]bool)
	for kind, before := range f.standing {
		f.fell[kind] = standing[kind] < before && standing[kind] < f.wanted[kind]
	}
	if !maps.Equal(standing, f.standing) {
		f.standing, f.since = standing, now
	}
}

// order gives an order, if this node has the authority to.
func (c *Controller) order(ctx context.Context, service Service, fleet *ordered, kind Kind, count int, now time.Time) error {
	if hold := c.options.Authority.Acquire(ctx); hold != authority.Held {
		return eris.Errorf("no authority: %s", hold)
	}
	fence := c.options.Authority.Fence()
	if fence == 0 {
		return eris.New("the authority lapsed before the order left")
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	verdict, err := c.options.API.OrderWorkers(callCtx, duty.Act{Holder: c.options.Node, Fence: fence}, service.Name, kind, count)
	c.options.Log.WithFields(logrus.Fields{
		"service": service.Name, "zone": kind.Zone, "spot": kind.Spot, "count": count, "standing": fleet.standing[kind],
		"standing_total": fleet.standing.total(), "fence": fence, "verdict": verdict, "cause": fmt.Sprint(err),
		"basis_lost": fleet.basis.Lost, "basis_workers": fleet.basis.Workers,
	}).Info("workers ordered")
	switch verdict {
	case duty.Accepted:
		fleet.wanted[kind], fleet.at[kind] = count, now
		delete(fleet.unavailable, kind)
	case duty.Refused:
		if _, already := fleet.unavailable[kind]; !already {
			fleet.unavailable[kind] = now
		}
		fleet.pause[kind] = now.Add(unavailableFor)
	case duty.Throttled:
		fleet.pause[kind] = now.Add(unavailableFor)
	}
	return nil
}

// The rows in which the basis of a service's plan lies.
const table = "fleet"

// learnBasis reads what the plan of a service rests on, or writes it down where this node
// is the first to plan: later nodes find workers that were ordered, not the operators'
// choice.
func (c *Controller) learnBasis(ctx context.Context, service Service, fleet *ordered, standing Counts) error {
	if hold := c.options.Authority.Acquire(ctx); hold != authority.Held {
		return eris.Errorf("no authority: %s", hold)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	content, version, err := c.options.Store.ReadRow(callCtx, table, service.Name)
	if err != nil {
		return eris.Wrap(err, "the basis of the plan can't be read")
	}
	var basis Observed
	if version > 0 {
		if err := json.Unmarshal(content, &basis); err != nil {
			return eris.Wrap(err, "the basis of the plan is malformed")
		}
		fleet.basis = &basis
		return nil
	}
	basis = c.policy.Prior(service.Terms, standing)
	if content, err = json.Marshal(basis); err != nil {
		return err
	}
	condition, held := c.options.Authority.Condition()
	if !held {
		return eris.New("the authority lapsed before the basis was written")
	}
	_, done, err := c.options.Store.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{condition, {Table: table, Key: service.Name}},
		Writes:     []rowstore.Write{{Table: table, Key: service.Name, Value: content}},
	})
	if err != nil || !done {
		return eris.Errorf("the basis of the plan was not written (done %v, %v)", done, err)
	}
	fleet.basis = &basis
	c.options.Log.WithFields(logrus.Fields{
		"service": service.Name, "lost": basis.Lost, "workers": basis.Workers, "standing": fmt.Sprint(standing),
	}).Info("the operators' fleet is the basis of the plan")
	return nil
}
