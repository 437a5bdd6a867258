package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// TestLateCallersGetPlacesOnlyWhereReturnsAreSpread checks that a refused caller is told what the
// queue says, and what the schedule says where it is on: the schedule, which doesn't know a rate
// yet, doesn't invite it back before its time ends.
func TestLateCallersGetPlacesOnlyWhereReturnsAreSpread(t *testing.T) {
	for _, spread := range []bool{false, true} {
		dispatcher, registry, call, events := newLateFixture(t)
		dispatcher.overload.SpreadRetries = func(service string) bool { return spread && service == "llm" }
		placeQueues(registry, registry.Begin)
		call.Route.Patience = time.Millisecond // too short to be held
		outcome := dispatcher.Run(context.Background(), call, &sink{})
		if outcome.Code != result.DeadlineUnreachable || !outcome.NotRun() || len(events.sent) > 0 {
			t.Fatalf("not refused: %+v, sent %d", outcome, len(events.sent))
		}
		if invited := outcome.RetryAfter < time.Minute; invited == spread {
			t.Errorf("spread %v: told to return after %v, with an hour left", spread, outcome.RetryAfter)
		}
	}
}
