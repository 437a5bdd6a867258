package scheduling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func plainRequest() Request {
	return Request{RouteObjective: 200 * time.Millisecond, ObjectiveLeft: 200 * time.Millisecond, Remaining: 2500 * time.Millisecond,
		Patience: 2500 * time.Millisecond, Engine: EngineTimes{Work: 30}}
}

// An uneven service's opaque requests go to the worker that is expected to answer first.
func TestOpaqueRequestsGoWhereTheyAreAnsweredFirst(t *testing.T) {
	leaving := func(c *Candidate) { c.Leaving = true }
	failing := func(c *Candidate) { c.FailureRate = 0.5 }
	limited := func(c *Candidate) { c.TurnWait = 400 }
	for _, load := range []struct {
		name       string
		candidates []Candidate
		want       string
	}{
		{"the zone first", []Candidate{opaque("here", onHost(1)), opaque("there", onHost(1), otherZone)}, "here"},
		{"the zone, if the host is hardly slower", []Candidate{opaque("here", onHost(1.05)), opaque("there", onHost(1), otherZone)}, "here"},
		{"another zone, if neighbours load the host", []Candidate{opaque("here", onHost(2.5)), opaque("there", onHost(1), otherZone)}, "there"},
		{"another zone, if requests wait", []Candidate{opaque("here", onHost(1), running(12)), opaque("there", onHost(1), otherZone)}, "there"},
		{"the zone, if requests wait everywhere", []Candidate{opaque("here", onHost(1), running(12)), opaque("there", onHost(1), otherZone, running(12))}, "here"},
		{"the shortest queue of full workers", []Candidate{opaque("a", onHost(1), running(14)), opaque("b", onHost(1), running(9)), opaque("c", onHost(1), running(11))}, "b"},
		{"a fast host with a queue, rather than a slow one without", []Candidate{opaque("slow", onHost(2.5)), opaque("fast", onHost(0.7), running(8))}, "fast"},
		{"the emptier of equal ones", []Candidate{opaque("a", onHost(1), running(4)), opaque("b", onHost(1), running(2))}, "b"},
		{"none that fails", []Candidate{opaque("a", onHost(1), failing), opaque("b", onHost(1), running(8))}, "b"},
		{"none that leaves", []Candidate{opaque("a", onHost(1), leaving), opaque("b", onHost(2.5), running(9))}, "b"},
		{"none whose turn is far off", []Candidate{opaque("a", onHost(1), limited), opaque("b", onHost(2.5), running(6))}, "b"},
		{"an avoided one, if there is no other", []Candidate{opaque("a", onHost(1), avoided)}, "a"},
	} {
		if plan := New(DefaultCosts()).Plan(plainRequest(), load.candidates); plan.Mode != Whole || plan.Runner.ID != load.want {
			t.Errorf("%s: %s at %q; want %q", load.name, plan.Mode, plan.Runner.ID, load.want)
		}
	}
}

func TestOpaqueRequestsOfOtherServicesGoByRoom(t *testing.T) {
	unlearned := plainRequest()
	unlearned.Engine.Work = 0
	for _, request := range []Request{plainRequest(), unlearned} {
		plan := New(DefaultCosts()).Plan(request, []Candidate{opaque("a", running(3)), opaque("b", otherZone)})
		if plan.Runner.ID != "b" || plan.First != 0 {
			t.Errorf("%q with a prediction of %v; want b and none", plan.Runner.ID, plan.First)
		}
	}
	if plan := New(DefaultCosts()).Plan(unlearned, []Candidate{opaque("a", onHost(1), running(3)), opaque("b", onHost(2.5), otherZone)}); plan.Runner.ID != "b" {
		t.Errorf("%q before any work time is known; want b, by room", plan.Runner.ID)
	}
}

// More requests at a worker, or a slower host, never make it more attractive.
func TestOpaqueCostGrowsWithLoadAndSlowdown(t *testing.T) {
	scheduler := New(DefaultCosts())
	rapid.Check(t, func(t *rapid.T) {
		requests, more := rapid.IntRange(0, 40).Draw(t, "requests"), rapid.IntRange(0, 10).Draw(t, "more")
		factor, slower := rapid.Float64Range(0.2, 5).Draw(t, "factor"), rapid.Float64Range(1, 3).Draw(t, "slower")
		light := scheduler.opaqueByTime(plainRequest(), opaque("a", onHost(factor), running(requests)))
		heavy := scheduler.opaqueByTime(plainRequest(), opaque("a", onHost(factor*slower), running(requests+more)))
		if heavy.Cost < light.Cost-1e-9 || heavy.First < light.First {
			t.Fatalf("%d requests at %.2f cost %.2f, %d at %.2f cost %.2f", requests, factor, light.Cost, requests+more, factor*slower, heavy.Cost)
		}
	})
}
