package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

var limitOrigin = time.Unix(1000, 0)

// said is a statement in answer to a request sent and answered at milliseconds after the
// origin; a negative rate names no limit.
func said(rate float64, sent, heard int) LimitStatement {
	statement := LimitStatement{
		Sent:  limitOrigin.Add(time.Duration(sent) * time.Millisecond),
		Heard: limitOrigin.Add(time.Duration(heard) * time.Millisecond),
	}
	if rate >= 0 {
		statement.Named, statement.Rate = true, rate
	}
	return statement
}

const noLimit = -1

// TestStatementsAreOrderedByTheWorkersWord: answers overtake each other, and where nothing tells
// which of two is newer the lower holds.
func TestStatementsAreOrderedByTheWorkersWord(t *testing.T) {
	for name, test := range map[string]struct {
		known, next LimitStatement
		want        float64
	}{
		"first":                              {LimitStatement{}, said(2, 0, 10), 2},
		"none after nothing":                 {LimitStatement{}, said(noLimit, 0, 10), noLimit},
		"a later answer raises it":           {said(2, 0, 10), said(5, 11, 20), 5},
		"a later answer lowers it":           {said(2, 0, 10), said(1, 12, 20), 1},
		"a later answer ends it":             {said(2, 0, 10), said(noLimit, 11, 20), noLimit},
		"an answer that was overtaken":       {said(5, 30, 40), said(2, 0, 10), 5},
		"an end that was overtaken":          {said(5, 30, 40), said(noLimit, 0, 10), 5},
		"at the same time, a higher one":     {said(2, 0, 30), said(5, 10, 40), 2},
		"at the same time, a lower one":      {said(5, 0, 30), said(2, 10, 40), 2},
		"sent in the moment of the other":    {said(2, 0, 10), said(noLimit, 10, 20), 2},
		"heard in the moment of the other":   {said(noLimit, 10, 20), said(2, 0, 10), 2},
		"at the same time as an end":         {said(noLimit, 0, 30), said(2, 10, 20), 2},
		"an end at the same time":            {said(2, 0, 30), said(noLimit, 10, 40), 2},
		"nothing at all is as low as it can": {said(2, 0, 10), said(0, 20, 30), 0},
	} {
		got := test.next.mergedWith(test.known)
		if got.Named != (test.want >= 0) || got.Named && got.Rate != test.want {
			t.Errorf("%s: %+v, want %v", name, got, test.want)
		}
	}
}

// TestEndIsBelievedThoughOlderAnswersGoOnComing: requests that were under way as the limit ended
// don't keep it up.
func TestEndIsBelievedThoughOlderAnswersGoOnComing(t *testing.T) {
	holds := said(2, 0, 100)
	for sent := 10; sent < 100; sent += 10 {
		holds = said(noLimit, sent, sent+200).mergedWith(holds)
	}
	if !holds.Named {
		t.Fatal("an answer to a request that was sent before ended the limit")
	}
	if holds = said(noLimit, 101, 300).mergedWith(holds); holds.Named {
		t.Error("a request sent after the last word on the limit doesn't end it")
	}
}

// TestLimitIsOfOneStart: a worker that starts again under its name has said nothing yet, and what
// is told of the earlier start changes nothing.
func TestLimitIsOfOneStart(t *testing.T) {
	r := NewRegistry(topology.New("a", nil))
	earlier, later := IncarnationID("w", 5000), IncarnationID("w", 6000)
	r.Apply(Change{Name: "w", Worker: &Worker{ID: earlier, Service: "s"}})
	r.ObserveLimit(earlier, "request", said(2, 0, 10))
	if !r.HasLimit(earlier) || r.CountLimited() != 1 {
		t.Fatal("the limit isn't known")
	}
	r.Apply(Change{Name: "w", Worker: &Worker{ID: later, Service: "s"}})
	r.MergeLimit(earlier, "node", said(3, 20, 30))
	if r.HasLimit(earlier) || r.HasLimit(later) || r.CountLimited() != 0 {
		t.Error("a limit of the earlier start holds")
	}
}

// TestLimitsAreToldOnAndChangesCounted: each node tells what it heard itself, for a while.
func TestLimitsAreToldOnAndChangesCounted(t *testing.T) {
	r := NewRegistry(topology.New("a", nil))
	var changes []LimitChange
	r.OnLimitChange(func(change LimitChange) { changes = append(changes, change) })
	for _, id := range []string{"own", "other"} {
		r.Apply(Change{Name: id, Worker: &Worker{ID: id, Service: "s"}})
	}
	r.ObserveLimit("own", "request", said(2, 0, 10))
	r.ObserveLimit("own", "request", said(2, 20, 30))
	r.MergeLimit("other", "node", said(3, 0, 10))
	snapshot := r.Snapshot()
	if _, told := snapshot.Limits["other"]; told || snapshot.Limits["own"] != said(2, 20, 30) || !snapshot.Concerns("own") {
		t.Errorf("told: %+v", snapshot.Limits)
	}
	r.ObserveLimit("own", "request", said(noLimit, 40, 50))
	if snapshot = r.Snapshot(); snapshot.Limits["own"].Named || r.HasLimit("own") {
		t.Error("the end isn't told")
	}
	if len(changes) != 3 || changes[1].Source != "node" || changes[2].After.Named {
		t.Errorf("%+v", changes)
	}
}

// TestLowerLimitIsToldOnThoughItsOrderIsUnknown: what holds here is what the others are to know.
func TestLowerLimitIsToldOnThoughItsOrderIsUnknown(t *testing.T) {
	r := NewRegistry(topology.New("a", nil))
	r.Apply(Change{Name: "w", Worker: &Worker{ID: "w", Service: "s"}})
	r.MergeLimit("w", "node", said(5, 0, 30))
	r.ObserveLimit("w", "request", said(2, 10, 20))
	if told := r.Snapshot().Limits["w"]; told.Rate != 2 {
		t.Errorf("told %+v, the lower limit holds", told)
	}
}
