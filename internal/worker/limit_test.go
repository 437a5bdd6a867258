package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

var limitOrigin = time.Unix(1000, 0)

// statedLimit returns what a worker stated in the answer to a request sent and answered at the
// given milliseconds after the origin. A negative rate states no limit.
func statedLimit(rate float64, sent, heard int) LimitStatement {
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

// TestStatementsAreOrderedByWhenTheWorkerMadeThem checks that answers may overtake each other,
// and that the lower limit holds where the order of two statements can't be told.
func TestStatementsAreOrderedByWhenTheWorkerMadeThem(t *testing.T) {
	for name, test := range map[string]struct {
		known, next LimitStatement
		want        float64
	}{
		"first":                              {LimitStatement{}, statedLimit(2, 0, 10), 2},
		"none after nothing":                 {LimitStatement{}, statedLimit(noLimit, 0, 10), noLimit},
		"a later answer raises it":           {statedLimit(2, 0, 10), statedLimit(5, 11, 20), 5},
		"a later answer lowers it":           {statedLimit(2, 0, 10), statedLimit(1, 12, 20), 1},
		"a later answer ends it":             {statedLimit(2, 0, 10), statedLimit(noLimit, 11, 20), noLimit},
		"an answer that was overtaken":       {statedLimit(5, 30, 40), statedLimit(2, 0, 10), 5},
		"an end that was overtaken":          {statedLimit(5, 30, 40), statedLimit(noLimit, 0, 10), 5},
		"at the same time, a higher one":     {statedLimit(2, 0, 30), statedLimit(5, 10, 40), 2},
		"at the same time, a lower one":      {statedLimit(5, 0, 30), statedLimit(2, 10, 40), 2},
		"sent in the moment of the other":    {statedLimit(2, 0, 10), statedLimit(noLimit, 10, 20), 2},
		"heard in the moment of the other":   {statedLimit(noLimit, 10, 20), statedLimit(2, 0, 10), 2},
		"at the same time as an end":         {statedLimit(noLimit, 0, 30), statedLimit(2, 10, 20), 2},
		"an end at the same time":            {statedLimit(2, 0, 30), statedLimit(noLimit, 10, 40), 2},
		"nothing at all is as low as it can": {statedLimit(2, 0, 10), statedLimit(0, 20, 30), 0},
	} {
		got := test.next.mergedWith(test.known)
		if got.Named != (test.want >= 0) || got.Named && got.Rate != test.want {
			t.Errorf("%s: %+v, want %v", name, got, test.want)
		}
	}
}

// TestLimitEndsAlthoughOlderAnswersStillArrive checks that answers to requests that were under
// way when the limit ended don't keep it in force.
func TestLimitEndsAlthoughOlderAnswersStillArrive(t *testing.T) {
	holds := statedLimit(2, 0, 100)
	for sent := 10; sent < 100; sent += 10 {
		holds = statedLimit(noLimit, sent, sent+200).mergedWith(holds)
	}
	if !holds.Named {
		t.Fatal("an answer to a request sent before the last statement ended the limit")
	}
	if holds = statedLimit(noLimit, 101, 300).mergedWith(holds); holds.Named {
		t.Error("an answer to a request sent after the last statement doesn't end the limit")
	}
}

// TestLimitBelongsToOneIncarnation checks that a restarted worker has no limit, and that
// messages about the limit of the earlier incarnation are ignored.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	r := NewRegistry(topology.New("a", nil))
	earlier, later := IncarnationID("w", 5000), IncarnationID("w", 6000)
	r.Apply(Change{Name: "w", Worker: &Worker{ID: earlier, Service: "s"}})
	r.ObserveLimit(earlier, "request", statedLimit(2, 0, 10))
	if !r.HasLimit(earlier) || r.CountLimited() != 1 {
		t.Fatal("the limit isn't known")
	}
	r.Apply(Change{Name: "w", Worker: &Worker{ID: later, Service: "s"}})
	r.MergeLimit(earlier, "node", statedLimit(3, 20, 30))
	if r.HasLimit(earlier) || r.HasLimit(later) || r.CountLimited() != 0 {
		t.Error("a limit of the earlier incarnation holds")
	}
}

// TestOwnLimitsAreInSnapshotsAndChangesAreReported checks that a node tells others only the
// limits that workers stated to it, and that each change is reported once.
func TestOwnLimitsAreInSnapshotsAndChangesAreReported(t *testing.T) {
	r := NewRegistry(topology.New("a", nil))
	var changes []LimitChange
	r.OnLimitChange(func(change LimitChange) { changes = append(changes, change) })
	for _, id := range []string{"own", "other"} {
		r.Apply(Change{Name: id, Worker: &Worker{ID: id, Service: "s"}})
	}
	r.ObserveLimit("own", "request", statedLimit(2, 0, 10))
	r.ObserveLimit("own", "request", statedLimit(2, 20, 30))
	r.MergeLimit("other", "node", statedLimit(3, 0, 10))
	snapshot := r.Snapshot()
	if _, told := snapshot.Limits["other"]; told || snapshot.Limits["own"] != statedLimit(2, 20, 30) || !snapshot.Concerns("own") {
		t.Errorf("limits in the snapshot: %+v", snapshot.Limits)
	}
	r.ObserveLimit("own", "request", statedLimit(noLimit, 40, 50))
	if snapshot = r.Snapshot(); snapshot.Limits["own"].Named || r.HasLimit("own") {
		t.Error("the end of the limit isn't in the snapshot, or the limit still holds")
	}
	if len(changes) != 3 || changes[1].Source != "node" || changes[2].After.Named {
		t.Errorf("changes: %+v", changes)
	}
}

// TestLowerLimitIsInSnapshotsAlthoughItsOrderIsUnknown checks that a node tells others the
// limit that holds at the node.
func TestLowerLimitIsInSnapshotsAlthoughItsOrderIsUnknown(t *testing.T) {
	r := NewRegistry(topology.New("a", nil))
	r.Apply(Change{Name: "w", Worker: &Worker{ID: "w", Service: "s"}})
	r.MergeLimit("w", "node", statedLimit(5, 0, 30))
	r.ObserveLimit("w", "request", statedLimit(2, 10, 20))
	if told := r.Snapshot().Limits["w"]; told.Rate != 2 {
		t.Errorf("the snapshot has %+v, want the lower limit", told)
	}
}
