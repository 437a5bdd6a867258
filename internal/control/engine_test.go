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

// fake is an engine that obeys, without time.
type fake struct{ status engine.Status }

func (f *fake) obey(order engine.Order) engine.Status {
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

func newFake() *fake {
	return &fake{status: engine.Status{Incarnation: "i1", Deployment: version1}}
}

func tracked(f *fake) *Reconciler {
	e := &Reconciler{}
	e.SetFence(7)
	e.Observe(0, f.status)
	return e
}

func next(t *testing.T, e *Reconciler, desired Desired, inFlight int, want engine.OrderType) engine.Order {
	t.Helper()
	order, ok := e.NextOrder(0, desired, inFlight, true)
	if !ok || order.Type != want {
		t.Fatalf("next order %q (%v), want %q", order.Type, ok, want)
	}
	return order
}

func none(t *testing.T, e *Reconciler, desired Desired, inFlight int) {
	t.Helper()
	if order, ok := e.NextOrder(0, desired, inFlight, true); ok {
		t.Fatalf("unexpected order %q", order.Type)
	}
}

func TestChangeDrainsDeploysAndReturns(t *testing.T) {
	f := newFake()
	e := tracked(f)
	desired := Desired{Deployment: version2, SizeBytes: 100}
	if got := e.Availability(0, desired); got != placement.Unknown {
		t.Errorf("unclaimed engine is %v", got)
	}
	claim := next(t, e, desired, 0, engine.OrderClaim)
	e.HandleOrderResult(0, claim, f.obey(claim), nil)
	none(t, e, desired, 1) // an attempt is in flight
	if got := e.Availability(0, desired); got != placement.Draining {
		t.Errorf("engine before its change is %v", got)
	}
	drain := next(t, e, desired, 0, engine.OrderDrain)
	e.HandleOrderResult(0, drain, f.obey(drain), nil)
	f.status.Running = 1
	e.Observe(0, f.status)
	none(t, e, desired, 0) // the engine still runs one
	f.status.Running = 0
	e.Observe(0, f.status)
	deploy := next(t, e, desired, 0, engine.OrderDeploy)
	if deploy.SizeBytes != 100 || deploy.Fence != 7 || deploy.Incarnation != "i1" {
		t.Errorf("deploy order %+v", deploy)
	}
	e.HandleOrderResult(0, deploy, f.obey(deploy), nil)
	undrain := next(t, e, desired, 0, engine.OrderUndrain)
	e.HandleOrderResult(0, undrain, f.obey(undrain), nil)
	none(t, e, desired, 0)
	if got := e.Availability(0, desired); got != placement.Ready {
		t.Errorf("engine after its change is %v", got)
	}
}

func TestLostAnswerRepeatsTheSameOrder(t *testing.T) {
	f := newFake()
	e := tracked(f)
	claim := next(t, e, Desired{}, 0, engine.OrderClaim)
	e.HandleOrderResult(0, claim, engine.Status{}, result.New(result.EngineDown, "no answer"))
	again := next(t, e, Desired{}, 0, engine.OrderClaim)
	if again.ID != claim.ID || again.Sequence != claim.Sequence {
		t.Fatalf("repeated as another order: %+v, first %+v", again, claim)
	}
	// The order took effect although its answer was lost: a status tells.
	e.Observe(0, f.obey(claim))
	none(t, e, Desired{}, 0)
}

func TestRefusedOrderIsDropped(t *testing.T) {
	e := tracked(newFake())
	claim := next(t, e, Desired{}, 0, engine.OrderClaim)
	e.HandleOrderResult(0, claim, engine.Status{}, result.New(result.IncarnationMismatch, "restarted"))
	if again := next(t, e, Desired{}, 0, engine.OrderClaim); again.ID == claim.ID {
		t.Error("a refused order was repeated")
	}
}

func TestCrashedEngineIsUnknownUntilClaimedAndRead(t *testing.T) {
	f := newFake()
	e := tracked(f)
	claim := next(t, e, Desired{}, 0, engine.OrderClaim)
	e.HandleOrderResult(0, claim, f.obey(claim), nil)
	f.status = engine.Status{Incarnation: "i2"}
	e.Observe(0, f.status)
	if got := e.Availability(0, Desired{}); got != placement.Unknown {
		t.Errorf("restarted engine is %v", got)
	}
	if order := next(t, e, Desired{}, 0, engine.OrderClaim); order.Incarnation != "i2" {
		t.Errorf("claim names incarnation %s", order.Incarnation)
	}
}

func TestNewFenceClaimsAgain(t *testing.T) {
	f := newFake()
	e := tracked(f)
	claim := next(t, e, Desired{}, 0, engine.OrderClaim)
	e.HandleOrderResult(0, claim, f.obey(claim), nil)
	e.SetFence(8)
	if order := next(t, e, Desired{}, 0, engine.OrderClaim); order.Fence != 8 {
		t.Errorf("claim has fence %d", order.Fence)
	}
}

func TestSilentEngineGetsNothing(t *testing.T) {
	e := tracked(newFake())
	if _, ok := e.NextOrder(LostAfter+time.Millisecond, Desired{}, 0, true); ok {
		t.Error("a lost engine got an order")
	}
	if got := e.Availability(LostAfter+time.Millisecond, Desired{}); got != placement.Lost {
		t.Errorf("silent engine is %v", got)
	}
}

func TestChangeWaitsForItsTurn(t *testing.T) {
	f := newFake()
	e := tracked(f)
	claim := next(t, e, Desired{}, 0, engine.OrderClaim)
	e.HandleOrderResult(0, claim, f.obey(claim), nil)
	if _, ok := e.NextOrder(0, Desired{Deployment: version2}, 0, false); ok || e.Changing() {
		t.Error("a change began although too many engines are out")
	}
}
