package scheduling

import (
	"testing"
	"time"
)

// waiting makes a request wait in the order over all nodes.
func waiting(r *Request) { r.Waits = true }

// granted makes a request that was granted an engine.
func granted(engine string) func(*Request) {
	return func(r *Request) { r.Waits, r.Granted = true, engine }
}

// TestLateRequestTakesItsTurn checks that a late request waits also where an engine is idle,
// and that it names the engines that can serve it.
func TestLateRequestTakesItsTurn(t *testing.T) {
	candidates := []Candidate{fastest(), reader("free"), reader("failing", avoided), decoder("d", queued(busyQueue))}
	plan := New(DefaultCosts()).Plan(prompt(overdue, waiting), candidates)
	if plan.Mode != Held || plan.Reason != Queued || plan.Waiting.Prefer != "free" {
		t.Fatalf("mode %s, reason %q, prefers %q", plan.Mode, plan.Reason, plan.Waiting.Prefer)
	}
	if choices := plan.Waiting.Choices; len(choices) != 2 || choices[0].Engine != "fastest" || choices[1].Engine != "free" {
		t.Errorf("waits for %+v, want fastest and free", choices)
	}
	for _, choice := range plan.Waiting.Choices {
		if choice.Need <= 0 || choice.Latest <= 0 || choice.Latest >= prompt().Patience {
			t.Errorf("%+v", choice)
		}
	}
}

// TestOverdueRequestTakesItsTurnAtAnIdleEngine checks that a request that comes late through its
// own length waits for its turn if the engine is idle, since others may be waiting for it, and
// is served without a turn where only less urgent prompts are queued, as without waiting.
func TestOverdueRequestTakesItsTurnAtAnIdleEngine(t *testing.T) {
	scheduler := New(DefaultCosts())
	busy := decoder("d", queued(busyQueue))
	plan := scheduler.Plan(prompt(overdue, waiting), []Candidate{reader("p"), busy})
	if plan.Mode != Held || plan.Waiting.Prefer != "p" {
		t.Errorf("mode %s, prefers %q", plan.Mode, plan.Waiting.Prefer)
	}
	plan = scheduler.Plan(prompt(overdue, granted("p")), []Candidate{reader("p"), busy})
	if plan.Mode != Apart || plan.Late {
		t.Errorf("granted: mode %s, late %v", plan.Mode, plan.Late)
	}
	lessUrgent := func(c *Candidate) { c.ReadTokens = 3_600 }
	plan = scheduler.Plan(prompt(overdue, waiting), []Candidate{reader("p", lessUrgent), busy})
	if plan.Mode != Apart || plan.Late {
		t.Errorf("behind nobody: mode %s, late %v", plan.Mode, plan.Late)
	}
}

// TestGrantedEngineServesALateRequest checks that a granted engine is used while it is idle, also
// if no other one is.
func TestGrantedEngineServesALateRequest(t *testing.T) {
	busy := func(id string) Candidate { return reader(id, queued(busyQueue)) }
	for name, test := range map[string]struct {
		readers []Candidate
		want    Mode
	}{
		"idle":       {[]Candidate{fastest(), reader("p"), reader("q")}, Apart},
		"busy again": {[]Candidate{fastest(), busy("p"), reader("q")}, Held},
		"last one":   {[]Candidate{fastest(), reader("p"), busy("q")}, Apart},
	} {
		plan := New(DefaultCosts()).Plan(prompt(overdue, granted("p")), append(test.readers, decoder("d", queued(busyQueue))))
		if plan.Mode != test.want || plan.Mode == Apart && (!plan.Late || plan.Reader.ID != "p") {
			t.Errorf("%s: mode %s, late %v, prefilled at %q", name, plan.Mode, plan.Late, plan.Reader.ID)
		}
	}
}

// TestRequestThatCannotBeServedNeverWaits checks that a request is refused at its first plan if
// its caller leaves before any engine could serve it.
func TestRequestThatCannotBeServedNeverWaits(t *testing.T) {
	for name, patience := range map[string]time.Duration{"behind the queue": 1200 * time.Millisecond, "at all": 300 * time.Millisecond} {
		candidates := []Candidate{reader("p", queued(busyQueue)), decoder("d", queued(400_000))}
		plan := New(DefaultCosts()).Plan(prompt(overdue, waiting, patient(patience)), candidates)
		if plan.Mode != Refused || plan.Reason != TooLate {
			t.Errorf("%s: mode %s, reason %q", name, plan.Mode, plan.Reason)
		}
	}
}

// TestStreamsThatHaveBegunDontWait checks that a stream of which the caller has a part is served
// as without waiting.
func TestStreamsThatHaveBegunDontWait(t *testing.T) {
	begun := func(r *Request) { r.Begun = true }
	candidates := []Candidate{reader("p", queued(busyQueue)), decoder("d", queued(busyQueue))}
	if plan := New(DefaultCosts()).Plan(prompt(overdue, waiting, begun), candidates); plan.Mode == Held || plan.Mode == Refused {
		t.Errorf("mode %s, reason %q", plan.Mode, plan.Reason)
	}
}

// TestGrantedRequestDoesNotWaitForAPrefix checks that a request uses the engine that it was
// granted instead of waiting for a prefix that is being read.
func TestGrantedRequestDoesNotWaitForAPrefix(t *testing.T) {
	candidates := []Candidate{reader("p", inFlight(13_300, 200*time.Millisecond)), reader("q"), decoder("d", queued(busyQueue))}
	for _, engine := range []string{"p", "q"} {
		plan := New(DefaultCosts()).Plan(prompt(overdue, singleRead, granted(engine)), candidates)
		if plan.Mode != Apart || plan.Reader.ID != engine {
			t.Errorf("granted %s: mode %s (%s) at %q", engine, plan.Mode, plan.Reason, plan.Reader.ID)
		}
	}
}

// TestQueueOfAPlanTakesLongerOnASlowHost checks the time that refused callers are told to wait
// for.
func TestQueueOfAPlanTakesLongerOnASlowHost(t *testing.T) {
	usual, slow := Plan{Reader: reader("p", queued(3600), onHost(1))}, Plan{Reader: reader("p", queued(3600), onHost(2))}
	if usual.Queue() <= 0 || slow.Queue() < usual.Queue()*19/10 {
		t.Errorf("%v on a usual host, %v on one that is twice as slow", usual.Queue(), slow.Queue())
	}
}
