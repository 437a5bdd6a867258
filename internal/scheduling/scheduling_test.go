package scheduling

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
)

func reader(id string, change ...func(*Candidate)) Candidate {
	return candidate(Candidate{ID: id, Prefill: true, Throughput: 36, PrefillCoefficients: readingAt(36), Capacity: 400_000, Slots: 64}, change)
}

func decoder(id string, change ...func(*Candidate)) Candidate {
	return candidate(Candidate{ID: id, Decode: true, Throughput: 18, PrefillCoefficients: readingAt(18), Capacity: 400_000, Slots: 64}, change)
}

// readingAt returns the coefficients of an engine that prefills so many tokens a millisecond.
func readingAt(tokensPerMillisecond float64) latency.Coefficients {
	return latency.Coefficients{Fixed: 25, PerThousand: 1000 / tokensPerMillisecond}
}

func opaque(id string, change ...func(*Candidate)) Candidate {
	return candidate(Candidate{ID: id, Slots: 6}, change)
}

func candidate(c Candidate, changes []func(*Candidate)) Candidate {
	c.Address, c.SameZone = "at-"+c.ID, true
	for _, change := range changes {
		change(&c)
	}
	return c
}

func cached(tokens int) func(*Candidate) { return func(c *Candidate) { c.CachedTokens = tokens } }
func queued(tokens int) func(*Candidate) {
	return func(c *Candidate) { c.ReadTokens, c.ReadAhead = tokens, tokens }
}
func running(count int) func(*Candidate) { return func(c *Candidate) { c.Requests = count } }
func avoided(c *Candidate)               { c.Avoid = true }
func otherZone(c *Candidate)             { c.SameZone = false }
func handoverFails(c *Candidate)         { c.HandleFailure = true }

func prompt(change ...func(*Request)) Request {
	request := Request{PromptTokens: 17_000, SharedTokens: 13_300, OutputTokens: 15, RouteObjective: 800 * time.Millisecond, Engine: EngineTimes{Queue: 1, Handover: 30, Fetch: 8, MovePerToken: 0.0004},
		ObjectiveLeft: 800 * time.Millisecond, Remaining: 6 * time.Second, Patience: 6 * time.Second}
	for _, c := range change {
		c(&request)
	}
	return request
}

func excluding(ids ...string) func(*Request) {
	return func(r *Request) {
		r.Excluded = map[string]bool{}
		for _, id := range ids {
			r.Excluded[id] = true
		}
	}
}

func short(r *Request) { r.PromptTokens, r.SharedTokens = 200, 100 }

func TestPlans(t *testing.T) {
	scheduler := New(DefaultCosts())
	for _, example := range []struct {
		name       string
		request    Request
		candidates []Candidate
		mode       Mode
		reason     Reason
		reader     string
		runner     string
		fetch      string
	}{
		{name: "no workers", request: prompt(), mode: Refused, reason: NoWorker},
		{
			name: "a long prompt is prefilled apart", request: prompt(),
			candidates: []Candidate{reader("p"), decoder("d")}, mode: Apart, reader: "p", runner: "d",
		},
		{
			name: "a short prompt runs whole", request: prompt(short),
			candidates: []Candidate{reader("p"), decoder("d")}, mode: Whole, runner: "d",
		},
		{
			name: "the worker that has the shared prefix cached prefills", request: prompt(),
			candidates: []Candidate{reader("p1"), reader("p2", cached(13_300)), decoder("d")}, mode: Apart, reader: "p2", runner: "d",
		},
		{
			name: "what a busy worker has cached is fetched", request: prompt(),
			candidates: []Candidate{reader("p1"), reader("p2", cached(13_300), queued(20_000)), decoder("d")},
			mode:       Apart, reader: "p1", runner: "d", fetch: "at-p2",
		},
		{
			name: "nothing is fetched from a worker that failed just now", request: prompt(),
			candidates: []Candidate{reader("p1"), reader("p2", cached(13_300), queued(40_000), avoided), decoder("d")},
			mode:       Apart, reader: "p1", runner: "d",
		},
		{
			name: "running streams keep prefill away from their engine", request: prompt(short),
			candidates: []Candidate{decoder("d1", running(40)), decoder("d2", running(2))}, mode: Whole, runner: "d2",
		},
		{
			name: "nothing is prefilled apart where handing over fails", request: prompt(),
			candidates: []Candidate{reader("p", handoverFails), decoder("d")}, mode: Whole, runner: "d",
		},
		{
			name: "a prompt that was prefilled apart before is fetched", request: prompt(func(r *Request) { r.NoApart = true }),
			candidates: []Candidate{reader("p", cached(17_000)), decoder("d")}, mode: Whole, runner: "d", fetch: "at-p",
		},
		{
			name: "no decode worker", request: prompt(),
			candidates: []Candidate{reader("p")}, mode: Refused, reason: NoWorker,
		},
		{
			name: "the only prefill engine is excluded", request: prompt(excluding("p")),
			candidates: []Candidate{reader("p"), decoder("d")}, mode: Whole, runner: "d",
		},
		{
			name: "too late to be of use", request: prompt(),
			candidates: []Candidate{reader("p", queued(200_000)), decoder("d", queued(100_000))}, mode: Refused, reason: TooLate,
		},
		{
			name: "late, but nothing waits: it is served", request: prompt(func(r *Request) { r.ObjectiveLeft = 0 }),
			candidates: []Candidate{reader("p"), decoder("d")}, mode: Apart, reader: "p", runner: "d",
		},
		{
			name: "an opaque request goes to the least busy", request: Request{},
			candidates: []Candidate{opaque("a", running(3)), opaque("b", running(1))}, mode: Whole, runner: "b",
		},
		{
			name: "an opaque request stays in its zone where that costs little", request: Request{},
			candidates: []Candidate{opaque("a", otherZone), opaque("b", running(1))}, mode: Whole, runner: "b",
		},
		{
			name: "an opaque request leaves its zone for free slots", request: Request{},
			candidates: []Candidate{opaque("a", otherZone), opaque("b", running(6))}, mode: Whole, runner: "a",
		},
		{
			name: "a worker that failed just now is better than none", request: Request{},
			candidates: []Candidate{opaque("a", avoided)}, mode: Whole, runner: "a",
		},
		{
			name: "an excluded worker gets nothing", request: Request{Excluded: map[string]bool{"a": true}},
			candidates: []Candidate{opaque("a")}, mode: Refused, reason: NoWorker,
		},
	} {
		t.Run(example.name, func(t *testing.T) {
			plan := scheduler.Plan(example.request, example.candidates)
			if plan.Mode != example.mode || plan.Reason != example.reason || plan.Fetch != example.fetch {
				t.Fatalf("mode %q, reason %q, fetch %q", plan.Mode, plan.Reason, plan.Fetch)
			}
			if plan.Mode != Refused && (plan.Reader.ID != example.reader || plan.Runner.ID != example.runner) {
				t.Errorf("reader %q, runner %q", plan.Reader.ID, plan.Runner.ID)
			}
			if plan.Mode == Refused && plan.RetryAfter <= 0 {
				t.Error("the refusal has no RetryAfter")
			}
		})
	}
}

// TestPrefillKeepsStreamsWithinTheirPause checks that an engine gets no more prompts, while
// another has fewer queued, if its queue already stalls its streams for as long as they may
// pause.
func TestPrefillKeepsStreamsWithinTheirPause(t *testing.T) {
	short := prompt(func(r *Request) { r.PromptTokens, r.SharedTokens, r.GapObjective = 1400, 350, 200*time.Millisecond })
	busy := decoder("busy", queued(1500), running(10))
	free := decoder("free", running(10), func(c *Candidate) { c.FailureRate = 0.3 })
	if plan := New(DefaultCosts()).Plan(short, []Candidate{busy, free}); plan.Runner.ID != "free" {
		t.Errorf("prefilled at %s, which stalls ten streams for %v", plan.Runner.ID, plan.First)
	}
	short.GapObjective = 5 * time.Second
	if plan := New(DefaultCosts()).Plan(short, []Candidate{busy, free}); plan.Runner.ID != "busy" {
		t.Errorf("with long pauses allowed: prefilled at %s, want busy", plan.Runner.ID)
	}
}

// TestPredictionGrowsWithTheQueue checks that the predicted time to the first byte includes the
// tokens queued ahead.
func TestPredictionGrowsWithTheQueue(t *testing.T) {
	scheduler := New(DefaultCosts())
	last := time.Duration(0)
	for _, ahead := range []int{0, 5_000, 10_000} {
		plan := scheduler.Plan(prompt(func(r *Request) { r.ObjectiveLeft = time.Hour }), []Candidate{reader("p", queued(ahead)), decoder("d")})
		if plan.First <= last {
			t.Errorf("%d tokens ahead: predicted %v, with fewer tokens %v", ahead, plan.First, last)
		}
		last = plan.First
	}
}

// TestEngineThatCantFetchRunsNothingPrefilledElsewhere checks that a decode engine that failed
// to fetch prompts is chosen only if no other is left.
func TestEngineThatCantFetchRunsNothingPrefilledElsewhere(t *testing.T) {
	scheduler := New(DefaultCosts())
	plan := scheduler.ChooseRunner(prompt(), []Candidate{decoder("d1", handoverFails), decoder("d2", running(20), otherZone)}, "")
	if plan.Runner.ID != "d2" {
		t.Errorf("runs at %s, want d2", plan.Runner.ID)
	}
	if plan := scheduler.ChooseRunner(prompt(), []Candidate{decoder("d1", handoverFails)}, ""); plan.Runner.ID != "d1" {
		t.Error("the only decode engine was not chosen")
	}
}

// TestMemoryPressureMovesRequestsElsewhere checks that a decode engine with full memory, which
// would preempt running requests, is avoided.
func TestMemoryPressureMovesRequestsElsewhere(t *testing.T) {
	full := decoder("d1", func(c *Candidate) { c.MemoryTokens = 395_000 })
	plan := New(DefaultCosts()).ChooseRunner(prompt(), []Candidate{full, decoder("d2", running(10), otherZone)}, "")
	if plan.Runner.ID != "d2" {
		t.Errorf("runs at %s, want d2", plan.Runner.ID)
	}
}
