package worker

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/topology"
)

func TestVersionThatWasListedLatelyIsNotForgotten(t *testing.T) {
	begun := time.Now()
	later := begun.Add(time.Minute)
	engine := func(id, software string) Worker {
		return Worker{ID: id, Service: "s", Stage: Decode, Slots: 1, Address: "10.0.0.1:1", Software: software}
	}
	for name, example := range map[string]struct {
		change func(r *Registry)
		// sole tells that v1 is the only version now, and lately are the versions that were listed after
		// a time.
		sole   bool
		since  time.Time
		lately string
	}{
		"nothing changes": {func(*Registry) {}, true, begun, "v1"},
		"a worker of another version is listed": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
		}, false, later, "v1 v2"},
		"it is no longer listed": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
			r.ApplyAt(Change{Name: "b"}, later.Add(time.Second))
		}, true, later.Add(time.Second - 1), "v1 v2"},
		"its entry states another version": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
			other.Software = "v1"
			r.ApplyAt(Change{Name: "b", Worker: &other}, later.Add(2*time.Second))
		}, true, later.Add(2*time.Second - 1), "v1 v2"},
		"its entry stated another version before": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
			other.Software = "v1"
			r.ApplyAt(Change{Name: "b", Worker: &other}, later.Add(2*time.Second))
		}, true, later.Add(2 * time.Second), "v1"},
		"the list is read anew": {func(r *Registry) {
			r.ReplaceAt([]Worker{engine("a", "v1")}, later)
		}, true, begun, "v1"},
		"a read of the list lacks it": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
			r.ReplaceAt([]Worker{engine("a", "v1")}, later.Add(time.Second))
		}, true, later.Add(time.Second - 1), "v1 v2"},
		"no worker is listed": {func(r *Registry) {
			r.ApplyAt(Change{Name: "a"}, later)
		}, false, begun, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(topology.Map{})
			r.ReplaceAt([]Worker{engine("a", "v1")}, begun)
			example.change(r)
			now := slices.Sorted(slices.Values(r.SoftwareSince("s", later.Add(time.Hour))))
			lately := slices.Sorted(slices.Values(r.SoftwareSince("s", example.since)))
			if sole := slices.Equal(now, []string{"v1"}); sole != example.sole || strings.Join(lately, " ") != example.lately {
				t.Errorf("now %q; lately %q", now, lately)
			}
		})
	}
}

func TestDrainingWorkerGetsOnlyWhatContinuesStreamsAndOnlyForAMoment(t *testing.T) {
	begun := time.Now()
	r := NewRegistry(topology.Map{})
	entry := Worker{ID: "a", Service: "s", Stage: Decode, Slots: 1, Address: "10.0.0.1:1"}
	r.ReplaceAt([]Worker{entry}, begun)
	entry.Draining = true
	for _, again := range []time.Duration{0, 500 * time.Millisecond} { // the entry is written again while it drains
		r.ApplyAt(Change{Name: "a", Worker: &entry}, begun.Add(again))
	}
	for after, want := range map[time.Duration]bool{0: true, continueFor - 1: true, continueFor: false, time.Minute: false} {
		now := begun.Add(after)
		candidates := r.Candidates("s", nil, 0, now)
		if got := len(candidates) == 1 && candidates[0].Draining; got != want || !want && len(candidates) > 0 {
			t.Errorf("after %v the candidates are %+v", after, candidates)
		}
		if got := r.AdmitCall("a", true, now) == nil; got != want {
			t.Errorf("after %v a request that continues a stream is admitted: %v", after, got)
		}
		if r.AdmitCall("a", false, now) == nil {
			t.Errorf("after %v a request that begins is admitted", after)
		}
	}
	r.ReplaceAt([]Worker{entry, {ID: "b", Service: "s", Stage: Decode, Slots: 1, Address: "10.0.0.2:1", Draining: true}}, begun)
	if r.AdmitCall("b", true, begun) == nil {
		t.Error("a worker is used that may have drained for long")
	}
}
