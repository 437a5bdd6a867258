package scheduling

import (
	"slices"
	"testing"
)

func software(version string) func(*Candidate) { return func(c *Candidate) { c.Software = version } }

func continuing(version string) func(*Request) {
	return func(r *Request) { r.Bound, r.Software, r.Begun = true, version, true }
}

// Workers of the other version are cheaper in each example.
func TestStreamIsNotContinuedAtAnotherVersionThatIsCheaper(t *testing.T) {
	engines := []Candidate{
		reader("read", software("v2")), decoder("busy", software("v1"), running(40)), decoder("idle", software("v2"), cached(17_000)),
	}
	scheduler := New(DefaultCosts())
	for name, request := range map[string]Request{
		"at its prompt's reader": prompt(continuing("v1")),
		"short":                  prompt(continuing("v1"), short),
		"waiting":                prompt(continuing("v1"), func(r *Request) { r.Waits = true }),
		"single read":            prompt(continuing("v1"), func(r *Request) { r.SingleRead = true }),
	} {
		if plan := scheduler.Plan(request, engines); plan.Runner.ID != "busy" {
			t.Errorf("%s: %s %s runs it (%s)", name, plan.Mode, plan.Runner.ID, plan.Reason)
		}
		if plan := scheduler.ChooseRunner(request, engines, ""); plan.Runner.ID != "busy" {
			t.Errorf("%s: %s runs the prompt that was read", name, plan.Runner.ID)
		}
	}
	plain := []Candidate{opaque("busy", software("v1"), running(5)), opaque("idle", software("v2"))}
	if plan := scheduler.Plan(Request{Bound: true, Software: "v1"}, plain); plan.Runner.ID != "busy" {
		t.Errorf("%s answers the opaque request", plan.Runner.ID)
	}
}

func TestStreamWhoseVersionHasNoWorkerIsRefusedAtOnce(t *testing.T) {
	engines := []Candidate{reader("read", software("v1")), decoder("write", software("v2"))}
	for _, waits := range []bool{false, true} {
		request := prompt(continuing("v1"), func(r *Request) { r.Waits = waits })
		if plan := New(DefaultCosts()).Plan(request, engines); plan.Mode != Refused || plan.Reason != NoWorker {
			t.Errorf("the plan is %s at %s (%s)", plan.Mode, plan.Runner.ID, plan.Reason)
		}
	}
}

// The few workers of a version are far behind those of another one in every order of preference.
func TestShortlistHoldsTheWorkersOfTheVersion(t *testing.T) {
	var workers []Candidate
	for i := range 50 {
		workers = append(workers, decoder(string(rune('a'+i)), software("v2"), func(c *Candidate) { c.Report = Unasked }))
	}
	workers = append(workers, decoder("old", software("v1"), otherZone, avoided, func(c *Candidate) { c.Report, c.SortKey = Unasked, 1<<60 }))
	request := prompt(continuing("v1"))
	if names := Shortlist(request, outlines(workers)); !slices.Equal(names, []string{"old"}) {
		t.Errorf("the shortlist is %v", names)
	}
	if chosen := Preselect(request, workers, false); len(chosen) != 1 || chosen[0].ID != "old" {
		t.Errorf("%v were preselected", names(chosen))
	}
}

func TestDrainingWorkerIsTakenOnlyToContinueAStreamThatNoOtherMay(t *testing.T) {
	draining := func(c *Candidate) { c.Draining, c.Leaving = true, true }
	leaving, staying := decoder("leaving", software("v1"), draining, cached(17_000)), decoder("staying", software("v1"), running(40))
	scheduler := New(DefaultCosts())
	for name, example := range map[string]struct {
		request    Request
		candidates []Candidate
		want       string
	}{
		"it begins":                    {prompt(short), []Candidate{leaving}, ""},
		"it continues":                 {prompt(short, continuing("v1")), []Candidate{leaving}, "leaving"},
		"another one may run it":       {prompt(short, continuing("v1")), []Candidate{leaving, staying}, "staying"},
		"it continues at another":      {prompt(short, continuing("v2")), []Candidate{leaving}, ""},
		"its prompt is cached there":   {prompt(short), []Candidate{leaving, staying}, "staying"},
		"it continues, opaque workers": {Request{Bound: true, Software: "v1"}, []Candidate{opaque("leaving", software("v1"), draining)}, "leaving"},
		"it begins, opaque workers":    {Request{}, []Candidate{opaque("leaving", software("v1"), draining)}, ""},
	} {
		plan := scheduler.Plan(example.request, Preselect(example.request, example.candidates, false))
		if plan.Runner.ID != example.want || plan.Fetch != "" {
			t.Errorf("%s: %s runs it, fetched from %q", name, plan.Runner.ID, plan.Fetch)
		}
	}
}

// All engines of the version have a queue that makes any answer late.
func TestContinuedStreamIsServedWhereNewOnesAreRefusedAsLate(t *testing.T) {
	engines := []Candidate{reader("read", software("v1"), queued(60_000)), decoder("write", software("v1"), queued(30_000))}
	scheduler := New(DefaultCosts())
	if plan := scheduler.Plan(prompt(), engines); plan.Mode != Refused || plan.Reason != TooLate {
		t.Fatalf("a new stream is planned as %s (%s)", plan.Mode, plan.Reason)
	}
	if plan := scheduler.Plan(prompt(continuing("v1")), engines); plan.Mode == Refused || plan.Late || plan.Runner.ID != "write" {
		t.Errorf("a continued stream is planned as %s at %q (%s), late %v", plan.Mode, plan.Runner.ID, plan.Reason, plan.Late)
	}
}
