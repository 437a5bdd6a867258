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

// The figures of a controller.
const (
	// stepEvery is the time between two looks at the fleet.
	stepEvery = 500 * time.Millisecond
	// callTimeout bounds a call to the platform's API, storeTimeout one to its store.
	callTimeout  = 2 * time.Second
	storeTimeout = 800 * time.Millisecond
	// lateMargin is how long after its boot time a worker may be missing before the order is
	// given once more.
	lateMargin = 2 * time.Second
	// retryRefusedAfter is how long a refused order isn't tried again.
	retryRefusedAfter = 2 * time.Second
	// roundEvery is the time between two rounds of orders, and pace the workers that may come
	// and go in it for each node: each of them is some changes of the platform's list, which
	// the heads of a zone tell all its nodes. Three thousand workers replaced at once held
	// the list up by 5 s at 300 nodes with links of 10 Mbit/s (docs/design/fleet-size.md).
	roundEvery      = 2 * time.Second
	changesPerRound = 16_000
)

// API is the platform's API for workers.
type API interface {
	// OrderWorkers orders the number of workers of a kind that a service is to have. The
	// error tells why a verdict isn't duty.Accepted.
	OrderWorkers(ctx context.Context, act duty.LeaseToken, service string, kind Kind, count int) (duty.Verdict, error)
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
	// Nodes is the number of nodes that follow the list of workers.
	Nodes func() int
	// Heartbeat is the time in which each worker writes its entry: the workers must have
	// stood unchanged for longer before their number is taken for the operators' choice.
	Heartbeat time.Duration
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
	fleets  map[string]*fleetState
}

// New returns a controller.
func New(options Options) *Controller {
	return &Controller{options: options, policy: DefaultPolicy(), fleets: make(map[string]*fleetState)}
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
		if err := c.learnBasis(ctx, service, fleet, standing); err != nil {
			return err
		}
	}
	if fleet.era != c.options.Store.Era() {
		if err := c.learnBasis(ctx, service, fleet, standing); err != nil {
			c.options.Log.WithFields(logrus.Fields{"service": service.Name, "cause": err.Error()}).
				Warn("the basis of the plan may be lost with the store's history; it is written again soon")
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

// settleTime is for how long workers must have stood unchanged to be all there are.
func (c *Controller) settleTime() time.Duration { return c.options.Heartbeat * 5 / 4 }

// targets are the numbers of workers of a service to be ordered now.
func (c *Controller) targets(service Service, fleet *fleetState, now time.Time) Counts {
	idle := c.options.Workers.Idle(service.Name, now)
	unlimited := fleet.unlimitedPlan(c.policy, service.Terms)
	c.options.Metrics.observe(service, fleet.standing, unlimited)
	wished := fleet.targets(service.Terms, unlimited, idle)
	if len(fleet.unavailableSince) == 0 {
		return wished
	}
	limited := fleet.planWithin(c.policy, service.Terms, fleet.availability(service.Terms, now))
	targets := fleet.targets(service.Terms, limited, idle)
	for kind := range fleet.unavailableSince {
		// What is not to be had is asked for again now and then, as if it were.
		targets[kind] = wished[kind]
	}
	return targets
}

// order gives an order, if this node has the authority to.
func (c *Controller) order(ctx context.Context, service Service, fleet *fleetState, kind Kind, count int, now time.Time) error {
	if hold := c.options.Authority.Acquire(ctx); hold != authority.Held {
		return eris.Errorf("no authority: %s", hold)
	}
	act, held := c.options.Authority.Begin(ctx, callTimeout)
	if !held {
		return eris.New("the authority lapsed before the order left")
	}
	defer act.End()
	verdict, err := c.options.API.OrderWorkers(act.Context, duty.LeaseToken{Holder: c.options.Node, Fence: act.Fence}, service.Name, kind, count)
	c.options.Log.WithFields(logrus.Fields{
		"service": service.Name, "zone": kind.Zone, "spot": kind.Spot, "count": count, "standing": fleet.standing[kind],
		"standing_total": fleet.standing.total(), "fence": act.Fence, "verdict": verdict, "cause": fmt.Sprint(err),
		"basis_lost": fleet.basis.Lost, "basis_workers": fleet.basis.Workers,
	}).Info("workers ordered")
	switch verdict {
	case duty.Accepted:
		fleet.wanted[kind], fleet.orderedAt[kind] = count, now
		delete(fleet.unavailableSince, kind)
	case duty.Refused:
		if _, already := fleet.unavailableSince[kind]; !already {
			fleet.unavailableSince[kind] = now
		}
		fleet.pausedUntil[kind] = now.Add(retryRefusedAfter)
	case duty.Throttled:
		fleet.pausedUntil[kind] = now.Add(retryRefusedAfter)
	case duty.Unknown:
		// An order carried out late, behind a newer one, shows in the workers listed: it is
		// then given anew. The kinds that are left wait for the next round, since an API
		// that doesn't answer would hold each of them up in turn.
		return eris.Errorf("the order of %d workers in %s was not answered: %v", count, kind.Zone, err)
	}
	return nil
}
