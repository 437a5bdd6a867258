// Package stagecontrol sends engines the orders that stageplan decides on. An order is a
// request to one engine to change its stage; in package fleetsize it is a request to the
// platform for a number of workers. Orders carry a fence and are sent only by the holder of the
// authority, which is normally the one node that all others expect to do so.
package stagecontrol

import (
	"context"
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

// Intervals and limits of the controller.
const (
	decideEvery = 250 * time.Millisecond
	// standbyEvery is how often a node that doesn't send orders checks whether it is to. A
	// lease takes longer than that to expire.
	standbyEvery = time.Second
	orderTimeout = 600 * time.Millisecond
	maxReply     = 16 << 10
	// switchMargin is added to the time that a stage change takes before the change is given
	// up.
	switchMargin = 6 * time.Second
	// maxOrderDelay is how long an unanswered order may still be carried out.
	maxOrderDelay = 15 * time.Second
)

// Verdict is the outcome of an order as given by the worker's answer.
type Verdict string

// The outcomes of an order.
const (
	// Accepted orders are carried out, or the worker already has the stage.
	Accepted Verdict = "accepted"
	// Rejected orders are not carried out: the worker refused them, or they were not sent.
	Rejected Verdict = "rejected"
	// Unknown orders were not answered, and may still be carried out.
	Unknown Verdict = "unknown"
)

// OrderProtocol encodes orders and decodes their answers.
type OrderProtocol interface {
	// StageOrder returns the request that orders a worker to change its stage.
	StageOrder(to worker.Worker, prefill bool, holder string, fence uint64) *workerconn.Request
	// OrderVerdict interprets the status of the answer.
	OrderVerdict(status int) Verdict
}

// Fleet is what the controller needs to know about the engines.
type Fleet interface {
	// Engines describes the engines of a service for the planner.
	Engines(service string, now time.Time) []stageplan.Worker
	// Demands returns the demand of the callers of a service by the region whose engines it is
	// for.
	Demands(service string, now time.Time) map[string]worker.Demand
	Get(id string) (worker.Worker, bool)
	// SetChanging keeps requests away from a worker until the given time, or until its row in
	// the worker list shows the new stage.
	SetChanging(id string, prefill bool, until time.Time)
}

// Pool sends requests to workers, as workerconn.Pool does.
type Pool interface {
	Do(ctx context.Context, key, address string, limit int, request *workerconn.Request) (*workerconn.Answer, error)
}

// Service is a service whose engines are controlled.
type Service struct {
	Name string
	// Switch is how long an engine is unavailable while it changes its stage.
	Switch time.Duration
	// ColdStart selects the service for plans for empty caches. Empty tells that no caller has
	// asked anything since the whole system started for the first time.
	ColdStart, Empty bool
	// MaxPreparing bounds the orders before the first request.
	MaxPreparing int
}

// Options configure a controller.
type Options struct {
	// Self is the name by which this node identifies itself to engines.
	Self      string
	Authority *authority.Authority
	Wire      OrderProtocol
	Fleet     Fleet
	Pool      Pool
	Log       *logrus.Logger
	Services  func() []Service
	// Designated reports whether the other nodes expect this one to send orders. Two nodes may
	// both believe so; the lease decides between them.
	Designated func() bool
	// Hears reports whether any node of a region is heard from. It may be nil if the deployment
	// has only one region.
	Hears func(region string) bool
	// Unfenced tells that engines don't compare fences. In that case orders are recorded in
	// Store, which is not used otherwise.
	Unfenced bool
	Store    rowstore.Store
	// Metrics may be nil.
	Metrics *Metrics
}

// Controller plans the stages of engines and sends the orders.
type Controller struct {
	options  Options
	planners map[string]*stageplan.RegionalPlanner
	// unanswered is nil if engines compare fences.
	unanswered *unanswered
	// coldPhases holds the phases of the caches that were logged last.
	coldPhases map[coldKey]coldPhase
}

// New returns a controller.
func New(options Options) *Controller {
	c := &Controller{
		options: options, planners: make(map[string]*stageplan.RegionalPlanner), coldPhases: make(map[coldKey]coldPhase),
	}
	if options.Unfenced {
		c.unanswered = newUnanswered(options)
	}
	return c
}

// Run steps the controller until ctx ends, whenever this node is designated.
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
			c.endPhases()
			timer.Reset(standbyEvery)
			continue
		}
		c.Step(ctx)
		timer.Reset(decideEvery)
	}
}

// Step plans once for each service and sends the resulting orders.
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
			offered[region] = stageplan.OfferedLoad{
				ReadTokens: demand.ReadTokens, Requests: demand.Requests, MemoryTokens: demand.MemoryTokens,
				SharedTokens: demand.SharedTokens, SharedUnread: demand.SharedUnread,
			}
		}
		engines := fleet.Engines(service.Name, now)
		if c.unanswered != nil {
			c.unanswered.markChanging(fleet, engines, now)
		}
		planner.SetColdStart(stageplan.ColdStart{Selected: service.ColdStart, Empty: service.Empty, Switch: service.Switch, MaxOrders: service.MaxPreparing})
		orders := planner.Decide(now, engines, offered, c.hears)
		c.watchColdPhases(service.Name, planner, engines, now)
		c.giveAll(ctx, service, planner, orders)
	}
}

func (c *Controller) hears(region string) bool {
	return c.options.Hears == nil || c.options.Hears(region)
}

// maxParallelOrders is the number of orders sent concurrently, since an engine that doesn't
// respond delays its order until the timeout.
const maxParallelOrders = 8

// giveAll sends orders, several at a time.
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

// prepare returns the orders that may be sent to engines that don't compare fences.
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

// give sends an order if this node holds the authority. It logs the verdict of every order that
// it tried to send, so "order given" with the verdict rejected includes orders that could not
// be sent.
func (c *Controller) give(ctx context.Context, service Service, planner *stageplan.Planner, order stageplan.Order) Verdict {
	log := c.options.Log.WithFields(logrus.Fields{
		"worker": order.Worker, "region": order.Region, "prefill": order.Prefill, "reason": order.Reason,
		"reading_demand": planner.Demand().PrefillEngines, "writing_demand": planner.Demand().DecodeEngines,
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

// send checks the lease once more just before it sends the order. If engines don't compare
// fences, the order must not outlast the lease.
func (c *Controller) send(ctx context.Context, to worker.Worker, order stageplan.Order) (Verdict, string) {
	operation, held := c.options.Authority.Begin(ctx, orderTimeout)
	if !held {
		return Rejected, "the lease expired before the order was sent"
	}
	defer operation.End()
	request := c.options.Wire.StageOrder(to, order.Prefill, c.options.Self, operation.Fence)
	request.DirectOnly = true // orders of one holder come from one node
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
	if err := workerconn.Discard(answer, maxReply); err != nil {
		return Unknown, err.Error()
	}
	return c.options.Wire.OrderVerdict(answer.Status), ""
}
