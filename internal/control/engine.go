// Package control decides which order an engine gets next. It compares what an
// engine should serve with what it was seen to serve, and is pure: its driver
// sends the orders and feeds back answers and status reports.
//
// Guarantees:
//
//   - An engine has at most one order outstanding. An order whose answer was lost
//     is repeated with the same identifier until its outcome is known.
//   - No order but a claim goes to an engine before it was claimed under the
//     current fence and read afterwards.
//   - A deployment is ordered only when no attempt is in flight or running.
package control

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/result"
)

// LostAfter is how long an engine may stay silent before it counts as lost.
const LostAfter = 3 * time.Second

// Desired is what an engine should do.
type Desired struct {
	// Deployment is what to serve. An empty model leaves the engine as it is.
	Deployment engine.Deployment
	SizeBytes  uint64
	// Drained keeps the engine without work, by an operator's word.
	Drained bool
}

// Reconciler tracks one engine under one fence.
type Reconciler struct {
	fence    engine.Fence
	sequence uint64

	observed   engine.Status
	observedAt time.Duration
	seen       bool
	// claimed is the incarnation claimed under fence, and readAfterClaim tells
	// that its status was read since.
	claimed        engine.Identifier
	readAfterClaim bool
	outstanding    *engine.Order
	// changing tells that a planned change is under way: no new work.
	changing  bool
	lastError string
}

// SetFence makes a new leader's fence current: all is to be claimed again.
func (e *Reconciler) SetFence(fence engine.Fence) {
	if fence == e.fence {
		return
	}
	e.fence = fence
	e.sequence = 0
	e.claimed = ""
	e.readAfterClaim = false
	e.outstanding = nil
	e.changing = false
}

// Observe takes a status report.
func (e *Reconciler) Observe(now time.Duration, status engine.Status) {
	if status.Incarnation != e.observed.Incarnation {
		// A new incarnation lost every order with the old one.
		e.outstanding = nil
		e.changing = false
		e.readAfterClaim = false
	}
	e.observed = status
	e.observedAt = now
	e.seen = true
	if e.claimed == status.Incarnation && status.Fence == e.fence {
		e.readAfterClaim = true
	}
	e.settle(status)
}

// settle drops the outstanding order when the engine reports its end.
func (e *Reconciler) settle(status engine.Status) {
	if e.outstanding == nil || status.LastOrder != e.outstanding.ID {
		return
	}
	if e.outstanding.Type == engine.OrderClaim {
		e.claimed = status.Incarnation
		e.readAfterClaim = status.Fence == e.fence
	}
	e.outstanding = nil
	e.lastError = ""
}

// HandleOrderResult takes the outcome of sending an order. A refusal proves that the
// order has no effect; any other failure leaves it outstanding.
func (e *Reconciler) HandleOrderResult(now time.Duration, order engine.Order, status engine.Status, err error) {
	if err == nil {
		e.Observe(now, status)
		return
	}
	e.lastError = err.Error()
	if e.outstanding == nil || e.outstanding.ID != order.ID {
		return
	}
	switch result.CodeOf(err) {
	case result.FenceStale, result.IncarnationMismatch, result.EngineBusy, result.InvalidRequest, result.NoEngine:
		e.outstanding = nil
	}
}

// LastStatus returns the last status report, and false when there is none.
func (e *Reconciler) LastStatus() (engine.Status, bool) { return e.observed, e.seen }

// ReportAge returns the time since the last status report.
func (e *Reconciler) ReportAge(now time.Duration) time.Duration { return now - e.observedAt }

// LastError returns the last difficulty met, empty when there is none.
func (e *Reconciler) LastError() string { return e.lastError }

// Lost reports whether the engine has been silent for too long.
func (e *Reconciler) Lost(now time.Duration) bool { return !e.seen || now-e.observedAt > LostAfter }

// ClaimConfirmed reports whether the engine was claimed under the current fence and read
// since.
func (e *Reconciler) ClaimConfirmed() bool {
	return e.readAfterClaim && e.claimed == e.observed.Incarnation
}

// Changing reports whether a planned change is under way.
func (e *Reconciler) Changing() bool { return e.changing }

// Availability tells whether the engine may get work.
func (e *Reconciler) Availability(now time.Duration, desired Desired) placement.Availability {
	switch {
	case e.Lost(now):
		return placement.Lost
	case !e.ClaimConfirmed():
		return placement.Unknown
	case e.observed.Changing != "":
		return placement.Changing
	case e.changing || e.observed.Draining || desired.Drained:
		return placement.Draining
	case e.observed.Deployment.Model == "":
		return placement.Empty
	}
	return placement.Ready
}

// FollowerAvailability tells whether an engine may get work from a node that does
// not lead: some leader has claimed it, and it reports no change under way. The
// engine itself refuses what does not fit it any more.
func (e *Reconciler) FollowerAvailability(now time.Duration) placement.Availability {
	switch {
	case e.Lost(now):
		return placement.Lost
	case e.observed.Fence == 0:
		return placement.Unknown
	case e.observed.Changing != "":
		return placement.Changing
	case e.observed.Draining:
		return placement.Draining
	case e.observed.Deployment.Model == "":
		return placement.Empty
	}
	return placement.Ready
}

// NextOrder returns the order to send now, if any. inFlight counts the attempts placed
// and not finished; mayChange tells whether a planned change may begin.
func (e *Reconciler) NextOrder(now time.Duration, desired Desired, inFlight int, mayChange bool) (engine.Order, bool) {
	if e.Lost(now) {
		return engine.Order{}, false
	}
	if e.outstanding != nil {
		if e.observed.Changing == e.outstanding.ID {
			return engine.Order{}, false // accepted and in progress
		}
		return *e.outstanding, true
	}
	if !e.ClaimConfirmed() {
		return e.issue(engine.Order{Type: engine.OrderClaim}), true
	}
	if e.observed.Changing != "" {
		return engine.Order{}, false // an earlier leader's order runs to its end
	}
	return e.reconcile(desired, inFlight, mayChange)
}

func (e *Reconciler) reconcile(desired Desired, inFlight int, mayChange bool) (engine.Order, bool) {
	if e.matches(desired.Deployment) {
		e.changing = false
		return e.setDrain(desired.Drained)
	}
	if !e.changing && !mayChange {
		return engine.Order{}, false
	}
	e.changing = true
	if inFlight > 0 {
		return engine.Order{}, false
	}
	if !e.observed.Draining {
		return e.issue(engine.Order{Type: engine.OrderDrain}), true
	}
	if e.observed.Running > 0 {
		return engine.Order{}, false
	}
	target := desired.Deployment
	return e.issue(engine.Order{Type: engine.OrderDeploy, Target: &target, SizeBytes: e.bytesToLoad(desired)}), true
}

// setDrain brings the engine's drain flag in line.
func (e *Reconciler) setDrain(drained bool) (engine.Order, bool) {
	switch {
	case drained && !e.observed.Draining:
		return e.issue(engine.Order{Type: engine.OrderDrain}), true
	case !drained && e.observed.Draining:
		return e.issue(engine.Order{Type: engine.OrderUndrain}), true
	}
	return engine.Order{}, false
}

func (e *Reconciler) matches(target engine.Deployment) bool {
	if target.Model == "" {
		return true
	}
	if !e.observed.Deployment.Serves(target) {
		return false
	}
	for _, adapter := range target.Adapters {
		if !e.observed.Deployment.HasAdapter(adapter) {
			return false
		}
	}
	return true
}

// NeedsLoad reports whether reaching the desired state loads weights.
func (e *Reconciler) NeedsLoad(desired Desired) bool {
	return !e.matches(desired.Deployment) && e.bytesToLoad(desired) > 0
}

// bytesToLoad returns the size of the weights that are not there yet.
func (e *Reconciler) bytesToLoad(desired Desired) uint64 {
	current, target := e.observed.Deployment, desired.Deployment
	if current.Model == target.Model && current.Version == target.Version {
		return 0
	}
	return desired.SizeBytes
}

func (e *Reconciler) issue(order engine.Order) engine.Order {
	e.sequence++
	order.ID = engine.NewIdentifier()
	order.Fence = e.fence
	order.Sequence = e.sequence
	order.Incarnation = e.observed.Incarnation
	e.outstanding = &order
	return order
}
