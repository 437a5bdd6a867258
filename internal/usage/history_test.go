package usage

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestHistoryIsCompleteOnlyWhereItsNodeWasInTouch checks from which window on a history counts
// as complete after a restore of the store at 100 s, in window 20.
func TestHistoryIsCompleteOnlyWhereItsNodeWasInTouch(t *testing.T) {
	second := func(number float64) time.Time {
		return time.Unix(0, 0).Add(time.Duration(number * float64(time.Second)))
	}
	reporter := Completeness{Reporting: true}
	started := func(*History) {}
	longInTouch := func(h *History) { h.Synchronized(reporter, second(50)) }
	for _, example := range []struct {
		name          string
		before, after func(h *History)
		want          Window
	}{
		{"a node that heard of no other", started, func(*History) {}, 20},
		{"in touch with the reporter", started, func(h *History) { h.Synchronized(reporter, second(99)) }, 0},
		{"in touch with the reporter too long ago", longInTouch, func(*History) {}, 20},
		{"in touch with nodes that have just started too", started, func(h *History) {
			h.Synchronized(Completeness{From: math.MaxInt64}, second(99))
			h.Confirm(second(99))
		}, 20},
		{"in touch with all nodes that may report", longInTouch, func(h *History) { h.Confirm(second(99)) }, 0},
		{"started, and in touch with a node that has missed nothing", started, func(h *History) {
			h.Synchronized(Completeness{InTouch: true}, second(99))
			h.Confirm(second(99))
		}, 0},
		{"the reporter itself", started, func(h *History) {
			h.ReadStore(0)
			h.SetReporting(second(101))
		}, 0},
		{"the reporter until shortly before", started, func(h *History) {
			h.ReadStore(0)
			h.SetReporting(second(99.9))
		}, 20},
		{"a node ended with which it was out of touch", longInTouch, func(h *History) {
			h.Interrupt()
			h.Confirm(second(99))
		}, 20},
		{"the reporter was heard after such an end", longInTouch, func(h *History) {
			h.Interrupt()
			h.Synchronized(reporter, second(99))
		}, 0},
		{"paused until now", longInTouch, func(h *History) {
			h.Tick(second(98))
			h.Confirm(second(99.9))
		}, 20},
		{"paused before", longInTouch, func(h *History) {
			h.Tick(second(97))
			h.Tick(second(99.5))
			h.Confirm(second(99.9))
		}, 20},
		{"in touch before an earlier restore only", started, func(h *History) {
			h.Synchronized(reporter, second(98.9))
			h.ObserveEra(2, second(99), 19)
		}, 20},
	} {
		h := NewHistory()
		example.before(h)
		example.after(h)
		h.ObserveEra(3, second(100), 20)
		if got := h.Completeness(second(100)); got.From != example.want || got.Era != 3 {
			t.Errorf("%s: %+v, want complete from window %d", example.name, got, example.want)
		}
	}
}

// TestHistoryLearnsCompletenessFromItsPeers checks that a history that has all records of
// another one of the same era is as complete.
func TestHistoryLearnsCompletenessFromItsPeers(t *testing.T) {
	h := NewHistory()
	h.ObserveEra(3, time.Unix(100, 0), 20)
	for _, other := range []Completeness{{Era: 2, From: 1}, {Era: 4, From: 2}, {Era: 3, From: 30}} {
		h.Synchronized(other, time.Unix(101, 0))
		if !h.InDoubt(19, true) || h.InDoubt(20, true) {
			t.Errorf("changed its completeness for %+v", other)
		}
	}
	h.Synchronized(Completeness{Era: 3, From: 15}, time.Unix(101, 0))
	if h.InDoubt(15, true) || !h.InDoubt(14, true) {
		t.Error("didn't learn that windows from 15 on are complete")
	}
	h.Merge(map[Window]Record{14: {Counts: Counts{}}})
	if h.InDoubt(14, true) {
		t.Error("a window with a record is in doubt")
	}
}

// TestUnknownWindowIsInDoubtUntilAllNodesWereAsked guards against a second record of a window
// while a node that is out of reach still has the first one, which it may report later.
func TestUnknownWindowIsInDoubtUntilAllNodesWereAsked(t *testing.T) {
	h := NewHistory()
	h.Synchronized(Completeness{Reporting: true}, time.Unix(99, 0))
	h.ObserveEra(3, time.Unix(100, 0), 20)
	if !h.InDoubt(19, false) || h.InDoubt(19, true) || h.InDoubt(20, false) {
		t.Error("a window that ended before the era must wait for all nodes, and only such a one")
	}
	reporter := NewHistory()
	reporter.ReadStore(0)
	reporter.SetReporting(time.Unix(101, 0))
	reporter.ObserveEra(3, time.Unix(100, 0), 20)
	if reporter.InDoubt(19, false) {
		t.Error("the reporter, which knows what it has recorded, asks others")
	}
	reporter.SetReporting(time.Time{})
	if !reporter.InDoubt(19, false) {
		t.Error("a former reporter doesn't ask others")
	}
}

// TestRecordOfTheLatestEraHolds checks that all nodes keep the same one of several records of a
// window, in whichever order they learn of them.
func TestRecordOfTheLatestEraHolds(t *testing.T) {
	lost, kept := Record{Counts: Counts{"a": 3}, Era: 1}, Record{Counts: Counts{"a": 1}, Era: 2}
	for _, order := range [][]Record{{lost, kept}, {kept, lost}} {
		h := NewHistory()
		for _, record := range order {
			h.Merge(map[Window]Record{7: record})
		}
		if got, _ := h.Find(7); cmp.Diff(kept, got) != "" {
			t.Errorf("keeps %+v", got)
		}
	}
}

func TestHistoryDropsWhatTheStoreDrops(t *testing.T) {
	h := NewHistory()
	for window := Window(1); window < 2*keptRows; window++ {
		h.Merge(map[Window]Record{window: {Counts: Counts{"a": 1}}})
	}
	h.Merge(map[Window]Record{3: {Counts: Counts{"a": 1}}})
	if records := h.Records(0); len(records) != keptRows || h.Oldest() != keptRows {
		t.Errorf("%d records, the oldest of window %d", len(records), h.Oldest())
	}
}
