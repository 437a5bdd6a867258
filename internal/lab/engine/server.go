package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"
)

// Options configure an emulated engine.
type Options struct {
	Name  string
	Model Model
	// TimeScale multiplies all modelled durations: at 0.1 the engine runs ten times as fast.
	TimeScale float64
	// ReportLag is the age at which load reports and cache events are published.
	ReportLag time.Duration
	// DropCacheEvents drops every n-th cache event; zero drops none.
	DropCacheEvents uint64
	// Retention is how long a finished stream can be resumed; zero means 30 s.
	Retention time.Duration
	// Deployment is what the engine serves at its first start. An engine with the zero value
	// serves nothing until it gets a deploy order.
	Deployment engine.Deployment
	// Without disables guards, to show that the checks then report violations.
	Without Guards
}

// Guards selects checks of an engine that can be disabled.
type Guards struct {
	// Fence is the check that refuses orders with a lower fence than one seen before.
	Fence bool
	// Incarnation is the check that refuses orders for another incarnation.
	Incarnation bool
}

// Counters counts what the engine did in all its incarnations. Tests check them, as they show
// what engines saw and not what nodes report.
type Counters struct {
	Accepted       int            `json:"accepted"`
	Finished       int            `json:"finished"`
	Cancelled      int            `json:"cancelled"`
	CutByOrder     int            `json:"cut_by_order"`
	CutByCrash     int            `json:"cut_by_crash"`
	RefusedTickets int            `json:"refused_tickets"`
	Orders         map[string]int `json:"orders"`
	StaleOrders    int            `json:"stale_orders"`
	PromptTokens   int64          `json:"prompt_tokens"`
	CachedTokens   int64          `json:"cached_tokens"`
	OutputTokens   int64          `json:"output_tokens"`
	RoleChanges    int            `json:"role_changes"`
	// UnfencedOrders counts orders that took effect with a lower fence than an earlier claim of
	// the engine, in any incarnation. It must stay zero.
	UnfencedOrders int `json:"unfenced_orders"`
	// UnclaimedOrders counts orders that took effect in an incarnation that the sender's fence
	// had not claimed. It must stay zero.
	UnclaimedOrders int `json:"unclaimed_orders"`
}

// Faults are the faults that an engine injects.
type Faults struct {
	// BreakAfter breaks the connection of each stream once, after this many events.
	BreakAfter int `json:"break_after"`
	// CrossEvents sends an event of another attempt before each event whose number is a
	// multiple of it.
	CrossEvents int `json:"cross_events"`
	// RepeatEvents sends each event twice whose number is a multiple of it.
	RepeatEvents int `json:"repeat_events"`
	// LoseOrderReplies is the number of orders that take effect but get no answer.
	LoseOrderReplies int `json:"lose_order_replies"`
	// LoseAcceptReplies is the number of requests that are accepted and then lose their
	// connection before the first byte of the answer.
	LoseAcceptReplies int `json:"lose_accept_replies"`
	// CrashOn crashes the engine when it has accepted a request whose prompt contains this
	// text. The engine is available again at once, as another incarnation.
	CrashOn string `json:"crash_on"`
	// RefuseRequests is the number of requests that are refused like ones with a wrong ticket.
	RefuseRequests int `json:"refuse_requests"`
}

// Engine is an emulated engine with its HTTP server.
type Engine struct {
	options Options
	server  *http.Server
	address string

	mu          sync.Mutex
	incarnation engine.Identifier
	deployment  engine.Deployment
	draining    bool
	fence       engine.Fence
	sequence    uint64
	changing    *engine.Order
	lastOrder   engine.Identifier
	down        bool
	batch       *batch
	streams     map[engine.Identifier]*stream
	// accepted holds the attempts accepted by this incarnation, for engine.AttemptRetention,
	// which is longer than their streams are kept. tombstones holds the attempts to be refused,
	// for the whole incarnation.
	accepted   map[engine.Identifier]time.Time
	tombstones map[engine.Identifier]bool
	events     eventLog
	reports    reportLog
	counters   Counters
	faults     Faults
	// claimedFence is the highest fence that claimed the engine in any incarnation, and claims
	// holds the fences that claimed this one. They serve only the counters that must stay zero.
	claimedFence      engine.Fence
	incarnationClaims map[engine.Fence]bool
	lastAccepted      time.Time
	// runs counts the accepted attempts by text seed, over all incarnations.
	runs     map[uint64]int
	wake     chan struct{}
	stop     context.CancelFunc
	finished sync.WaitGroup
}

// Start starts an emulated engine that listens on the address; port zero selects a free port.
func Start(address string, options Options) (*Engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "engine %s can't listen on %s", options.Name, address)
	}
	if options.TimeScale <= 0 {
		options.TimeScale = 1
	}
	if options.Retention <= 0 {
		options.Retention = 30 * time.Second
	}
	e := &Engine{options: options, address: listener.Addr().String(), wake: make(chan struct{}, 1)}
	e.deployment = options.Deployment
	e.counters.Orders = map[string]int{}
	e.runs = map[uint64]int{}
	e.reset()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	e.finished.Add(2)
	go func() {
		defer e.finished.Done()
		_ = e.server.Serve(listener)
	}()
	go func() {
		defer e.finished.Done()
		e.loop(ctx)
	}()
	return e, nil
}

// Address returns the engine's host and port.
func (e *Engine) Address() string { return e.address }

// Name returns the engine's name.
func (e *Engine) Name() string { return e.options.Name }

// Close stops the engine.
func (e *Engine) Close() {
	e.stop()
	_ = e.server.Close()
	e.finished.Wait()
}

// Counters returns a copy of the engine's counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.counters
	copied.Orders = map[string]int{}
	for name, count := range e.counters.Orders {
		copied.Orders[name] = count
	}
	return copied
}

// LastAccepted returns when the engine last accepted an attempt.
func (e *Engine) LastAccepted() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAccepted
}

// Runs adds the number of attempts that the engine accepted to total, by text seed.
func (e *Engine) Runs(total map[uint64]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for seed, count := range e.runs {
		total[seed] += count
	}
}

// SetFaults replaces the current faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash drops the engine's state and connections. After downtime the engine answers again, as a
// new incarnation without a deployment or with the one that was being loaded.
func (e *Engine) Crash(downtime time.Duration) {
	e.mu.Lock()
	for _, s := range e.streams {
		if !s.finished() {
			e.counters.CutByCrash++
		}
		s.abort()
	}
	interrupted := e.changing
	e.deployment = engine.Deployment{}
	if interrupted != nil && interrupted.Target != nil && time.Now().UnixNano()%2 == 0 {
		// After a crash while weights were loading, the engine may have the new deployment or
		// none.
		e.deployment = *interrupted.Target
	}
	e.reset()
	e.down = downtime > 0
	e.mu.Unlock()
	if downtime > 0 {
		time.AfterFunc(downtime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.down = false
		})
	}
}

// reset starts a new incarnation.
func (e *Engine) reset() {
	e.incarnation = engine.NewIdentifier()
	e.draining = false
	e.fence, e.sequence = 0, 0
	e.incarnationClaims = map[engine.Fence]bool{}
	e.changing = nil
	e.lastOrder = ""
	e.streams = map[engine.Identifier]*stream{}
	e.accepted = map[engine.Identifier]time.Time{}
	e.tombstones = map[engine.Identifier]bool{}
	e.events = eventLog{lag: e.options.ReportLag, dropEvery: e.options.DropCacheEvents}
	e.reports = reportLog{lag: e.options.ReportLag}
	e.batch = newBatch(e.options.Model, func(kind engine.CacheEventType, block prefix.Hash) {
		e.events.add(kind, block)
	})
}

func (e *Engine) scaleTime(modelled time.Duration) time.Duration {
	return time.Duration(float64(modelled) * e.options.TimeScale)
}

// loop runs iterations while there is work, and removes expired streams while there is none.
func (e *Engine) loop(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		step, current := e.beginIteration()
		if step == 0 {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-time.After(100 * time.Millisecond):
				e.expire(time.Now())
			}
			next = time.Now()
			continue
		}
		// The end of the iteration is computed, not measured, so that late timers don't slow
		// down the modelled engine. If it is more than 50 ms late, the computation goes on from
		// the current time.
		next = next.Add(e.scaleTime(step))
		if lag := time.Since(next); lag > 50*time.Millisecond {
			next = time.Now()
		}
		time.Sleep(time.Until(next))
		e.finishIteration(current)
	}
}

func (e *Engine) beginIteration() (time.Duration, *batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.add(e.currentLoad())
	if e.batch.idle() {
		return 0, nil
	}
	return e.batch.begin(), e.batch
}

func (e *Engine) finishIteration(current *batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current != e.batch {
		return // the engine has crashed during the iteration
	}
	for _, p := range current.finish() {
		s := e.streams[p.attempt]
		if s == nil {
			continue
		}
		e.counters.OutputTokens++
		if p.done {
			e.counters.Finished++
			s.finishedAt = time.Now()
		}
		s.advance(p.generated, p.done)
	}
}

func (e *Engine) currentLoad() engine.Load {
	model := e.options.Model
	mixedStep := model.iterationTime(model.ChunkTokens, 0)
	return engine.Load{
		Running:                len(e.batch.running),
		Waiting:                len(e.batch.waiting),
		PendingPromptTokens:    int64(e.batch.pendingPromptTokens()),
		MemoryUsedTokens:       int64(e.batch.reserved),
		MemoryTotalTokens:      int64(model.MemoryTokens),
		PrefillTokensPerSecond: float64(model.ChunkTokens) / e.scaleTime(mixedStep).Seconds(),
		DecodeStepMillis:       e.scaleTime(model.StepBase).Seconds() * 1000,
		MixedStepMillis:        e.scaleTime(mixedStep).Seconds() * 1000,
	}
}

// expire removes streams after their retention, and accepted attempts after theirs, which is
// longer.
func (e *Engine) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for attempt, s := range e.streams {
		if s.finished() && now.Sub(s.finishedAt) > e.options.Retention {
			delete(e.streams, attempt)
		}
	}
	for attempt, at := range e.accepted {
		if now.Sub(at) > engine.AttemptRetention {
			delete(e.accepted, attempt)
		}
	}
}

// Add adds the counters of another engine to c.
func (c *Counters) Add(other Counters) {
	c.Accepted += other.Accepted
	c.Finished += other.Finished
	c.Cancelled += other.Cancelled
	c.CutByOrder += other.CutByOrder
	c.CutByCrash += other.CutByCrash
	c.RefusedTickets += other.RefusedTickets
	c.StaleOrders += other.StaleOrders
	c.PromptTokens += other.PromptTokens
	c.CachedTokens += other.CachedTokens
	c.OutputTokens += other.OutputTokens
	c.RoleChanges += other.RoleChanges
	c.UnfencedOrders += other.UnfencedOrders
	c.UnclaimedOrders += other.UnclaimedOrders
	if c.Orders == nil {
		c.Orders = map[string]int{}
	}
	for name, count := range other.Orders {
		c.Orders[name] += count
	}
}
