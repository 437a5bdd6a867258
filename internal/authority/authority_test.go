package authority

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/lab/memorystore"
	"github.com/tinarch/tinarch/internal/rowstore"
)

// longLife doesn't expire within a test, shortLife does.
const (
	longLife  = time.Minute
	shortLife = 500 * time.Millisecond
)

// newUnfenced returns an authority for operations whose receivers don't compare fences.
func newUnfenced(store *memorystore.Store, self string, life time.Duration) *Authority {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Self: self, Life: life, Store: store, Log: log, Unfenced: true})
}

func newAuthority(store *memorystore.Store, self string, life time.Duration, stepBack func(time.Duration)) *Authority {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Self: self, Life: life, Store: store, Log: log, StepBack: stepBack})
}

func TestNothingIsHeldBeforeAcquire(t *testing.T) {
	a := newAuthority(memorystore.New(), "a", longLife, nil)
	if _, held := a.Condition(); held || a.Fence() != 0 {
		t.Errorf("held %v, fence %d", held, a.Fence())
	}
}

// TestDutiesShareALease: concurrent duties take the lease once and use one fence.
func TestDutiesShareALease(t *testing.T) {
	store := memorystore.New()
	a := newAuthority(store, "a", longLife, nil)
	var duties sync.WaitGroup
	for range 8 {
		duties.Go(func() {
			if status := a.Acquire(context.Background()); status != Held {
				t.Error(status)
			}
		})
	}
	duties.Wait()
	if a.Fence() == 0 || store.Calls() != 2 {
		t.Errorf("fence %d after %d calls", a.Fence(), store.Calls())
	}
}

// TestRenouncedLeaseIsTakenUnderAHigherFence: operations that were refused for their fence must
// not be sent again under the same fence.
func TestRenouncedLeaseIsTakenUnderAHigherFence(t *testing.T) {
	a := newAuthority(memorystore.New(), "a", shortLife, nil)
	a.Acquire(context.Background())
	before := a.Fence()
	a.Renounce()
	if a.Fence() != 0 {
		t.Error("a renounced lease is held")
	}
	awaitHeld(t, a)
	if a.Fence() <= before {
		t.Errorf("fence %d after %d", a.Fence(), before)
	}
}

func awaitHeld(t *testing.T, a *Authority) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); a.Acquire(context.Background()) != Held; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the lease could not be taken within ten seconds")
		}
	}
}

// TestConditionFailsForAnOldHolder: once another node holds the lease, nothing is written under
// the condition of the former holder.
func TestConditionFailsForAnOldHolder(t *testing.T) {
	store := memorystore.New()
	first, second := newAuthority(store, "first", shortLife, nil), newAuthority(store, "second", shortLife, nil)
	first.Acquire(context.Background())
	condition, held := first.Condition()
	if !held {
		t.Fatal("the lease expired at once")
	}
	awaitHeld(t, second)
	_, done, err := store.Transact(context.Background(), rowstore.Transaction{
		Conditions: []rowstore.Condition{condition}, Writes: []rowstore.Write{{Table: "t", Key: "k", Value: []byte("v")}},
	})
	if done || err != nil {
		t.Errorf("written under the former holder's condition: %v, %v", done, err)
	}
}

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

// newClocked returns an authority with the given clock.
func newClocked(store *memorystore.Store, self string, clock *manualClock) *Authority {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Self: self, Life: longLife, Store: store, Log: log, Clock: clock.read})
}

func TestRestoredStoreMakesNoSecondHolder(t *testing.T) {
	store, clock := memorystore.New(), &manualClock{time.Unix(1000, 0)}
	first, second := newClocked(store, "first", clock), newClocked(store, "second", clock)
	first.Acquire(context.Background())
	before := first.Fence()
	store.Restore(0)
	for range 2 * int(longLife/time.Second) {
		if second.Acquire(context.Background()) == Held {
			break
		}
		clock.now = clock.now.Add(time.Second)
	}
	if first.Fence() != 0 {
		t.Errorf("two nodes hold the lease, with the fences %d and %d", first.Fence(), second.Fence())
	}
	if after := second.Fence(); after <= before {
		t.Errorf("fence %d after %d", after, before)
	}
}

func TestHolderGoesOnAfterARestore(t *testing.T) {
	store, clock := memorystore.New(), &manualClock{time.Unix(1000, 0)}
	a := newClocked(store, "a", clock)
	a.Acquire(context.Background())
	lost, _ := a.Condition()
	store.Restore(0)
	a.ConditionFailed(lost)
	if status := a.Acquire(context.Background()); status != Held {
		t.Fatal(status)
	}
	condition, _ := a.Condition()
	_, done, err := store.Transact(context.Background(), rowstore.Transaction{Conditions: []rowstore.Condition{condition}})
	if !done || err != nil {
		t.Errorf("a write under the holder's condition: done %v, %v", done, err)
	}
}

// TestLateWriteOfALostHistoryIsRefused, even if the new holder's row has the same version
// number as the lost one.
func TestLateWriteOfALostHistoryIsRefused(t *testing.T) {
	store, clock := memorystore.New(), &manualClock{time.Unix(1000, 0)}
	first, second := newClocked(store, "first", clock), newClocked(store, "second", clock)
	first.Acquire(context.Background())
	condition, _ := first.Condition()
	store.Restore(0)
	for second.Acquire(context.Background()) != Held {
		clock.now = clock.now.Add(time.Second)
	}
	_, _, _ = store.Transact(context.Background(), rowstore.Transaction{
		Conditions: []rowstore.Condition{condition}, Writes: []rowstore.Write{{Table: "t", Key: "k", Value: []byte("late")}},
	})
	if value, _, _ := store.ReadRow(context.Background(), "t", "k"); value != nil {
		t.Errorf("the late write was carried out: %q", value)
	}
}

// TestNodeWithoutTheStoreStepsBack for longer than the life of the lease.
func TestNodeWithoutTheStoreStepsBack(t *testing.T) {
	store := memorystore.New()
	var aside time.Duration
	a := newAuthority(store, "a", shortLife, func(span time.Duration) { aside = span })
	store.SetFaults(memorystore.Faults{Down: true})
	if status := a.Acquire(context.Background()); status != StoreUnavailable || aside <= shortLife {
		t.Errorf("%s, stepped back for %v", status, aside)
	}
}

// TestUnfencedActsHaveRoom: an unfenced operation begins only while enough of the lease is left
// for it to end, and its context ends with the lease. Fenced operations may outlast it.
func TestUnfencedActsHaveRoom(t *testing.T) {
	a := newUnfenced(memorystore.New(), "a", shortLife)
	least := time.Duration(headroom * float64(shortLife))
	for end := time.Now().Add(3 * shortLife); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if a.Acquire(context.Background()) != Held {
			continue
		}
		before := time.Now()
		term, held := a.Term()
		if !held {
			continue
		}
		if term.Until.Sub(before) < least {
			t.Fatalf("an operation begins with %v left", term.Until.Sub(before))
		}
		operation, held := a.Begin(context.Background(), longLife)
		if !held {
			continue
		}
		if until, _ := operation.Context.Deadline(); until.After(term.Until) {
			t.Fatal("an operation outlasts the lease")
		}
		operation.End()
	}
	fenced := newAuthority(memorystore.New(), "a", shortLife, nil)
	awaitHeld(t, fenced)
	if term, held := fenced.Term(); !held || !term.Until.IsZero() {
		t.Errorf("%+v, held %v", term, held)
	}
}

// TestOwnFenceOutlivesTheLease: if nobody compares fences, late calls of a node must not have a
// lower fence than its newer ones. Once another node has held the lease, the fence increases.
func TestOwnFenceOutlivesTheLease(t *testing.T) {
	store := memorystore.New()
	a, b := newUnfenced(store, "a", shortLife), newUnfenced(store, "b", shortLife)
	awaitHeld(t, a)
	first := a.Fence()
	for a.Fence() != 0 {
		time.Sleep(5 * time.Millisecond)
	}
	awaitHeld(t, a)
	if a.Fence() != first {
		t.Errorf("fence %d after %d", a.Fence(), first)
	}
	awaitHeld(t, b)
	awaitHeld(t, a)
	if a.Fence() <= first {
		t.Errorf("fence %d after another node had the lease", a.Fence())
	}
}

// TestFailedConditionAfterRenewalKeepsTheLease: a write under a condition from before a renewal
// is refused without the lease being lost. If a write under the newest condition is refused,
// the lease is lost.
func TestFailedConditionAfterRenewalKeepsTheLease(t *testing.T) {
	a := newUnfenced(memorystore.New(), "a", shortLife)
	awaitHeld(t, a)
	old, _ := a.Condition()
	current := old
	for current.Version == old.Version {
		time.Sleep(5 * time.Millisecond)
		awaitHeld(t, a)
		current, _ = a.Condition()
	}
	a.ConditionFailed(old)
	if _, held := a.Condition(); !held {
		t.Error("a renewed lease counts as lost")
	}
	a.ConditionFailed(current)
	if _, held := a.Condition(); held {
		t.Error("a lost lease is held")
	}
}

// TestReleasedAuthorityIsFreeAtOnce: a released lease can be taken once the operations in
// flight are over, but not by a process that may have held it shortly before as another
// incarnation.
func TestReleasedAuthorityIsFreeAtOnce(t *testing.T) {
	store := memorystore.New()
	a, b := newUnfenced(store, "a", longLife), newUnfenced(store, "b", longLife)
	b.startedAt = time.Now().Add(-longLife)
	young := newUnfenced(store, "young", longLife)
	awaitHeld(t, a)
	operation, held := a.Begin(context.Background(), longLife)
	if !held {
		t.Fatal("no operation may begin")
	}
	released := make(chan struct{})
	go func() { defer close(released); a.Release(context.Background()) }()
	for a.Acquire(context.Background()) == Held {
		time.Sleep(time.Millisecond)
	}
	if _, begun := a.Begin(context.Background(), longLife); begun {
		t.Error("an operation begins while the lease is being released")
	}
	if b.Acquire(context.Background()) == Held {
		t.Error("the lease was released with an operation in flight")
	}
	operation.End()
	<-released
	if young.Acquire(context.Background()) == Held {
		t.Error("a process that has just started took a released lease")
	}
	if status := b.Acquire(context.Background()); status != Held || b.Fence() <= operation.Fence {
		t.Errorf("%s, fence %d after %d", status, b.Fence(), operation.Fence)
	}
}

// TestActThatHangsKeepsTheLease: the lease isn't released while an operation may still be
// carried out.
func TestActThatHangsKeepsTheLease(t *testing.T) {
	store := memorystore.New()
	a, b := newUnfenced(store, "a", longLife), newUnfenced(store, "b", longLife)
	b.startedAt = time.Now().Add(-longLife)
	awaitHeld(t, a)
	operation, _ := a.Begin(context.Background(), longLife)
	defer operation.End()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.Release(ctx)
	if b.Acquire(context.Background()) == Held {
		t.Error("the lease was released with an operation in flight")
	}
}

// suspendableClock is a clock that includes time in which the machine is suspended, unlike a
// monotonic clock.
type suspendableClock struct {
	mu        sync.Mutex
	suspended time.Duration
}

func (c *suspendableClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.suspended)
}

func (c *suspendableClock) suspend(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += span
}

// TestSuspendedHolderGivesNoOrder: by its monotonic clock the lease is still valid, but another
// node has taken it meanwhile. This holds whether fences are compared or not.
func TestSuspendedHolderGivesNoOrder(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		store, slept := memorystore.New(), &suspendableClock{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		holder := New(Options{Self: "a", Life: longLife, Store: store, Log: log, Unfenced: unfenced, Clock: slept.now})
		if status := holder.Acquire(context.Background()); status != Held {
			t.Fatal(status)
		}
		operation, begun := holder.Begin(context.Background(), longLife)
		if !begun {
			t.Fatal("no operation begins under a new lease")
		}
		slept.suspend(2 * longLife)
		if _, begun := holder.Begin(context.Background(), time.Second); begun || holder.Fence() != 0 {
			t.Errorf("unfenced %v: an operation begins, or the fence is %d", unfenced, holder.Fence())
		}
		if _, held := holder.Condition(); held {
			t.Errorf("unfenced %v: the former holder's condition still applies", unfenced)
		}
		if !clock.Expired(operation.Context) {
			t.Errorf("unfenced %v: an operation that had begun may still be sent", unfenced)
		}
		operation.End()
	}
}
