package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
)

var somePrompt = []prefixcache.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}}

// incarnationOf returns the incarnation of a worker that started at the given time.
func incarnationOf(name string, born int64) Worker {
	return Worker{ID: IncarnationID(name, born), Service: "llm", Address: "1:1", Zone: "a", Slots: 8, Stage: Decode}
}

// twoIncarnations returns a registry in which a worker with load and cached parts has restarted
// under its name, and the ids of both incarnations.
func twoIncarnations(t *testing.T) (r *Registry, before, after string) {
	t.Helper()
	r = newTestRegistry()
	first, second := incarnationOf("w", 1000), incarnationOf("w", 2000)
	r.Apply(Change{Name: "w", Worker: &first})
	r.ObserveCached(first.ID, somePrompt, origin)
	r.Begin(first.ID, Load{Requests: 3, MemoryTokens: 900})
	r.Merge("other", Snapshot{Loads: map[string]Load{first.ID: {Requests: 2}}}, origin)
	for range 20 {
		r.Failed(first.ID, origin)
	}
	r.SetChanging(first.ID, true, origin.Add(time.Hour))
	if !r.Apply(Change{Name: "w", Worker: &second}) {
		t.Fatal("the entry of a new incarnation counts as no change")
	}
	return r, first.ID, second.ID
}

func TestIncarnationIDHoldsNameAndStartTime(t *testing.T) {
	for _, born := range []int64{1, 1764731647000} {
		id := IncarnationID("i-7f3a91c2", born)
		if NameOf(id) != "i-7f3a91c2" || BornOf(id) != born {
			t.Errorf("%s: name %s, start time %d", id, NameOf(id), BornOf(id))
		}
	}
	if id := IncarnationID("i-1", 0); id != "i-1" || NameOf(id) != "i-1" || BornOf(id) != 0 {
		t.Errorf("without a start time the id is %s", id)
	}
}

// TestNewIncarnationHasNoStateOfThePrevious checks that a restarted worker starts without
// cached parts, load, failures and stage changes.
func TestNewIncarnationHasNoStateOfThePrevious(t *testing.T) {
	r, before, after := twoIncarnations(t)
	got := find(t, r, after, somePrompt, origin)
	if got.CachedTokens != 0 || got.Requests != 0 || got.MemoryTokens != 0 || got.Avoid || got.FailureRate != 0 {
		t.Errorf("the new incarnation has state of the previous one: %+v", got)
	}
	for _, candidate := range r.Candidates("llm", nil, 0, origin) {
		if candidate.ID == before {
			t.Error("the earlier incarnation still gets requests")
		}
	}
	if ended := r.TakeEnded(); len(ended) != 1 || ended[0] != before {
		t.Errorf("ended: %v", ended)
	}
	if len(r.busy) != 0 || len(r.changing) != 0 {
		t.Errorf("the earlier incarnation is still indexed: busy %v, changing %v", r.busy, r.changing)
	}
}

// TestLateUpdatesOfAnEarlierIncarnationAreIgnored checks the entry of the earlier incarnation,
// messages of other nodes about it, and requests that still run there.
func TestLateUpdatesOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	r, before, after := twoIncarnations(t)
	late := incarnationOf("w", 1000)
	late.Draining = true
	if r.Apply(Change{Name: "w", Worker: &late}) {
		t.Error("the entry of an earlier incarnation counts as a change")
	}
	r.Merge("other", Snapshot{
		Loads: map[string]Load{before: {Requests: 2}}, CacheUpdates: []CacheUpdate{{Worker: before, Parts: somePrompt}},
		Failures: []string{before}, Changing: []StageChange{{Worker: before, Prefill: true, Left: time.Hour}},
	}, origin)
	r.End(before, Load{Requests: 3, MemoryTokens: 900})
	r.ObserveCached(before, somePrompt, origin)
	r.ObserveCacheList(before, somePrompt, origin)
	got := find(t, r, after, somePrompt, origin)
	if got.CachedTokens != 0 || got.Requests != 0 || got.Avoid {
		t.Errorf("the new incarnation has state of the previous one: %+v", got)
	}
	if r.IsDraining(after) {
		t.Error("the new incarnation counts as draining")
	}
	if told := r.Snapshot(); len(told.Loads) != 0 {
		t.Errorf("loads in the snapshot: %v", told.Loads)
	}
}

// TestUnreadableEntryRemovesItsWorker checks that a worker is gone at once when its entry
// becomes unreadable, and is back when the entry is readable again.
func TestUnreadableEntryRemovesItsWorker(t *testing.T) {
	r := newTestRegistry()
	if !r.Apply(Change{Name: "d", Unreadable: true}) || r.Apply(Change{Name: "d", Unreadable: true}) {
		t.Error("an entry that becomes unreadable doesn't count as exactly one change")
	}
	for _, candidate := range r.Candidates("llm", nil, 0, time.Now()) {
		if candidate.ID == "d" {
			t.Error("the worker of an unreadable entry gets requests")
		}
	}
	back := Worker{ID: "d", Service: "llm", Address: "1:2", Stage: Decode}
	if !r.Apply(Change{Name: "d", Worker: &back}) {
		t.Error("an entry that is readable again counts as no change")
	}
	find(t, r, "d", nil, time.Now())
}

// TestEntryThatLosesItsStartTimeEndsTheIncarnation checks an entry without a start time for a
// worker that has told one: another program has written it.
func TestEntryThatLosesItsStartTimeEndsTheIncarnation(t *testing.T) {
	r, _, after := twoIncarnations(t)
	foreign := incarnationOf("w", 0)
	r.Apply(Change{Name: "w", Worker: &foreign})
	for _, candidate := range r.Candidates("llm", nil, 0, origin) {
		if NameOf(candidate.ID) == "w" {
			t.Errorf("%s gets requests", candidate.ID)
		}
	}
	own := incarnationOf("w", 2000)
	r.Apply(Change{Name: "w", Worker: &own})
	find(t, r, after, nil, origin)
}

// TestReplaceDetectsANewIncarnation checks that a restart is detected in a whole list too,
// which is read when the store no longer has the history of changes.
func TestReplaceDetectsANewIncarnation(t *testing.T) {
	r := newTestRegistry()
	r.Replace([]Worker{incarnationOf("w", 1000), incarnationOf("v", 1000)})
	r.Begin(IncarnationID("w", 1000), Load{Requests: 5})
	added, gone := r.Replace([]Worker{incarnationOf("w", 3000), incarnationOf("v", 1000)})
	if len(added) != 1 || added[0] != IncarnationID("w", 3000) || len(gone) != 0 {
		t.Errorf("added %v, gone %v", added, gone)
	}
	if got := find(t, r, IncarnationID("w", 3000), nil, origin); got.Requests != 0 {
		t.Errorf("%d requests", got.Requests)
	}
	if !r.Apply(Change{Name: "w"}) || r.Apply(Change{Name: "w"}) {
		t.Error("the removal of the worker's entry doesn't count as exactly one change")
	}
}
