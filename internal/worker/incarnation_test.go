package worker

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
)

var somePrompt = []prefixcache.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}}

// startOf is a worker that was born at a time.
func startOf(name string, born int64) Worker {
	return Worker{ID: IncarnationID(name, born), Service: "llm", Address: "1:1", Zone: "a", Slots: 8, Stage: Decode}
}

// twoStarts returns a registry in which a worker with work and kept parts has started again
// under its name, and the identities of both starts.
func twoStarts(t *testing.T) (r *Registry, before, after string) {
	t.Helper()
	r = newTestRegistry()
	first, second := startOf("w", 1000), startOf("w", 2000)
	r.Apply(Change{Name: "w", Worker: &first})
	r.ObserveCached(first.ID, somePrompt, origin)
	r.Begin(first.ID, Load{Requests: 3, MemoryTokens: 900})
	r.Merge("other", Snapshot{Loads: map[string]Load{first.ID: {Requests: 2}}}, origin)
	for range 20 {
		r.Failed(first.ID, origin)
	}
	r.SetChanging(first.ID, true, origin.Add(time.Hour))
	if !r.Apply(Change{Name: "w", Worker: &second}) {
		t.Fatal("a worker that has started again is no change")
	}
	return r, first.ID, second.ID
}

func TestIdentityTellsNameAndBirth(t *testing.T) {
	for _, born := range []int64{1, 1764731647000} {
		id := IncarnationID("i-7f3a91c2", born)
		if NameOf(id) != "i-7f3a91c2" || BornOf(id) != born {
			t.Errorf("%s: name %s, born %d", id, NameOf(id), BornOf(id))
		}
	}
	if id := IncarnationID("i-1", 0); id != "i-1" || NameOf(id) != "i-1" || BornOf(id) != 0 {
		t.Errorf("without a birth the identity is %s", id)
	}
}

// TestNothingOfBeforeHangsOnALaterStart: contents, load, counts, failures and orders.
func TestNothingOfBeforeHangsOnALaterStart(t *testing.T) {
	r, before, after := twoStarts(t)
	got := find(t, r, after, somePrompt, origin)
	if got.CachedTokens != 0 || got.Requests != 0 || got.MemoryTokens != 0 || got.Avoid || got.FailureRate != 0 {
		t.Errorf("%+v", got)
	}
	for _, candidate := range r.Candidates("llm", nil, 0, origin) {
		if candidate.ID == before {
			t.Error("the earlier start still gets requests")
		}
	}
	if ended := r.TakeEnded(); len(ended) != 1 || ended[0] != before {
		t.Errorf("ended: %v", ended)
	}
	if len(r.busy) != 0 || len(r.changing) != 0 {
		t.Errorf("of the earlier start are left: %v, %v", r.busy, r.changing)
	}
}

// TestLateNewsOfAnEarlierStartChangesNothing: its entry, what other nodes tell of it, and
// what runs there yet.
func TestLateNewsOfAnEarlierStartChangesNothing(t *testing.T) {
	r, before, after := twoStarts(t)
	late := startOf("w", 1000)
	late.Draining = true
	if r.Apply(Change{Name: "w", Worker: &late}) {
		t.Error("the entry of an earlier start is a change")
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
		t.Errorf("%+v", got)
	}
	if r.IsDraining(after) {
		t.Error("the later start drains")
	}
	if told := r.Snapshot(); len(told.Loads) != 0 {
		t.Errorf("others are told of %v", told.Loads)
	}
}

// TestEntryThatTurnsUnreadableTakesItsWorkerAway at once, and one that turns readable brings
// it back.
func TestEntryThatTurnsUnreadableTakesItsWorkerAway(t *testing.T) {
	r := newTestRegistry()
	if !r.Apply(Change{Name: "d", Unreadable: true}) || r.Apply(Change{Name: "d", Unreadable: true}) {
		t.Error("an entry that turns unreadable is one change")
	}
	for _, candidate := range r.Candidates("llm", nil, 0, time.Now()) {
		if candidate.ID == "d" {
			t.Error("its worker is used")
		}
	}
	back := Worker{ID: "d", Service: "llm", Address: "1:2", Stage: Decode}
	if !r.Apply(Change{Name: "d", Worker: &back}) {
		t.Error("the worker isn't back")
	}
	find(t, r, "d", nil, time.Now())
}

// TestEntryWithoutBirthOfAWorkerThatToldIt is another writer's.
func TestEntryWithoutBirthOfAWorkerThatToldIt(t *testing.T) {
	r, _, after := twoStarts(t)
	foreign := startOf("w", 0)
	r.Apply(Change{Name: "w", Worker: &foreign})
	for _, candidate := range r.Candidates("llm", nil, 0, origin) {
		if NameOf(candidate.ID) == "w" {
			t.Errorf("%s is used", candidate.ID)
		}
	}
	own := startOf("w", 2000)
	r.Apply(Change{Name: "w", Worker: &own})
	find(t, r, after, nil, origin)
}

// TestLaterStartIsFoundInAWholeList too, as after a forgotten history.
func TestLaterStartIsFoundInAWholeList(t *testing.T) {
	r := newTestRegistry()
	r.Replace([]Worker{startOf("w", 1000), startOf("v", 1000)})
	r.Begin(IncarnationID("w", 1000), Load{Requests: 5})
	added, gone := r.Replace([]Worker{startOf("w", 3000), startOf("v", 1000)})
	if len(added) != 1 || added[0] != IncarnationID("w", 3000) || len(gone) != 0 {
		t.Errorf("added %v, gone %v", added, gone)
	}
	if got := find(t, r, IncarnationID("w", 3000), nil, origin); got.Requests != 0 {
		t.Errorf("%d requests", got.Requests)
	}
	if !r.Apply(Change{Name: "w"}) || r.Apply(Change{Name: "w"}) {
		t.Error("the removal of the worker's entry is one change")
	}
}
