// Package stagecontrol gives engines the orders that stageplan decides on: under the
// authority that one node at a time has, fenced, one at a time, by one node that all
// others expect to do it.
package stagecontrol

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/stageplan"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// The figures of the controller.
const (
	decideEvery = 250 * time.Millisecond
	// standbyEvery is the time between two looks of a node that doesn't give orders at
	// whether it is to: a lease lapses after longer.
	standbyEvery = time.Second
	orderTimeout = 600 * time.Millisecond
	maxReply     = 16 << 10
	// switchMargin is added to the time that a change takes before it is given up.
	switchMargin = 6 * time.Second
	// maxOrderDelay is for how long an order that was not answered may still be carried
	// out.
	maxOrderDelay = 15 * time.Second
)

// Verdict is what a worker's answer to an order says.
type Verdict string

// The verdicts.
const (
	// Accepted orders are carried out, or hold already.
	Accepted Verdict = "accepted"
	// Rejected orders are not.
	Rejected Verdict = "rejected"
	// Unknown orders were not answered: they may be carried out later.
	Unknown Verdict = "unknown"
)

// OrderProtocol is how orders are put.
type OrderProtocol interface {
	// StageOrder returns the order for a worker to have a stage.
	StageOrder(to worker.Worker, prefill bool, holder string, fence uint64) *workerconn.Request
	// OrderVerdict reads the status of its answer.
	OrderVerdict(status int) Verdict
}

// Fleet is what is known of the engines.
type Fleet interface {
	// Engines describes the engines of a service for the planner.
	Engines(service string, now time.Time) []stageplan.Worker
	// Demands returns what callers of a service want, by the region whose engines are
	// wanted.
	Demands(service string, now time.Time) map[string]worker.Demand
	Get(id string) (worker.Worker, bool)
	// SetChanging keeps requests away from a worker for a time, or until its entry
	// shows the stage.
	SetChanging(id string, prefill bool, until time.Time)
}

// Pool sends requests to workers, as workerconn.Pool does.
type Pool interface {
	Do(ctx context.Context, key, address string, limit int, request *workerconn.Request) (*workerconn.Answer, error)
}

// Service is a service of engines to plan.
type Service struct {
	Name string
	// Switch is how long an engine is away when it changes.
	Switch time.Duration
}

// Options are what a controller works with.
type Options struct {
	// Self names this node to engines.
	Self      string
	Authority *authority.Authority
	Wire      OrderProtocol
	Fleet     Fleet
	Pool      Pool
	Log       *logrus.Logger
	Services  func() []Service
	// Designated reports whether this is the node that the others expect to give
	// orders. Two nodes may both think so; the lease decides.
	Designated func() bool
	// Hears reports whether any node of a region is heard. It may be nil in a deployment in
	// one region.
	Hears func(region string) bool
	// Unfenced tells that engines don't compare fences. Store keeps orders then, and is
	// not needed otherwise.
	Unfenced bool
	Store    rowstore.Store
}

// Controller plans and orders.
type Controller struct {
	options  Options
	planners map[string]*stageplan.RegionalPlanner
	// unanswered is nil where engines compare fences.
	unanswered *unanswered
}

// New returns a controller.
func New(options Options) *Controller {
	c := &Controller{options: options, planners: make(map[string]*stageplan.RegionalPlanner)}
	if options.Unfenced {
		c.unanswered = newUnanswered(options)
	}
	return c
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(decideEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !c.options.Designated() {
			timer.Reset(standbyEvery)
			continue
		}
		c.Step(ctx)
		timer.Reset(decideEvery)
	}
}

// Step plans once.
func (c *Controller) Step(ctx context.Context) {
	for _, service := range c.options.Services() {
		planner, known := c.planners[service.Name]
		if !known {
			planner = stageplan.NewRegionalPlanner(stageplan.DefaultPolicy())
			c.planners[service.Name] = planner
		}
		now := time.Now()
		fleet := c.options.Fleet
		offered := make(map[string]stageplan.OfferedLoad)
		for region, demand := range fleet.Demands(service.Name, now) {
			offered[region] = stageplan.OfferedLoad{ReadTokens: demand.ReadTokens, Requests: demand.Requests, MemoryTokens: demand.MemoryTokens}
		}
		engines := fleet.Engines(service.Name, now)
		if c.unanswered != nil {
			c.unanswered.markChanging(fleet, engines, now)
		}
		c.giveAll(ctx, service, planner, planner.Decide(now, engines, offered, c.hears))
	}
}

func (c *Controller) hears(region string) bool {
	return c.options.Hears == nil || c.options.Hears(region)
}

// maxParallelOrders is how many orders are under way at once: engines that are dark hold one
// up until it is given up.
const maxParallelOrders = 8

// giveAll carries decisions out, several at once.
func (c *Controller) giveAll(ctx context.Context, service Service, planner *stageplan.RegionalPlanner, orders []stageplan.Order) {
	if c.unanswered != nil {
		orders = c.prepare(ctx, orders)
	}
	slots := make(chan struct{}, maxParallelOrders)
	verdicts := make([]Verdict, len(orders))
	var given sync.WaitGroup
	for i, order := range orders {
		slots <- struct{}{}
		regional := planner.Planner(order.Region) // not safe for concurrent use
		given.Go(func() {
			verdicts[i] = c.give(ctx, service, regional, order)
			<-slots
		})
	}
	given.Wait()
	if c.unanswered == nil {
		return
	}
	for i, order := range orders {
		if verdicts[i] != Unknown {
			c.unanswered.answered(order.Worker)
		}
	}
}

// prepare returns the orders that may be given before engines that don't compare fences.
func (c *Controller) prepare(ctx context.Context, orders []stageplan.Order) []stageplan.Order {
	if len(orders) == 0 {
		return nil
	}
	log := c.options.Log.WithField("orders", len(orders))
	if status := c.options.Authority.Acquire(ctx); status != authority.Held {
		log.WithField("authority", status).Info("orders not given")
		return nil
	}
	free, err := c.unanswered.prepare(ctx, c.options.Fleet, orders, time.Now())
	if err != nil {
		log.WithField("cause", err.Error()).Warn("orders not given")
		return nil
	}
	if len(free) < len(orders) {
		log.WithField("free", len(free)).Info("some orders not given: earlier ones to the same workers may still be carried out")
	}
	return free
}

// give carries a decision out, if this node has the authority to.
func (c *Controller) give(ctx context.Context, service Service, planner *stageplan.Planner, order stageplan.Order) Verdict {
	log := c.options.Log.WithFields(logrus.Fields{
		"worker": order.Worker, "region": order.Region, "prefill": order.Prefill, "reason": order.Reason,
		"reading_demand": planner.Demand().Reading, "writing_demand": planner.Demand().Writing,
	})
	to, listed := c.options.Fleet.Get(order.Worker)
	if !listed {
		log.Info("order not given: the worker is gone")
		return Rejected
	}
	if status := c.options.Authority.Acquire(ctx); status != authority.Held {
		log.WithField("authority", status).Info("order not given")
		return Rejected
	}
	verdict, detail := c.send(ctx, to, order)
	now := time.Now()
	switch verdict {
	case Accepted:
		c.options.Fleet.SetChanging(to.ID, order.Prefill, now.Add(service.Switch+switchMargin))
	case Unknown:
		c.options.Fleet.SetChanging(to.ID, order.Prefill, now.Add(maxOrderDelay))
	}
	log.WithFields(logrus.Fields{"verdict": verdict, "detail": detail}).Info("order given")
	return verdict
}

// send looks at the lease again just before the order leaves. Where engines don't compare
// fences, the order doesn't outlast the lease.
func (c *Controller) send(ctx context.Context, to worker.Worker, order stageplan.Order) (Verdict, string) {
	operation, held := c.options.Authority.Begin(ctx, orderTimeout)
	if !held {
		return Rejected, "the lease lapsed before the order left"
	}
	defer operation.End()
	request := c.options.Wire.StageOrder(to, order.Prefill, c.options.Self, operation.Fence)
	if c.options.Unfenced {
		request.DropAfter = duty.TCPUserTimeout
	}
	answer, err := c.options.Pool.Do(operation.Context, to.ID, to.Address, 0, request)
	if err != nil {
		if workerconn.Unsent(err) {
			return Rejected, err.Error()
		}
		return Unknown, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxReply)); err != nil {
		return Unknown, err.Error()
	}
	return c.options.Wire.OrderVerdict(answer.Status), ""
}
