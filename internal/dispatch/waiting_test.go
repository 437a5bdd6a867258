package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/waitlist"
)

// fakeWaits grants what the test says and signals what calls do.
type fakeWaits struct {
	granted                chan waitlist.Grant
	joined, declined, left chan string
	standing               waitlist.Standing
	known                  bool
}

func newFakeWaits() *fakeWaits {
	return &fakeWaits{
		granted: make(chan waitlist.Grant, 1), joined: make(chan string, 10),
		declined: make(chan string, 10), left: make(chan string, 10),
	}
}

func (w *fakeWaits) JoinWait(waiter waitlist.Waiter) (uint64, <-chan waitlist.Grant) {
	w.joined <- waiter.Choices[0].Engine
	return 1, w.granted
}
func (w *fakeWaits) UpdateWait(uint64, []waitlist.Choice)          {}
func (w *fakeWaits) WaitStanding(uint64) (waitlist.Standing, bool) { return w.standing, w.known }
func (w *fakeWaits) DeclineWait(uint64)                            { w.declined <- "" }
func (w *fakeWaits) LeaveWait(_ uint64, used string)               { w.left <- used }
func (w *fakeWaits) grant(until time.Time)                         { w.granted <- waitlist.Grant{Engine: "read", Until: until} }

// newWaitingFixture is newLateFixture with a busy prefill engine for which the call waits.
func newWaitingFixture(t *testing.T) (waits *fakeWaits, dispatcher *Dispatcher, call *Call, free func()) {
	t.Helper()
	dispatcher, registry, call, _ := newLateFixture(t)
	placeQueues(registry, registry.Begin)
	waits = newFakeWaits()
	dispatcher.waits, dispatcher.heldCalls.limit = waits, 1<<20
	dispatcher.overload.Waiting = func(string) bool { return true }
	return waits, dispatcher, call, func() { placeQueues(registry, registry.End) }
}

// run runs a call and returns a channel with its outcome.
func run(ctx context.Context, d *Dispatcher, call *Call) <-chan Outcome {
	ended := make(chan Outcome, 1)
	go func() { ended <- d.Run(ctx, call, &sink{}) }()
	return ended
}

// TestWaitingCallIsServedByTheGrantedEngine checks that a late call waits and is served once it
// is granted an engine.
func TestWaitingCallIsServedByTheGrantedEngine(t *testing.T) {
	waits, dispatcher, call, free := newWaitingFixture(t)
	ended := run(t.Context(), dispatcher, call)
	if engine := <-waits.joined; engine != "read" {
		t.Errorf("waits for %q", engine)
	}
	free()
	waits.grant(time.Now().Add(time.Hour))
	if outcome := <-ended; outcome.Status != http.StatusOK {
		t.Errorf("%+v", outcome)
	}
	if used := <-waits.left; used != "read" {
		t.Errorf("the wait ended with %q", used)
	}
}

// TestGrantOfABusyEngineIsDeclined checks that a call gives back an engine that is busy again,
// and waits on.
func TestGrantOfABusyEngineIsDeclined(t *testing.T) {
	waits, dispatcher, call, _ := newWaitingFixture(t)
	ctx, leave := context.WithCancel(t.Context())
	ended := run(ctx, dispatcher, call)
	<-waits.joined
	waits.grant(time.Now().Add(time.Hour))
	<-waits.declined
	leave()
	if outcome := <-ended; outcome.Code != result.CallerGone || outcome.Attempts != 0 {
		t.Errorf("%+v", outcome)
	}
}

// TestGrantOfASuspendedNodeIsNotUsed checks that a call doesn't use a grant that ended before it
// looked at it.
func TestGrantOfASuspendedNodeIsNotUsed(t *testing.T) {
	waits, dispatcher, call, free := newWaitingFixture(t)
	ctx, leave := context.WithCancel(t.Context())
	ended := run(ctx, dispatcher, call)
	<-waits.joined
	free()
	waits.grant(time.Now().Add(-time.Second))
	<-waits.declined
	leave()
	<-ended
}

// TestWaitEndsWithItsCaller checks that nothing is left of a call whose caller leaves.
func TestWaitEndsWithItsCaller(t *testing.T) {
	waits, dispatcher, call, _ := newWaitingFixture(t)
	ctx, leave := context.WithCancel(t.Context())
	ended := run(ctx, dispatcher, call)
	<-waits.joined
	leave()
	if outcome := <-ended; outcome.Code != result.CallerGone || !outcome.NotRun() {
		t.Errorf("%+v", outcome)
	}
	if used := <-waits.left; used != "" || dispatcher.heldCalls.bytes != 0 {
		t.Errorf("used %q, %d bytes held", used, dispatcher.heldCalls.bytes)
	}
}

// TestCallIsRefusedWhenItComesTooLate checks that a waiting call is refused, as not run, as soon
// as its engine is of no use any more, and before that when too many are ahead of it.
func TestCallIsRefusedWhenItComesTooLate(t *testing.T) {
	for name, change := range map[string]func(*fakeWaits, *Call){
		"time over":      func(_ *fakeWaits, call *Call) { call.Deadline = call.Arrived.Add(1500 * time.Millisecond) },
		"too many ahead": func(waits *fakeWaits, _ *Call) { waits.standing.Wait, waits.known = 2*time.Hour, true },
	} {
		t.Run(name, func(t *testing.T) {
			waits, dispatcher, call, _ := newWaitingFixture(t)
			change(waits, call)
			outcome := <-run(t.Context(), dispatcher, call)
			if outcome.Code != result.DeadlineUnreachable || !outcome.NotRun() || outcome.Detail != string(scheduling.TooLate) || outcome.RetryAfter <= 0 {
				t.Errorf("%+v", outcome)
			}
			<-waits.joined
			<-waits.left
		})
	}
}

// TestCallIsRefusedWhereThereIsNoRoom checks that a call is refused, as not run, if the calls
// that wait take all the memory, and that it makes room for a more urgent one.
func TestCallIsRefusedWhereThereIsNoRoom(t *testing.T) {
	waits, dispatcher, call, _ := newWaitingFixture(t)
	dispatcher.heldCalls.limit = heldOverhead
	ended := run(t.Context(), dispatcher, call)
	<-waits.joined
	same := *call
	if outcome := dispatcher.Run(t.Context(), &same, &sink{}); outcome.Code != result.DeadlineUnreachable || outcome.Detail != string(scheduling.NoRoom) {
		t.Errorf("same urgency: %+v", outcome)
	}
	urgent := *call
	route := *call.Route
	route.Priority, urgent.Route = 0, &route
	ctx, leave := context.WithCancel(t.Context())
	urgentEnded := run(ctx, dispatcher, &urgent)
	if outcome := <-ended; outcome.Detail != string(scheduling.NoRoom) || !outcome.NotRun() {
		t.Errorf("the less urgent call: %+v", outcome)
	}
	leave()
	<-urgentEnded
}

// TestCallsOfOtherServicesDontWait checks that late calls are treated as before where waiting
// isn't selected.
func TestCallsOfOtherServicesDontWait(t *testing.T) {
	waits, dispatcher, call, _ := newWaitingFixture(t)
	dispatcher.scheduler = scheduling.New(scheduling.DefaultCosts())
	dispatcher.overload.Waiting = func(string) bool { return false }
	outcome := dispatcher.Run(t.Context(), call, &sink{})
	if outcome.Detail != string(scheduling.TooLate) || len(waits.joined) != 0 {
		t.Errorf("%+v, waited %d times", outcome, len(waits.joined))
	}
}

// TestHeldCallsStayWithinTheirBound checks for any calls that come and go that their memory stays
// within the bound, and that none is dropped for one that is no more urgent or doesn't fit.
func TestHeldCallsStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &heldCalls{limit: 10 * heldOverhead}
		var calls []*heldCall
		for i := range 100 {
			rank, body := rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(0, 4*heldOverhead).Draw(t, "body")
			before := len(h.calls)
			added := h.add(rank, body, time.Unix(int64(i), 0))
			for _, call := range calls {
				if _, held := h.calls[call]; !held && !dropped(call) {
					t.Fatal("a call was forgotten")
				}
				if dropped(call) && call.rank <= rank {
					t.Fatal(fmt.Sprint("rank ", call.rank, " was dropped for rank ", rank))
				}
			}
			calls = calls[:0]
			for call := range h.calls {
				calls = append(calls, call)
			}
			if h.bytes > h.limit || added == nil && len(h.calls) != before {
				t.Fatalf("%d bytes of %d, %d calls, before %d", h.bytes, h.limit, len(h.calls), before)
			}
			if added != nil && rapid.Bool().Draw(t, "ends") {
				h.remove(added)
				calls = calls[:0]
				for call := range h.calls {
					calls = append(calls, call)
				}
			}
		}
	})
}

func dropped(call *heldCall) bool {
	select {
	case <-call.dropped:
		return true
	default:
		return false
	}
}

// TestWaitingCallCountsAsDemandOnce however often it is planned, also if it is refused in the
// end.
func TestWaitingCallCountsAsDemandOnce(t *testing.T) {
	waits, dispatcher, call, _ := newWaitingFixture(t)
	ctx, leave := context.WithCancel(t.Context())
	ended := run(ctx, dispatcher, call)
	<-waits.joined
	for range 3 { // the engine is busy, so that each grant makes another plan
		waits.grant(time.Now().Add(time.Hour))
		<-waits.declined
	}
	leave()
	<-ended
	asked := dispatcher.registry.Demands("llm", time.Now())[""].ReadTokens
	if asked <= 0 || asked > float64(call.PromptTokens) {
		t.Errorf("%.0f tokens a second are asked for by one call of %d", asked, call.PromptTokens)
	}
}
