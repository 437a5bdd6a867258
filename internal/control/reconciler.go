// Package control decides which order an engine gets next, by comparing what the engine should
// serve with what it last reported. It does no I/O and reads no clock: its caller sends the
// orders and passes in replies and status reports.
//
// Guarantees:
//
//   - An engine has at most one outstanding order. If the reply to an order is lost, the
//     same order is sent again with the same identifier until its outcome is known.
//   - An engine gets no order other than a claim until it has been claimed with the current
//     fencing token and a status report has confirmed that.
//   - A deploy order is issued only when no attempt is in flight to the engine or running
//     on it.
package control

import (
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/result"
)

// LostAfter is the age of the last status report from which an engine counts as lost.
const LostAfter = 3 * time.Second

// Desired is the state that an engine should reach.
type Desired struct {
	// Deployment is what the engine should serve. If its model is empty, the engine keeps what
	// it has.
	Deployment engine.Deployment
	SizeBytes  uint64
	// Drained keeps requests away from the engine, because an operator has drained it.
	Drained bool
}

// Reconciler brings one engine to its desired state, on behalf of a leader with one fencing
// token.
type Reconciler struct {
	fence    engine.Fence
	sequence uint64

	status    engine.Status
	statusAt  time.Duration
	hasStatus bool
	// claimedIncarnation is the incarnation that was claimed with the current fencing token,
	// and claimConfirmed says that a status report has shown the token since.
	claimedIncarnation engine.Identifier
	claimConfirmed     bool
	outstanding        *engine.Order
	// changing says that a change of the deployment is under way, so the engine gets no new
	// requests.
	changing  bool
	lastError string
}

// SetFence sets the fencing token of a new leader. The engine then has to be claimed again.
func (r *Reconciler) SetFence(fence engine.Fence) {
	if fence == r.fence {
		return
	}
	r.fence = fence
	r.sequence = 0
	r.claimedIncarnation = ""
	r.claimConfirmed = false
	r.outstanding = nil
	r.changing = false
}

// Observe records a status report.
func (r *Reconciler) Observe(now time.Duration, status engine.Status) {
	if status.Incarnation != r.status.Incarnation {
		// The engine has restarted, so no earlier order is in effect or in progress.
		r.outstanding = nil
		r.changing = false
		r.claimConfirmed = false
	}
	r.status = status
	r.statusAt = now
	r.hasStatus = true
	if r.claimedIncarnation == status.Incarnation && status.Fence == r.fence {
		r.claimConfirmed = true
	}
	r.completeOrder(status)
}

// completeOrder clears the outstanding order when the engine reports that it took effect.
func (r *Reconciler) completeOrder(status engine.Status) {
	if r.outstanding == nil || status.LastOrder != r.outstanding.ID {
		return
	}
	if r.outstanding.Type == engine.OrderClaim {
		r.claimedIncarnation = status.Incarnation
		r.claimConfirmed = status.Fence == r.fence
	}
	r.outstanding = nil
	r.lastError = ""
}

// HandleOrderResult records the outcome of sending an order. The result codes below prove that
// the engine refused the order and that it has no effect; after any other failure the order
// stays outstanding, since it may have been accepted.
func (r *Reconciler) HandleOrderResult(now time.Duration, order engine.Order, status engine.Status, err error) {
	if err == nil {
		r.Observe(now, status)
		return
	}
	r.lastError = err.Error()
	if r.outstanding == nil || r.outstanding.ID != order.ID {
		return
	}
	switch result.CodeOf(err) {
	case result.FenceStale, result.IncarnationMismatch, result.EngineBusy, result.InvalidRequest, result.NoEngine:
		r.outstanding = nil
	}
}

// LastStatus returns the last status report, and false if there has been none.
func (r *Reconciler) LastStatus() (engine.Status, bool) { return r.status, r.hasStatus }

// ReportAge returns the time since the last status report.
func (r *Reconciler) ReportAge(now time.Duration) time.Duration { return now - r.statusAt }

// LastError returns the error of the last order that failed, or an empty string if an order has
// taken effect since.
func (r *Reconciler) LastError() string { return r.lastError }

// Lost reports whether the last status report is missing or older than LostAfter.
func (r *Reconciler) Lost(now time.Duration) bool { return !r.hasStatus || now-r.statusAt > LostAfter }

// ClaimConfirmed reports whether the engine's current incarnation was claimed with the current
// fencing token and a status report has confirmed it.
func (r *Reconciler) ClaimConfirmed() bool {
	return r.claimConfirmed && r.claimedIncarnation == r.status.Incarnation
}

// Changing reports whether a change of the deployment is under way.
func (r *Reconciler) Changing() bool { return r.changing }

// Availability says whether the leader may place requests on the engine.
func (r *Reconciler) Availability(now time.Duration, desired Desired) placement.Availability {
	switch {
	case r.Lost(now):
		return placement.Lost
	case !r.ClaimConfirmed():
		return placement.Unknown
	case r.status.Changing != "":
		return placement.Changing
	case r.changing || r.status.Draining || desired.Drained:
		return placement.Draining
	case r.status.Deployment.Model == "":
		return placement.Empty
	}
	return placement.Ready
}

// FollowerAvailability says whether a node that is not the leader may place requests on the
// engine: some leader has claimed it, and it reports no change in progress. The node's
// information may be outdated, but the engine refuses requests that don't match its state.
func (r *Reconciler) FollowerAvailability(now time.Duration) placement.Availability {
	switch {
	case r.Lost(now):
		return placement.Lost
	case r.status.Fence == 0:
		return placement.Unknown
	case r.status.Changing != "":
		return placement.Changing
	case r.status.Draining:
		return placement.Draining
	case r.status.Deployment.Model == "":
		return placement.Empty
	}
	return placement.Ready
}

// NextOrder returns the order to send now, if any. inFlight counts the attempts that were
// placed on the engine and have not finished, and mayChange permits to begin a change of the
// deployment.
func (r *Reconciler) NextOrder(now time.Duration, desired Desired, inFlight int, mayChange bool) (engine.Order, bool) {
	if r.Lost(now) {
		return engine.Order{}, false
	}
	if r.outstanding != nil {
		if r.status.Changing == r.outstanding.ID {
			return engine.Order{}, false // accepted and in progress
		}
		return *r.outstanding, true
	}
	if !r.ClaimConfirmed() {
		return r.newOrder(engine.Order{Type: engine.OrderClaim}), true
	}
	if r.status.Changing != "" {
		return engine.Order{}, false // an order of an earlier leader is in progress
	}
	return r.reconcile(desired, inFlight, mayChange)
}

func (r *Reconciler) reconcile(desired Desired, inFlight int, mayChange bool) (engine.Order, bool) {
	if r.serves(desired.Deployment) {
		r.changing = false
		return r.setDrain(desired.Drained)
	}
	if !r.changing && !mayChange {
		return engine.Order{}, false
	}
	r.changing = true
	if inFlight > 0 {
		return engine.Order{}, false
	}
	if !r.status.Draining {
		return r.newOrder(engine.Order{Type: engine.OrderDrain}), true
	}
	if r.status.Running > 0 {
		return engine.Order{}, false
	}
	target := desired.Deployment
	return r.newOrder(engine.Order{Type: engine.OrderDeploy, Target: &target, SizeBytes: r.bytesToLoad(desired)}), true
}

// setDrain returns the order that makes the engine's drain flag equal to drained, if one is
// needed.
func (r *Reconciler) setDrain(drained bool) (engine.Order, bool) {
	switch {
	case drained && !r.status.Draining:
		return r.newOrder(engine.Order{Type: engine.OrderDrain}), true
	case !drained && r.status.Draining:
		return r.newOrder(engine.Order{Type: engine.OrderUndrain}), true
	}
	return engine.Order{}, false
}

func (r *Reconciler) serves(target engine.Deployment) bool {
	if target.Model == "" {
		return true
	}
	if !r.status.Deployment.Serves(target) {
		return false
	}
	for _, adapter := range target.Adapters {
		if !r.status.Deployment.HasAdapter(adapter) {
			return false
		}
	}
	return true
}

// NeedsLoad reports whether the engine has to load weights to reach the desired state.
func (r *Reconciler) NeedsLoad(desired Desired) bool {
	return !r.serves(desired.Deployment) && r.bytesToLoad(desired) > 0
}

// bytesToLoad returns the size of the weights to load, zero if the engine serves that model
// version already.
func (r *Reconciler) bytesToLoad(desired Desired) uint64 {
	current, target := r.status.Deployment, desired.Deployment
	if current.Model == target.Model && current.Version == target.Version {
		return 0
	}
	return desired.SizeBytes
}

func (r *Reconciler) newOrder(order engine.Order) engine.Order {
	r.sequence++
	order.ID = engine.NewIdentifier()
	order.Fence = r.fence
	order.Sequence = r.sequence
	order.Incarnation = r.status.Incarnation
	r.outstanding = &order
	return order
}
