package control

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/result"
)

var (
	version1 = engine.Deployment{Model: "m", Version: "1", Role: engine.RoleMixed}
	version2 = engine.Deployment{Model: "m", Version: "2", Role: engine.RoleMixed}
)

// fakeEngine executes each order at once.
type fakeEngine struct{ status engine.Status }

func (f *fakeEngine) execute(order engine.Order) engine.Status {
	f.status.Fence = order.Fence
	f.status.LastOrder = order.ID
	switch order.Type {
	case engine.OrderDrain:
		f.status.Draining = true
	case engine.OrderUndrain:
		f.status.Draining = false
	case engine.OrderDeploy:
		f.status.Deployment = *order.Target
	}
	return f.status
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{status: engine.Status{Incarnation: "i1", Deployment: version1}}
}

func newReconciler(f *fakeEngine) *Reconciler {
	r := &Reconciler{}
	r.SetFence(7)
	r.Observe(0, f.status)
	return r
}

func expectOrder(t *testing.T, r *Reconciler, desired Desired, inFlight int, want engine.OrderType) engine.Order {
	t.Helper()
	order, ok := r.NextOrder(0, desired, inFlight, true)
	if !ok || order.Type != want {
		t.Fatalf("next order %q (%v), want %q", order.Type, ok, want)
	}
	return order
}

func expectNoOrder(t *testing.T, r *Reconciler, desired Desired, inFlight int) {
	t.Helper()
	if order, ok := r.NextOrder(0, desired, inFlight, true); ok {
		t.Fatalf("unexpected order %q", order.Type)
	}
}

func TestChangeDrainsDeploysAndUndrains(t *testing.T) {
	f := newFakeEngine()
	r := newReconciler(f)
	desired := Desired{Deployment: version2, SizeBytes: 100}
	if got := r.Availability(0, desired); got != placement.Unknown {
		t.Errorf("unclaimed engine is %v, want unknown", got)
	}
	claim := expectOrder(t, r, desired, 0, engine.OrderClaim)
	r.HandleOrderResult(0, claim, f.execute(claim), nil)
	expectNoOrder(t, r, desired, 1) // an attempt is in flight
	if got := r.Availability(0, desired); got != placement.Draining {
		t.Errorf("engine before its change is %v, want draining", got)
	}
	drain := expectOrder(t, r, desired, 0, engine.OrderDrain)
	r.HandleOrderResult(0, drain, f.execute(drain), nil)
	f.status.Running = 1
	r.Observe(0, f.status)
	expectNoOrder(t, r, desired, 0) // an attempt is still running on the engine
	f.status.Running = 0
	r.Observe(0, f.status)
	deploy := expectOrder(t, r, desired, 0, engine.OrderDeploy)
	if deploy.SizeBytes != 100 || deploy.Fence != 7 || deploy.Incarnation != "i1" {
		t.Errorf("deploy order %+v, want 100 bytes, fencing token 7 and incarnation i1", deploy)
	}
	r.HandleOrderResult(0, deploy, f.execute(deploy), nil)
	undrain := expectOrder(t, r, desired, 0, engine.OrderUndrain)
	r.HandleOrderResult(0, undrain, f.execute(undrain), nil)
	expectNoOrder(t, r, desired, 0)
	if got := r.Availability(0, desired); got != placement.Ready {
		t.Errorf("engine after its change is %v, want ready", got)
	}
}

func TestLostAnswerRepeatsTheSameOrder(t *testing.T) {
	f := newFakeEngine()
	r := newReconciler(f)
	claim := expectOrder(t, r, Desired{}, 0, engine.OrderClaim)
	r.HandleOrderResult(0, claim, engine.Status{}, result.New(result.EngineDown, "no answer"))
	again := expectOrder(t, r, Desired{}, 0, engine.OrderClaim)
	if again.ID != claim.ID || again.Sequence != claim.Sequence {
		t.Fatalf("the order was repeated as %+v, want the first one, %+v", again, claim)
	}
	// The order took effect although its reply was lost; the next status report shows it.
	r.Observe(0, f.execute(claim))
	expectNoOrder(t, r, Desired{}, 0)
}

func TestRefusedOrderIsDropped(t *testing.T) {
	r := newReconciler(newFakeEngine())
	claim := expectOrder(t, r, Desired{}, 0, engine.OrderClaim)
	r.HandleOrderResult(0, claim, engine.Status{}, result.New(result.IncarnationMismatch, "restarted"))
	if again := expectOrder(t, r, Desired{}, 0, engine.OrderClaim); again.ID == claim.ID {
		t.Error("a refused order was repeated")
	}
}

func TestCrashedEngineIsUnknownUntilClaimedAndRead(t *testing.T) {
	f := newFakeEngine()
	r := newReconciler(f)
	claim := expectOrder(t, r, Desired{}, 0, engine.OrderClaim)
	r.HandleOrderResult(0, claim, f.execute(claim), nil)
	f.status = engine.Status{Incarnation: "i2"}
	r.Observe(0, f.status)
	if got := r.Availability(0, Desired{}); got != placement.Unknown {
		t.Errorf("restarted engine is %v, want unknown", got)
	}
	if order := expectOrder(t, r, Desired{}, 0, engine.OrderClaim); order.Incarnation != "i2" {
		t.Errorf("claim is for incarnation %s, want i2", order.Incarnation)
	}
}

func TestNewFenceClaimsAgain(t *testing.T) {
	f := newFakeEngine()
	r := newReconciler(f)
	claim := expectOrder(t, r, Desired{}, 0, engine.OrderClaim)
	r.HandleOrderResult(0, claim, f.execute(claim), nil)
	r.SetFence(8)
	if order := expectOrder(t, r, Desired{}, 0, engine.OrderClaim); order.Fence != 8 {
		t.Errorf("claim has fencing token %d, want 8", order.Fence)
	}
}

func TestSilentEngineGetsNoOrder(t *testing.T) {
	r := newReconciler(newFakeEngine())
	if _, ok := r.NextOrder(LostAfter+time.Millisecond, Desired{}, 0, true); ok {
		t.Error("a lost engine got an order")
	}
	if got := r.Availability(LostAfter+time.Millisecond, Desired{}); got != placement.Lost {
		t.Errorf("silent engine is %v, want lost", got)
	}
}

func TestChangeWaitsForPermission(t *testing.T) {
	f := newFakeEngine()
	r := newReconciler(f)
	claim := expectOrder(t, r, Desired{}, 0, engine.OrderClaim)
	r.HandleOrderResult(0, claim, f.execute(claim), nil)
	if _, ok := r.NextOrder(0, Desired{Deployment: version2}, 0, false); ok || r.Changing() {
		t.Error("a change began although mayChange is false")
	}
}
