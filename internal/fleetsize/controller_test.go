package fleetsize

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/duty"
	"github.com/tinarch/tinarch/internal/lab/memorystore"
)

// cloud is a fake platform that carries orders out at once, except for unavailable kinds.
type cloud struct {
	standing Counts
	away     map[Kind]bool
	idle     bool
	nodes    int
	orders   int
	// moved is the largest number of workers started or stopped in one step, moving the number
	// in the current one.
	moved, moving int
	// least is the smallest number of workers that were ever standing.
	least int
	// silent makes orders time out without effect.
	silent bool
}

func (c *cloud) Standing(string) Counts {
	copied := make(Counts)
	for kind, count := range c.standing {
		if count > 0 {
			copied[kind] = count
		}
	}
	return copied
}

func (c *cloud) Idle(string, time.Time) bool { return c.idle }

func (c *cloud) OrderWorkers(_ context.Context, token duty.LeaseToken, _ string, kind Kind, count int) (duty.Verdict, error) {
	c.orders++
	if c.silent {
		return duty.Unknown, errors.New("no answer")
	}
	if token.Fence == 0 || token.Holder == "" {
		return duty.Refused, errors.New("no fence or holder")
	}
	if c.away[kind] && count > c.standing[kind] {
		return duty.Refused, errors.New("none available")
	}
	c.moving += max(count-c.standing[kind], c.standing[kind]-count)
	c.moved = max(c.moved, c.moving)
	c.standing[kind] = count
	if c.standing.inZone(kind.Zone) > 94 {
		return duty.Refused, errors.New("too many")
	}
	c.least = min(c.least, c.standing.total())
	return duty.Accepted, nil
}

func newController(platform *cloud, rows *memorystore.Store, node string) *Controller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	known := terms(0.18, 1, 4*time.Second)
	return New(Options{
		Node: node, Store: rows, API: platform, Workers: platform, Log: log,
		Authority:  authority.New(authority.Options{Self: node, Life: time.Minute, Store: rows, Log: log}),
		Services:   func() []Service { return []Service{{Name: "s", Terms: known}} },
		Designated: func() bool { return true }, Heartbeat: heartbeat,
		Nodes: func() int { return platform.nodes },
	})
}

// heartbeat is the interval at which the tests' workers write their rows.
const heartbeat = 1200 * time.Millisecond

// TestBasisWaitsForAllWorkers: a fleet whose workers write their rows one after the other must
// not be taken for a small fleet.
func TestBasisWaitsForAllWorkers(t *testing.T) {
	platform, rows := &cloud{standing: Counts{{Zone: "a"}: 1}, idle: true, least: 1000}, memorystore.New()
	c := newController(platform, rows, "n")
	now := time.Now()
	for _, zone := range []string{"b", "c", "a", "b"} {
		for range 2 {
			c.Step(context.Background(), now)
			now = now.Add(stepEvery)
		}
		platform.standing[Kind{Zone: zone}]++
	}
	if platform.orders != 0 {
		t.Fatal("orders were sent before all workers were listed")
	}
	run(c, platform, now, 3)
	if basis := c.fleets["s"].basis; basis == nil || basis.Workers != 5 {
		t.Errorf("the basis is %+v, want five workers", basis)
	}
}

func TestBasisThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	platform, rows := &cloud{standing: operatorsFleet(), idle: true, least: 1000}, memorystore.New()
	c := newController(platform, rows, "n")
	now := run(c, platform, time.Now(), 20)
	before, _, _ := rows.ReadRow(context.Background(), table, "s")
	rows.Restore(0)
	run(c, platform, now, 2)
	after, _, _ := rows.ReadRow(context.Background(), table, "s")
	if diff := cmp.Diff(string(before), string(after)); before == nil || diff != "" {
		t.Errorf("the basis of the plan has changed: %s", diff)
	}
}

// run steps a controller for some seconds, beginning at from, and returns the time after the
// last step.
func run(c *Controller, platform *cloud, from time.Time, seconds int) time.Time {
	for range 2 * seconds {
		platform.moving = 0
		c.Step(context.Background(), from)
		from = from.Add(stepEvery)
	}
	return from
}

// TestOrdersPerRoundAreBounded: with many nodes, each change of the worker list takes longer to
// reach them all.
func TestOrdersPerRoundAreBounded(t *testing.T) {
	for _, nodes := range []int{1, 400} {
		platform := &cloud{standing: operatorsFleet(), idle: true, nodes: nodes, least: 1000}
		c := newController(platform, memorystore.New(), "n")
		run(c, platform, time.Now(), 60)
		if most := changesPerRound / nodes; platform.moved > most {
			t.Errorf("%d nodes: %d workers started or stopped at once, want at most %d", nodes, platform.moved, most)
		}
		plan := c.policy.Plan(terms(0.18, 1, 4*time.Second), *c.fleets["s"].basis, nil)
		if diff := cmp.Diff(nonzero(plan), platform.Standing("s")); diff != "" {
			t.Errorf("%d nodes: %s", nodes, diff)
		}
	}
}

// TestFleetReachesThePlan: before any request at least half of the operators' fleet runs at all
// times, later at least as many workers as in the operators' fleet. Once the plan is reached
// nothing more is ordered.
func TestFleetReachesThePlan(t *testing.T) {
	for _, idle := range []bool{true, false} {
		platform := &cloud{standing: operatorsFleet(), idle: idle, least: 1000}
		c := newController(platform, memorystore.New(), "n")
		now := run(c, platform, time.Now(), 20)
		plan := c.policy.Plan(terms(0.18, 1, 4*time.Second), *c.fleets["s"].basis, nil)
		if diff := cmp.Diff(nonzero(plan), platform.Standing("s")); diff != "" {
			t.Errorf("idle %v: %s", idle, diff)
		}
		least := operatorsFleet().total()
		if idle {
			least /= 2
		}
		if platform.least < least {
			t.Errorf("idle %v: only %d workers were left before the plan was reached", idle, platform.least)
		}
		before := platform.orders
		run(c, platform, now, 20)
		if platform.orders != before {
			t.Errorf("idle %v: %d orders after the plan was reached", idle, platform.orders-before)
		}
	}
}

func nonzero(counts Counts) Counts {
	left := make(Counts)
	for kind, count := range counts {
		if count > 0 {
			left[kind] = count
		}
	}
	return left
}

// TestLostWorkersAreOrderedAgain: they are replaced by other kinds at once and ordered again
// when they are available. Meanwhile the platform isn't asked at each step.
func TestLostWorkersAreOrderedAgain(t *testing.T) {
	platform := &cloud{standing: operatorsFleet(), least: 1000}
	c := newController(platform, memorystore.New(), "n")
	now := run(c, platform, time.Now(), 20)
	lost := Kind{Zone: "a", Spot: true}
	whole := platform.Standing("s")
	platform.standing[lost] = 0
	platform.away = map[Kind]bool{lost: true}
	before := platform.orders
	now = run(c, platform, now, 10)
	if platform.standing[Kind{Zone: "b", Spot: true}] <= whole[Kind{Zone: "b", Spot: true}] {
		t.Errorf("the lost workers were not replaced: %v", platform.standing)
	}
	if asked := platform.orders - before; asked > 12 {
		t.Errorf("%d orders in ten seconds", asked)
	}
	platform.away = nil
	run(c, platform, now, 30)
	if diff := cmp.Diff(whole, platform.Standing("s")); diff != "" {
		t.Error(diff)
	}
}

// TestNextHolderReadsTheStoredBasis: the next holder of the lease finds workers that were
// ordered, and must not take them for the operators' choice.
func TestNextHolderReadsTheStoredBasis(t *testing.T) {
	platform, rows := &cloud{standing: operatorsFleet(), least: 1000}, memorystore.New()
	first := newController(platform, rows, "n")
	now := run(first, platform, time.Now(), 20)
	whole := platform.Standing("s")
	next := newController(platform, rows, "n") // with the same name it can take over its own lease
	run(next, platform, now, 20)
	if diff := cmp.Diff(whole, platform.Standing("s")); diff != "" {
		t.Error(diff)
	}
}

// TestLateOrderIsUndone: an order that was given up is carried out after newer ones. The holder
// that sent it, or the next one, orders its effect to be reverted.
func TestLateOrderIsUndone(t *testing.T) {
	kind := Kind{Zone: "a", Spot: true}
	for _, change := range []int{-20, 5} {
		for _, sameHolder := range []bool{true, false} {
			platform, rows := &cloud{standing: operatorsFleet(), least: 1000}, memorystore.New()
			c := newController(platform, rows, "n")
			now := run(c, platform, time.Now(), 20)
			whole := platform.Standing("s")
			platform.standing[kind] += change
			if !sameHolder {
				c = newController(platform, rows, "n") // with the same name it can take over its own lease
			}
			run(c, platform, now, 10)
			if diff := cmp.Diff(whole, platform.Standing("s")); diff != "" {
				t.Errorf("late order changed %+d workers, same holder %v: %s", change, sameHolder, diff)
			}
		}
	}
}

// TestSilentAPIIsAskedOnceARound: an API that doesn't answer must delay a round by one call,
// not by one call for each kind. Once it answers again, the fleet reaches the plan.
func TestSilentAPIIsAskedOnceARound(t *testing.T) {
	platform := &cloud{standing: operatorsFleet(), least: 1000, silent: true}
	c := newController(platform, memorystore.New(), "n")
	const seconds = 20
	now := run(c, platform, time.Now(), seconds)
	if most := int(seconds * time.Second / roundEvery); platform.orders > most {
		t.Errorf("%d calls in %d s, want at most %d", platform.orders, seconds, most)
	}
	platform.silent = false
	run(c, platform, now, seconds)
	plan := c.policy.Plan(terms(0.18, 1, 4*time.Second), *c.fleets["s"].basis, nil)
	if diff := cmp.Diff(nonzero(plan), platform.Standing("s")); diff != "" {
		t.Error(diff)
	}
}
