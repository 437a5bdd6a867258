package usage

import (
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
	reporter := func(era uint64, from Window) Completeness { return Completeness{Era: era, From: from, Reporting: true} }
	for _, example := range []struct {
		name   string
		before func(h *History)
		want   Window
	}{
		{"a node that heard of no reporter", func(*History) {}, 20},
		{"in touch with the reporter", func(h *History) { h.Synchronized(reporter(0, 0), second(99)) }, 0},
		{"in touch too long ago", func(h *History) { h.Synchronized(reporter(0, 0), second(98)) }, 20},
		{"in touch with a node that doesn't report", func(h *History) { h.Synchronized(Completeness{}, second(99)) }, 20},
		{"the reporter itself", func(h *History) { h.SetReporting(second(101)) }, 0},
		{"the reporter until shortly before", func(h *History) { h.SetReporting(second(99.9)) }, 20},
		{"a node that started after an earlier restore", func(h *History) {
			h.ObserveEra(2, second(50), 10)
			h.Synchronized(reporter(2, 8), second(99))
		}, 8},
		{"in touch before an earlier restore only", func(h *History) {
			h.Synchronized(reporter(0, 0), second(98.9))
			h.ObserveEra(2, second(99), 19)
		}, 20},
		{"in touch with all nodes that may report", func(h *History) { h.Confirm(second(99)) }, 0},
		{"a node that ended while out of touch", func(h *History) {
			h.Interrupt()
			h.Confirm(second(99))
		}, 20},
		{"the reporter was heard after such an end", func(h *History) {
			h.Interrupt()
			h.Synchronized(reporter(0, 0), second(99))
		}, 0},
		{"paused since", func(h *History) {
			h.Tick(second(98))
			h.Confirm(second(99.9))
		}, 20},
		{"paused before", func(h *History) {
			h.Tick(second(97))
			h.Tick(second(99.5))
			h.Confirm(second(99.9))
		}, 20},
	} {
		h := NewHistory()
		example.before(h)
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
		if !h.InDoubt(19) || h.InDoubt(20) {
			t.Errorf("changed its completeness for %+v", other)
		}
	}
	h.Synchronized(Completeness{Era: 3, From: 15}, time.Unix(101, 0))
	if h.InDoubt(15) || !h.InDoubt(14) {
		t.Error("didn't learn that windows from 15 on are complete")
	}
	h.Merge(map[Window]Record{14: {Counts: Counts{}}})
	if h.InDoubt(14) {
		t.Error("a window with a record is in doubt")
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
