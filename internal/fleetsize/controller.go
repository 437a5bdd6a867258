package fleetsize

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/rowstore"
)

// Intervals and limits of the controller.
const (
	// stepEvery is the time between two checks of the fleet.
	stepEvery = 500 * time.Millisecond
	// callTimeout bounds a call to the platform's API, storeTimeout a call to its store.
	callTimeout  = 2 * time.Second
	storeTimeout = 800 * time.Millisecond
	// lateMargin is how long after its boot time a worker may be missing before the order is
	// repeated.
	lateMargin = 2 * time.Second
	// retryRefusedAfter is the time before a refused order is tried again.
	retryRefusedAfter = 2 * time.Second
	// roundEvery is the time between two rounds of orders, and changesPerRound, divided by the
	// number of nodes, the number of workers that one round may start or stop. Each of them
	// causes several changes of the platform's worker list, which the heads (relay nodes) of a
	// zone forward to all its nodes. Replacing three thousand workers at once delayed the list
	// by 5 s with 300 nodes and links of 10 Mbit/s (docs/design/fleet-size.md).
	roundEvery      = 2 * time.Second
	changesPerRound = 16_000
)

// API is the part of the platform's API that orders workers.
type API interface {
	// OrderWorkers requests the number of workers of a kind that a service is to have. If the
	// verdict isn't duty.Accepted, the error tells why.
	OrderWorkers(ctx context.Context, token duty.LeaseToken, service string, kind Kind, count int) (duty.Verdict, error)
}

// Workers is what the controller needs to know about the workers.
type Workers interface {
	// Standing counts the workers of a service that are listed and not draining.
	Standing(service string) Counts
	// Idle reports whether no recent request of a service is known.
	Idle(service string, now time.Time) bool
}

// Service is a service whose number of workers is controlled.
type Service struct {
	// Name is the name of the service, and Terms are the bounds and prices of its workers.
	Name  string
	Terms *routing.Scaling
}

// Options configure a controller.
type Options struct {
	// Node is the name by which this node identifies itself to the platform.
	Node      string
	Authority *authority.Authority
	Store     rowstore.Store
	API       API
	Workers   Workers
	Services  func() []Service
	// Nodes returns the number of nodes that receive the worker list.
	Nodes func() int
	// Heartbeat is the interval at which workers write their rows. The number of workers must
	// have been stable for longer than that to count as the operators' choice.
	Heartbeat time.Duration
	// Designated reports whether the other nodes expect this one to order workers.
	Designated func() bool
	Log        *logrus.Logger
	// Metrics may be nil.
	Metrics *Metrics
}

// Controller requests numbers of workers from the platform. It is not safe for concurrent use.
type Controller struct {
	options Options
	policy  Policy
	fleets  map[string]*fleetState
}

// New returns a controller.
func New(options Options) *Controller {
	return &Controller{options: options, policy: DefaultPolicy(), fleets: make(map[string]*fleetState)}
}

// Run steps the controller until ctx ends.
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
			clear(c.fleets) // another node orders now, and its orders are not known here
			continue
		}
		c.Step(ctx, time.Now())
	}
}

// Step orders workers to start or stop so that each service approaches its plan.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	for _, service := range c.options.Services() {
		fleet, known := c.fleets[service.Name]
		if !known {
			fleet = newFleetState()
			c.fleets[service.Name] = fleet
		}
		if err := c.stepService(ctx, service, fleet, now); err != nil {
			c.options.Log.WithFields(logrus.Fields{"service": service.Name, "cause": err.Error()}).Warn("workers not ordered")
		}
	}
}

func (c *Controller) stepService(ctx context.Context, service Service, fleet *fleetState, now time.Time) error {
	standing := c.options.Workers.Standing(service.Name)
	fleet.observe(standing, now)
	if fleet.basis == nil {
		if now.Sub(fleet.since) < c.settleTime() || standing.total() == 0 {
			return nil
		}
		if err := c.readOrWriteBasis(ctx, service, fleet, standing); err != nil {
			return err
		}
	}
	if fleet.era != c.options.Store.Era() {
		if err := c.readOrWriteBasis(ctx, service, fleet, standing); err != nil {
			c.options.Log.WithFields(logrus.Fields{"service": service.Name, "cause": err.Error()}).
				Warn("the basis of the plan may have been lost when the store was restored; it will be written again")
		}
	}
	targets := c.targets(service, fleet, now)
	due := fleet.due(service.Terms, targets, now)
	if len(due) == 0 || now.Sub(fleet.lastRound) < roundEvery {
		return nil
	}
	fleet.lastRound = now
	left := max(changesPerRound/max(c.options.Nodes(), 1), 1)
	for _, kind := range due {
		count := fleet.clampChange(kind, targets[kind], left)
		left -= fleet.changeSize(kind, count)
		if err := c.order(ctx, service, fleet, kind, count, now); err != nil {
			return err
		}
	}
	return nil
}

// settleTime is how long the workers must have been unchanged until all of them are assumed to
// be listed.
func (c *Controller) settleTime() time.Duration { return c.options.Heartbeat * 5 / 4 }

// targets returns the numbers of workers of a service to order now.
func (c *Controller) targets(service Service, fleet *fleetState, now time.Time) Counts {
	idle := c.options.Workers.Idle(service.Name, now)
	unlimited := fleet.unlimitedPlan(c.policy, service.Terms)
	c.options.Metrics.observe(service, fleet.standing, unlimited)
	unlimitedTargets := fleet.targets(service.Terms, unlimited, idle)
	if len(fleet.unavailableSince) == 0 {
		return unlimitedTargets
	}
	limited := fleet.planWithin(c.policy, service.Terms, fleet.availability(service.Terms, now))
	targets := fleet.targets(service.Terms, limited, idle)
	for kind := range fleet.unavailableSince {
		// Kinds that were unavailable are requested again now and then as if they were
		// available.
		targets[kind] = unlimitedTargets[kind]
	}
	return targets
}

// order sends an order if this node holds the authority. It logs "workers ordered" whatever the
// verdict is: refused and throttled orders are not carried out, and unanswered ones may be. The
// cause is "<nil>" if there was no error.
func (c *Controller) order(ctx context.Context, service Service, fleet *fleetState, kind Kind, count int, now time.Time) error {
	if status := c.options.Authority.Acquire(ctx); status != authority.Held {
		return eris.Errorf("no authority: %s", status)
	}
	operation, held := c.options.Authority.Begin(ctx, callTimeout)
	if !held {
		return eris.New("the authority expired before the order was sent")
	}
	defer operation.End()
	verdict, err := c.options.API.OrderWorkers(operation.Context, duty.LeaseToken{Holder: c.options.Node, Fence: operation.Fence}, service.Name, kind, count)
	c.options.Log.WithFields(logrus.Fields{
		"service": service.Name, "zone": kind.Zone, "spot": kind.Spot, "count": count, "standing": fleet.standing[kind],
		"standing_total": fleet.standing.total(), "fence": operation.Fence, "verdict": verdict, "cause": fmt.Sprint(err),
		"basis_lost": fleet.basis.Lost, "basis_workers": fleet.basis.Workers,
	}).Info("workers ordered")
	switch verdict {
	case duty.Accepted:
		fleet.lastOrdered[kind], fleet.orderedAt[kind] = count, now
		delete(fleet.unavailableSince, kind)
	case duty.Refused:
		if _, already := fleet.unavailableSince[kind]; !already {
			fleet.unavailableSince[kind] = now
		}
		fleet.pausedUntil[kind] = now.Add(retryRefusedAfter)
	case duty.Throttled:
		fleet.pausedUntil[kind] = now.Add(retryRefusedAfter)
	case duty.Unknown:
		// If the platform carries the order out later, after a newer one, the listed workers
		// show it and the newer order is repeated. The remaining kinds wait for the next round,
		// since an API that doesn't answer would delay each of them in turn.
		return eris.Errorf("the order of %d workers in %s was not answered: %v", count, kind.Zone, err)
	}
	return nil
}
