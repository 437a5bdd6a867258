package soak

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

func TestRequestsThatReachAWorkerInSpiteOfItsNoticesCount(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	requests := map[string]trace{
		"first": {node: "n1", sent: at(0), answered: at(0.1), worker: "w", leaving: true},
		"soon":  {node: "n1", sent: at(2)}, "late": {node: "n1", sent: at(2.2)}, "other": {node: "n2", sent: at(2.2)},
	}
	arrivals := []fleetworker.Arrival{
		{ID: "first", At: at(0.05), Backoff: 3 * time.Second}, {ID: "soon", At: at(2.3)}, {ID: "late", At: at(2.4)}, {ID: "other", At: at(2.4)},
	}
	l := &limits{}
	if got := l.sentTooLate("w", arrivals, requests); got != 1 {
		t.Errorf("%d requests were sent too late, want 1", got)
	}
	if got := l.mostInBackoff("w", arrivals, requests); got != 2 {
		t.Errorf("%d requests came during a backoff, want 2", got)
	}
	l.recordFault("n1", at(1), at(1.1))
	if late, most := l.sentTooLate("w", arrivals, requests), l.mostInBackoff("w", arrivals, requests); late+most > 0 {
		t.Errorf("%d and %d requests count although their node has restarted since", late, most)
	}
}
