package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/quota"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

// noTurnAt grants turns at all workers but one.
type noTurnAt struct{ worker string }

func (n noTurnAt) TakeTurn(_ context.Context, worker string, _ time.Duration) quota.Outcome {
	return quota.Outcome{Granted: worker != n.worker, RetryAfter: time.Hour}
}
func (noTurnAt) ReturnTurn(string) {}
func (noTurnAt) CountTurn(string)  {}

// TestPromptIsNotPrefilledWithoutATurnToRun checks that no prompt is prefilled while the engine
// that is to run it has no turn left.
func TestPromptIsNotPrefilledWithoutATurnToRun(t *testing.T) {
	dispatcher, registry, call, events := newLateFixture(t)
	dispatcher.turns = noTurnAt{"write"}
	call.Route.Objective = time.Minute
	registry.Begin("write", worker.Load{Requests: 1, Unread: worker.UnreadTokensOf(0, 400_000)}) // so that the prompt is read apart
	now := time.Now()
	registry.ObserveLimit("write", "request", worker.LimitStatement{Named: true, Rate: 1, Sent: now, Heard: now})
	outcome := dispatcher.Run(context.Background(), call, &sink{})
	if outcome.Attempts != 0 || outcome.RetryAfter <= 0 || len(events.sent) > 0 {
		t.Errorf("not refused: %+v, sent to %d engines", outcome, len(events.sent))
	}
}

// TestRefusedCallersRetryOneAfterTheOther checks that refused callers are told different
// times. Otherwise all but one of them would be refused again.
func TestRefusedCallersRetryOneAfterTheOther(t *testing.T) {
	const nodes, perSecond = 3, 6
	d := &Dispatcher{nodes: func() int { return nodes }, promisedUntil: make(map[string]time.Time)}
	before := time.Duration(0)
	for count := range 5 {
		wait := d.promiseTurn("s", 100*time.Millisecond, perSecond)
		if wait <= 0 || count > 0 && (wait-before < 400*time.Millisecond || wait-before > 600*time.Millisecond) {
			t.Errorf("caller %d is told to retry after %v, the one before after %v; a node has two turns a second", count, wait, before)
		}
		before = wait
	}
	for range 100 {
		before = d.promiseTurn("s", 100*time.Millisecond, perSecond)
	}
	if before > maxRetryAfter {
		t.Errorf("a caller is told to retry after %v, want at most maxRetryAfter", before)
	}
	if wait := d.promiseTurn("other", 100*time.Millisecond, perSecond); wait > 200*time.Millisecond {
		t.Errorf("a caller of another service is told to retry after %v", wait)
	}
}

// TestCallersOfACrowdedNodeReturnAtItsRate guards against callers who are sent away for as many
// times as long as there are nodes, where one node has them all.
func TestCallersOfACrowdedNodeReturnAtItsRate(t *testing.T) {
	const nodes, perSecond = 6, 12
	d := &Dispatcher{nodes: func() int { return nodes }, promisedUntil: make(map[string]time.Time)}
	for range perSecond {
		d.countGranted("s", time.Now())
	}
	last := time.Duration(0)
	for range perSecond {
		last = d.promiseTurn("s", 0, perSecond)
	}
	if last > 1500*time.Millisecond {
		t.Errorf("the last of %d callers is told to retry after %v; the node is granted %d turns a second", perSecond, last, perSecond)
	}
}

func TestTurnRateIsForgotten(t *testing.T) {
	var rate turnRate
	now := time.Unix(1000, 0)
	for range 5 {
		rate.granted(now)
	}
	for wait, want := range map[time.Duration]float64{0: 5, turnRatePeriod: 5, 3 * turnRatePeriod: 0} {
		copied := rate
		if got := copied.perSecond(now.Add(wait)); got != want {
			t.Errorf("after %v, %v turns a second, want %v", wait, got, want)
		}
	}
}

// TestWorkersWhoseTurnIsLateAreLeftOut checks that more urgent calls wait longer for a turn,
// and that each waits at least until the next one.
func TestWorkersWhoseTurnIsLateAreLeftOut(t *testing.T) {
	setting, _, call, _ := newLateFixture(t)
	call.Route.Objective, call.Deadline = 4*time.Second, time.Now().Add(8*time.Second)
	call.Arrived = time.Now()
	for _, test := range []struct {
		priority int
		wait     float64
		kept     bool
	}{
		{0, 2000, true}, {0, 3000, false}, {1, 1000, true}, {1, 2000, false}, {3, 450, true}, {3, 900, false},
	} {
		call.Route.Priority = test.priority
		s := &session{Dispatcher: setting, call: call}
		limited := scheduling.Candidate{ID: "limited", Limited: true, PerSecond: 2, TurnWait: test.wait}
		left := s.withTurnInTime([]scheduling.Candidate{limited, {ID: "free"}})
		if kept := len(left) == 2; kept != test.kept {
			t.Errorf("priority %d, a turn in %v ms: kept %v", test.priority, test.wait, kept)
		}
		if told := s.nextTurn > 0; told == test.kept {
			t.Errorf("priority %d: the next turn of workers left out is in %v", test.priority, s.nextTurn)
		}
	}
}
