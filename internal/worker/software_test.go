package worker

import (
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
		// sole tells that v1 is the only version, and since the time from which on it is.
		sole  bool
		since time.Time
	}{
		"nothing changes": {func(*Registry) {}, true, begun},
		"a worker of another version is listed": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
		}, false, time.Time{}},
		"it is no longer listed": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
			r.ApplyAt(Change{Name: "b"}, later.Add(time.Second))
		}, true, later.Add(time.Second + lastResortFor)},
		"its entry states another version": {func(r *Registry) {
			other := engine("b", "v2")
			r.ApplyAt(Change{Name: "b", Worker: &other}, later)
			other.Software = "v1"
			r.ApplyAt(Change{Name: "b", Worker: &other}, later.Add(2*time.Second))
		}, true, later.Add(2*time.Second + lastResortFor)},
		"the list is read anew": {func(r *Registry) {
			r.ReplaceAt([]Worker{engine("a", "v1")}, later)
		}, true, later},
		"no worker is listed": {func(r *Registry) {
			r.ApplyAt(Change{Name: "a"}, later)
		}, false, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry(topology.Map{})
			r.ReplaceAt([]Worker{engine("a", "v1")}, begun)
			example.change(r)
			software, since, sole := r.SoleSoftware("s")
			if sole != example.sole || sole && software != "v1" || !since.Equal(example.since) {
				t.Errorf("sole %v, %q since %v", sole, software, since.Sub(begun))
			}
		})
	}
}
