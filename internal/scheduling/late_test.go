package scheduling

import (
	"testing"
	"time"
)

func withLateTokens(tokens int) func(*Candidate) { return func(c *Candidate) { c.LateTokens = tokens } }

func patient(patience time.Duration) func(*Request) {
	return func(r *Request) { r.Patience = patience }
}

// busyQueue is a queue that makes an answer late, and that a patient caller waits for.
const busyQueue = 16_000

// overdue requests can't be in time, even at an idle engine.
func overdue(r *Request) { r.ObjectiveLeft = 100 * time.Millisecond }

// fastest is an engine that costs least, although others wait there.
func fastest(change ...func(*Candidate)) Candidate {
	change = append(change, queued(20_000), func(c *Candidate) { c.Throughput, c.Reading = 144, readingAt(144) })
	return reader("fastest", change...)
}

// TestLateRequestIsPrefilledWhereNothingWaits, where it was refused.
func TestLateRequestIsPrefilledWhereNothingWaits(t *testing.T) {
	candidates := []Candidate{fastest(), reader("free"), decoder("d", queued(busyQueue))}
	plan := New(DefaultCosts()).Plan(prompt(overdue), candidates)
	if plan.Mode != Apart || !plan.Late || plan.Reader.ID != "free" {
		t.Errorf("%s, late %v, read at %q", plan.Mode, plan.Late, plan.Reader.ID)
	}
}

// holding are costs with which late requests wait at their node.
func holding() Costs {
	costs := DefaultCosts()
	costs.Hold = true
	return costs
}

// TestLateRequestIsRefusedWhereNoneAreHeld, unless an engine is free.
func TestLateRequestIsRefusedWhereNoneAreHeld(t *testing.T) {
	plan := New(DefaultCosts()).Plan(prompt(overdue), []Candidate{reader("p", queued(1_000)), decoder("d", queued(busyQueue))})
	if plan.Mode != Refused || plan.Reason != TooLate {
		t.Errorf("%s, %q", plan.Mode, plan.Reason)
	}
}

// TestHeldRequestsLeaveTheLastFreeEngine to work in time: it is held while most are busy.
func TestHeldRequestsLeaveTheLastFreeEngine(t *testing.T) {
	candidates := []Candidate{fastest(), reader("busy", queued(busyQueue)), reader("free"), decoder("d", queued(busyQueue))}
	if plan := New(holding()).Plan(prompt(overdue), candidates); plan.Mode != Held {
		t.Errorf("%s, read at %q", plan.Mode, plan.Reader.ID)
	}
}

// TestLateRequestIsHeldUntilAnEngineIsFree, and pauses as long as that may take, within
// bounds.
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
			t.Errorf("%s: %s, planned again after %v", name, plan.Mode, plan.RetryAfter)
		}
	}
}

// TestQueueOfAllRanksHoldsALateRequest: that of less urgent requests and of late ones, too.
func TestQueueOfAllRanksHoldsALateRequest(t *testing.T) {
	lessUrgent := func(c *Candidate) { c.ReadTokens = 3_600 }
	for name, queue := range map[string]func(*Candidate){"less urgent": lessUrgent, "late": withLateTokens(3_600)} {
		candidates := []Candidate{fastest(), reader("p", queue), decoder("d", queued(busyQueue))}
		if plan := New(holding()).Plan(prompt(overdue), candidates); plan.Mode != Held {
			t.Errorf("%s: %s", name, plan.Mode)
		}
	}
}

// TestLateRequestIsRefusedWhereItsCallerWouldLeave before the first byte.
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
			t.Errorf("%s: %s, first byte after %v", name, plan.Mode, plan.First)
		}
		if plan.Mode == Refused && (plan.Reason != TooLate || plan.RetryAfter <= 0 || plan.Late) {
			t.Errorf("%s: refused for %q, come back after %v, late %v", name, plan.Reason, plan.RetryAfter, plan.Late)
		}
	}
}

// TestRequestInTimeOvertakesLateOnes: it neither waits for it nor avoids its engine.
func TestRequestInTimeOvertakesLateOnes(t *testing.T) {
	scheduler := New(DefaultCosts())
	empty := scheduler.Plan(prompt(), []Candidate{reader("p"), decoder("d")})
	behind := scheduler.Plan(prompt(), []Candidate{reader("p", withLateTokens(200_000)), decoder("d")})
	if behind.Late || behind.First != empty.First || behind.Cost != empty.Cost {
		t.Errorf("with late work first byte after %v at %v, without after %v at %v", behind.First, behind.Cost, empty.First, empty.Cost)
	}
}

// TestLateRequestsTakeOnlySpareRoom of sound workers: neither an engine's last slots nor its
// last memory.
func TestLateRequestsTakeOnlySpareRoom(t *testing.T) {
	manySlots := running(50)
	memory := func(c *Candidate) { c.MemoryTokens = 320_000 }
	leaving := func(c *Candidate) { c.Leaving = true }
	for name, candidates := range map[string][]Candidate{
		"slots of the reader":  {reader("p", manySlots), decoder("d", queued(busyQueue))},
		"memory of the reader": {reader("p", memory), decoder("d", queued(busyQueue))},
		"slots of the writer":  {reader("p"), decoder("d", queued(busyQueue), manySlots)},
		"memory of the writer": {reader("p"), decoder("d", queued(busyQueue), memory)},
		"a reader that failed": {reader("p", avoided), decoder("d", queued(busyQueue))},
		"a writer that leaves": {reader("p"), decoder("d", queued(busyQueue), leaving)},
	} {
		if plan := New(DefaultCosts()).Plan(prompt(overdue), append(candidates, fastest())); plan.Mode == Apart {
			t.Errorf("%s: read at %s, run at %s", name, plan.Reader.ID, plan.Runner.ID)
		}
	}
}

// TestLateRequestIsNotPrefilledAtDecodeEngine: it would hold up the streams there.
func TestLateRequestIsNotPrefilledAtDecodeEngine(t *testing.T) {
	if plan := New(holding()).Plan(prompt(), []Candidate{decoder("d", queued(10_000))}); plan.Mode != Refused {
		t.Errorf("%s, late %v", plan.Mode, plan.Late)
	}
}

// TestBegunStreamIsResumedWithoutYielding though it is late: a stream that broke off is resumed
// where others wait, and never held.
func TestBegunStreamIsResumedWithoutYielding(t *testing.T) {
	begun := func(r *Request) { r.Begun, r.ObjectiveLeft = true, -time.Second }
	candidates := []Candidate{reader("p", queued(busyQueue)), decoder("d", queued(5_000))}
	if plan := New(DefaultCosts()).Plan(prompt(begun), candidates); plan.Mode == Held || plan.Mode == Refused || plan.Late {
		t.Errorf("%s, late %v", plan.Mode, plan.Late)
	}
	if plan := New(DefaultCosts()).Plan(prompt(begun, patient(300*time.Millisecond)), candidates); plan.Mode != Refused {
		t.Errorf("%s, though its caller leaves before", plan.Mode)
	}
}
