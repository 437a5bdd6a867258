package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/retry"
	"github.com/tinarch/tinarch/internal/returns"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// errDeadline is the cause of a context that the call's deadline has ended.
var errDeadline = eris.New("the time for the request is over")

// Dispatcher serves calls. It is safe for concurrent use.
type Dispatcher struct {
	registry  *worker.Registry
	scheduler *scheduling.Scheduler
	pool      *workerconn.Pool
	wire      Wire
	log       *logrus.Logger
	metrics   *Metrics
	// nodes returns the number of nodes among which limits are divided.
	nodes         func() int
	loadReports   LoadReports
	retryLimits   retry.Limits
	crashDetector *crashDetector
	// quarantine knows the requests that crash workers.
	quarantine Quarantine
	turns      Turns
	// freshness returns the versions and ages of the data that decisions are based on.
	freshness func() Freshness
	// began counts a tenant's request that a worker has begun to run.
	began func(tenant string, at time.Time)
	// streamBegun records the streams that callers get, and mayBegin tells where they may begin.
	streamBegun func(stream worker.Stream)
	mayBegin    func(route *routing.Route, service string) Beginnings
	overload    Overload
	// waits lets late calls wait for engines, nil if there are no other nodes. heldCalls are
	// those that wait at this node.
	waits     Waits
	heldCalls *heldCalls
	// stop bounds calls by the end of the node's planned stop, and answerTimes tells which can end by then.
	stop        *stop
	answerTimes answerTimes
	// repeated charges for another run of a call that may have run already.
	repeated func(charge quota.Charge)
	// returned refunds such a charge.
	returned func(charge quota.Charge)

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	// outages estimates, by service, how long no worker will run calls.
	outages map[string]*retry.Outage
	// promisedUntil is the time, by service, up to which turns are promised to callers that
	// were refused one.
	promisedUntil map[string]time.Time
	// turnRates are the rates, by service, at which this node is granted turns.
	turnRates map[string]*turnRate
	// lateWaiters counts, by service, the calls that wait for the end of a pause although they
	// will be late.
	lateWaiters map[string]int
	// schedules hold, by service, when refused callers were asked to return.
	schedules map[string]*returns.Schedule
}

// Options configures a dispatcher.
type Options struct {
	Registry  *worker.Registry
	Scheduler *scheduling.Scheduler
	Pool      *workerconn.Pool
	Wire      Wire
	Log       *logrus.Logger
	Metrics   *Metrics
	Nodes     func() int
	// LoadReports may be nil if there are no other nodes.
	LoadReports LoadReports
	Retries     retry.Limits
	Overload    Overload
	// Freshness may be nil.
	Freshness func() Freshness
	// Began is called once for each request that a worker has begun to run, with the name of
	// its tenant. It may be nil.
	Began func(tenant string, at time.Time)
	// StreamBegun is called with each stream that may be continued, when a caller is about to get
	// its first event from this node. It may be nil.
	StreamBegun func(stream worker.Stream)
	// MayBegin returns where the streams of a route may begin at a service, anywhere if it is nil.
	MayBegin func(route *routing.Route, service string) Beginnings
	// Repeated is called before a worker gets a request that may have run already, with the
	// charge for this further run. It may be nil.
	Repeated func(charge quota.Charge)
	// Returned is called with the charge of each such run that provably did not happen. It may
	// be nil.
	Returned func(charge quota.Charge)
	// Quarantine keeps requests that crash workers away from them. It may be nil.
	Quarantine Quarantine
	// Turns grants turns at workers that limit their request rate. It may be nil if there are
	// none.
	Turns Turns
	// Waits lets late calls of the services that Overload.Waiting selects wait for engines. It
	// may be nil. HeldBytes bounds the memory of the calls that wait at this node.
	Waits     Waits
	HeldBytes int
}

// Freshness holds versions and ages of the data that a node's decisions are based on, for the
// log.
type Freshness struct {
	// Workers is the version of the worker list, and WorkersAge the time since the platform
	// last confirmed it.
	Workers    uint64
	WorkersAge time.Duration
	// DigestAge is the time since the last load message of the node that has been silent the
	// longest, zero if there is no other node.
	DigestAge time.Duration
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	freshness := options.Freshness
	if freshness == nil {
		freshness = func() Freshness { return Freshness{} }
	}
	began := options.Began
	if began == nil {
		began = func(string, time.Time) {}
	}
	streamBegun := options.StreamBegun
	if streamBegun == nil {
		streamBegun = func(worker.Stream) {}
	}
	mayBegin := options.MayBegin
	if mayBegin == nil {
		mayBegin = func(*routing.Route, string) Beginnings { return Beginnings{Anywhere: true} }
	}
	repeated := options.Repeated
	if repeated == nil {
		repeated = func(quota.Charge) {}
	}
	returned := options.Returned
	if returned == nil {
		returned = func(quota.Charge) {}
	}
	var quarantined Quarantine = noQuarantine{}
	if options.Quarantine != nil {
		quarantined = options.Quarantine
	}
	var turns Turns = noTurns{}
	if options.Turns != nil {
		turns = options.Turns
	}
	return &Dispatcher{
		stop:          newStop(),
		quarantine:    quarantined,
		turns:         turns,
		began:         began,
		streamBegun:   streamBegun,
		mayBegin:      mayBegin,
		overload:      options.Overload.withDefaults(),
		waits:         options.Waits,
		heldCalls:     &heldCalls{limit: options.HeldBytes},
		repeated:      repeated,
		returned:      returned,
		freshness:     freshness,
		registry:      options.Registry,
		scheduler:     options.Scheduler,
		pool:          options.Pool,
		wire:          options.Wire,
		log:           options.Log,
		metrics:       options.Metrics,
		nodes:         options.Nodes,
		loadReports:   options.LoadReports,
		retryLimits:   options.Retries,
		crashDetector: newCrashDetector(options.Pool.Look, options.Registry.IsDraining, func(id string) { options.Registry.Failed(id, time.Now()) }, quarantined, options.Log, options.Metrics),
		budgets:       make(map[string]*retry.Budget),
		outages:       make(map[string]*retry.Outage),
		promisedUntil: make(map[string]time.Time),
		lateWaiters:   make(map[string]int),
		schedules:     make(map[string]*returns.Schedule),
	}
}

// recordFirst records that a call is sent for the first time, which earns its service a
// fraction of a retry.
func (d *Dispatcher) recordFirst(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordRequest(d.nodes(), time.Now())
}

// spendRetry takes a retry from the service's budget. It returns false if none is left.
func (d *Dispatcher) spendRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(service).Spend(d.nodes(), time.Now())
}

func (d *Dispatcher) budget(service string) *retry.Budget {
	budget, known := d.budgets[service]
	if !known {
		budget = retry.NewBudget(d.retryLimits, d.nodes(), time.Now())
		d.budgets[service] = budget
	}
	return budget
}

// connectionLimit is this node's share of the connections to one worker, zero for no limit.
func (d *Dispatcher) connectionLimit(call *Call) int {
	return ConnectionShare(call.Service.MaxConnections, d.nodes())
}

// ConnectionShare is the share of one node in a limit of connections to one worker, zero if there is
// no limit. A tenth is left for nodes that don't agree on the number of nodes.
func ConnectionShare(limit, nodes int) int {
	if limit == 0 {
		return 0
	}
	return max(limit*9/10/max(nodes, 1), 2)
}

// Run serves a call until it has ended.
func (d *Dispatcher) Run(parent context.Context, call *Call, caller Caller) Outcome {
	ctx, cancel := context.WithDeadlineCause(parent, call.Deadline, errDeadline)
	defer cancel()
	ctx, detach := d.withStop(ctx)
	defer detach()
	s := &session{
		Dispatcher: d, call: call, caller: caller,
		excluded: make(map[string]bool), failed: make(map[string]bool), turnsHeld: make(map[string]time.Time),
		resumeAfter: call.LastEventID,
	}
	if call.Origin != nil {
		s.bound, s.software = true, call.Origin.Software
	}
	defer s.freeKept()
	defer s.endLateWait()
	defer s.countPrefixWait()
	defer func() { s.endWait("", waitLeft) }()
	call.Fingerprint, call.Parts = call.fingerprint(), quarantine.PartFingerprints(call.Prompt)
	d.recordFirst(call.Service.Name)
	for {
		if outcome, may := s.checkQuarantine(ctx); !may {
			return outcome
		}
		if refusal := s.stopRefusal(); refusal != nil {
			return s.givenUp(tryResult{verdict: notRun, err: refusal})
		}
		plan := s.plan(ctx)
		s.logPlan(plan)
		if plan.Mode == scheduling.Held {
			if err := s.hold(ctx, plan); err != nil {
				return s.givenUp(tryResult{verdict: notRun, err: err})
			}
			continue
		}
		if plan.Mode == scheduling.Refused {
			return s.refused(plan)
		}
		taken, err := s.takeTurns(ctx, plan)
		if err != nil {
			return s.givenUp(tryResult{verdict: notRun, err: err})
		}
		if !taken {
			continue
		}
		sent := time.Now()
		end := s.try(ctx, plan)
		s.returnTurns()
		if end.verdict != notRun {
			s.answerTimes.observe(call.Route.Name, time.Since(sent), time.Now())
		}
		if end.verdict == finished {
			return s.outcome(end)
		}
		mayTryAgain := s.mayTryAgain(end)
		s.logFailure(end, mayTryAgain)
		if !mayTryAgain {
			return s.givenUp(end)
		}
	}
}

// callerLeft reports whether an error means that the caller has left.
func callerLeft(err error) bool { return errors.Is(err, context.Canceled) }

// deadlinePassed reports whether an error means that the call's deadline has passed.
func deadlinePassed(err error) bool { return errors.Is(err, errDeadline) }

// codeOfLost returns the code of a call that was sent and whose answer is lost.
func codeOfLost(err error, repeatable bool) result.Code {
	switch {
	case callerLeft(err):
		return result.CallerGone
	case deadlinePassed(err):
		return result.DeadlineExceeded
	case repeatable:
		return result.AnswerCut
	}
	return result.OutcomeUnknown
}
