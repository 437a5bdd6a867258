package scheduling

import (
	"testing"
	"time"
)

func withLateTokens(tokens int) func(*Candidate) { return func(c *Candidate) { c.LateTokens = tokens } }

func patient(patience time.Duration) func(*Request) {
	return func(r *Request) { r.Patience = patience }
}

// busyQueue is a queue in tokens that makes an answer late, but not too late for a patient
// caller.
const busyQueue = 16_000

// overdue makes a request that cannot be in time even at an idle engine.
func overdue(r *Request) { r.ObjectiveLeft = 100 * time.Millisecond }

// fastest returns an engine that has the lowest cost although others wait there.
func fastest(change ...func(*Candidate)) Candidate {
	change = append(change, queued(20_000), func(c *Candidate) { c.Throughput, c.PrefillCoefficients = 144, readingAt(144) })
	return reader("fastest", change...)
}

// TestLateRequestIsPrefilledWhereNothingWaits checks that a late request goes to an idle engine
// and is not refused.
func TestLateRequestIsPrefilledWhereNothingWaits(t *testing.T) {
	candidates := []Candidate{fastest(), reader("free"), decoder("d", queued(busyQueue))}
	plan := New(DefaultCosts()).Plan(prompt(overdue), candidates)
	if plan.Mode != Apart || !plan.Late || plan.Reader.ID != "free" {
		t.Errorf("mode %s, late %v, prefilled at %q", plan.Mode, plan.Late, plan.Reader.ID)
	}
}

// holding returns costs with which late requests wait at their node.
func holding() Costs {
	costs := DefaultCosts()
	costs.Hold = true
	return costs
}

// TestLateRequestIsRefusedWhereNoneAreHeld checks that a late request is refused without
// Costs.Hold if no engine is free.
func TestLateRequestIsRefusedWhereNoneAreHeld(t *testing.T) {
	plan := New(DefaultCosts()).Plan(prompt(overdue), []Candidate{reader("p", queued(1_000)), decoder("d", queued(busyQueue))})
	if plan.Mode != Refused || plan.Reason != TooLate {
		t.Errorf("mode %s, reason %q, want a refusal as too late", plan.Mode, plan.Reason)
	}
}

// TestHeldRequestsLeaveTheLastFreeEngine checks that a late request is held while most engines
// are busy, so that the last free one is left to requests in time.
func TestHeldRequestsLeaveTheLastFreeEngine(t *testing.T) {
	candidates := []Candidate{fastest(), reader("busy", queued(busyQueue)), reader("free"), decoder("d", queued(busyQueue))}
	if plan := New(holding()).Plan(prompt(overdue), candidates); plan.Mode != Held {
		t.Errorf("mode %s, prefilled at %q, want it held", plan.Mode, plan.Reader.ID)
	}
}

// TestLateRequestIsHeldUntilAnEngineIsFree checks that a late request is held for about as long
// as the queue takes, between minHold and maxHold.
func TestLateRequestIsHeldUntilAnEngineIsFree(t *testing.T) {
	for name, test := range map[string]struct {
		queue int
		pause time.Duration
	}{
		"short queue": {1_000, minHold},
		"queue":       {3_600, 100 * time.Millisecond},
		"long queue":  {busyQueue, maxHold},
	} {
		plan := New(holding()).Plan(prompt(overdue), []Candidate{reader("p", queued(test.queue)), decoder("d", queued(busyQueue))})
		if plan.Mode != Held || plan.RetryAfter != test.pause {
			t.Errorf("%s: mode %s, planned again after %v", name, plan.Mode, plan.RetryAfter)
		}
	}
}

// TestQueueOfAllRanksHoldsALateRequest checks that a late request also waits for queued prompts
// of less urgent and of other late requests.
func TestQueueOfAllRanksHoldsALateRequest(t *testing.T) {
	lessUrgent := func(c *Candidate) { c.ReadTokens = 3_600 }
	for name, queue := range map[string]func(*Candidate){"less urgent": lessUrgent, "late": withLateTokens(3_600)} {
		candidates := []Candidate{fastest(), reader("p", queue), decoder("d", queued(busyQueue))}
		if plan := New(holding()).Plan(prompt(overdue), candidates); plan.Mode != Held {
			t.Errorf("%s: mode %s, want it held", name, plan.Mode)
		}
	}
}

// TestLateRequestIsRefusedWhereItsCallerWouldLeave checks that a late request is refused if its
// caller would leave before the first byte.
func TestLateRequestIsRefusedWhereItsCallerWouldLeave(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Request)
		mode   Mode
	}{
		"patient":     {patient(4 * time.Second), Held},
		"impatient":   {patient(time.Second), Refused},
		"little time": {func(r *Request) { r.Remaining = time.Second }, Refused},
	} {
		plan := New(holding()).Plan(prompt(overdue, test.change), []Candidate{reader("p", queued(busyQueue)), decoder("d", queued(busyQueue))})
		if plan.Mode != test.mode {
			t.Errorf("%s: mode %s, first byte after %v", name, plan.Mode, plan.First)
		}
		if plan.Mode == Refused && (plan.Reason != TooLate || plan.RetryAfter <= 0 || plan.Late) {
			t.Errorf("%s: refused as %q, retry after %v, late %v", name, plan.Reason, plan.RetryAfter, plan.Late)
		}
	}
}

// TestRequestInTimeOvertakesLateOnes checks that late prompts queued at an engine neither delay
// a request in time nor make it avoid that engine.
func TestRequestInTimeOvertakesLateOnes(t *testing.T) {
	scheduler := New(DefaultCosts())
	empty := scheduler.Plan(prompt(), []Candidate{reader("p"), decoder("d")})
	behind := scheduler.Plan(prompt(), []Candidate{reader("p", withLateTokens(200_000)), decoder("d")})
	if behind.Late || behind.First != empty.First || behind.Cost != empty.Cost {
		t.Errorf("with late requests queued the first byte comes after %v at cost %v, without them after %v at cost %v", behind.First, behind.Cost, empty.First, empty.Cost)
	}
}

// TestLateRequestsTakeOnlySpareRoom checks that late requests go to sound workers only and take
// neither an engine's last slots nor its last memory.
func TestLateRequestsTakeOnlySpareRoom(t *testing.T) {
	manySlots := running(50)
	memory := func(c *Candidate) { c.MemoryTokens = 320_000 }
	leaving := func(c *Candidate) { c.Leaving = true }
	for name, candidates := range map[string][]Candidate{
		"slots of the prefill engine":     {reader("p", manySlots), decoder("d", queued(busyQueue))},
		"memory of the prefill engine":    {reader("p", memory), decoder("d", queued(busyQueue))},
		"slots of the decode engine":      {reader("p"), decoder("d", queued(busyQueue), manySlots)},
		"memory of the decode engine":     {reader("p"), decoder("d", queued(busyQueue), memory)},
		"a prefill engine that failed":    {reader("p", avoided), decoder("d", queued(busyQueue))},
		"a decode engine that is leaving": {reader("p"), decoder("d", queued(busyQueue), leaving)},
	} {
		if plan := New(DefaultCosts()).Plan(prompt(overdue), append(candidates, fastest())); plan.Mode == Apart {
			t.Errorf("%s: prefilled at %s, run at %s", name, plan.Reader.ID, plan.Runner.ID)
		}
	}
}

// TestLateRequestIsNotPrefilledAtDecodeEngine guards against late prompts that stall the
// streams of a decode engine.
func TestLateRequestIsNotPrefilledAtDecodeEngine(t *testing.T) {
	if plan := New(holding()).Plan(prompt(), []Candidate{decoder("d", queued(10_000))}); plan.Mode != Refused {
		t.Errorf("mode %s, late %v", plan.Mode, plan.Late)
	}
}

// TestBegunStreamIsResumedWithoutYielding checks that a stream that broke off is resumed
// although it is late, even where others wait, and is never held.
func TestBegunStreamIsResumedWithoutYielding(t *testing.T) {
	begun := func(r *Request) { r.Begun, r.ObjectiveLeft = true, -time.Second }
	candidates := []Candidate{reader("p", queued(busyQueue)), decoder("d", queued(5_000))}
	if plan := New(DefaultCosts()).Plan(prompt(begun), candidates); plan.Mode == Held || plan.Mode == Refused || plan.Late {
		t.Errorf("mode %s, late %v", plan.Mode, plan.Late)
	}
	if plan := New(DefaultCosts()).Plan(prompt(begun, patient(300*time.Millisecond)), candidates); plan.Mode != Refused {
		t.Errorf("mode %s although its caller leaves before the first byte", plan.Mode)
	}
}
