package worker

import "testing"

func TestServiceIsUnevenOnceAWorkerStatesItsHostsSlowdown(t *testing.T) {
	r := newTestRegistry()
	r.ObserveHostSlowdown("p", 1, origin)
	r.ObserveHostSlowdown("unknown", 2, origin)
	if !r.Uneven("llm") || r.Uneven("portal") {
		t.Errorf("uneven: llm %v, portal %v; want only llm", r.Uneven("llm"), r.Uneven("portal"))
	}
	r.MarkUneven("portal")
	if !r.Uneven("portal") {
		t.Error("the word of another node was not recorded")
	}
}

func TestNewIncarnationStartsWithoutStatements(t *testing.T) {
	r := newTestRegistry()
	slowdown := func(id string) float64 {
		for _, engine := range r.Engines("llm", origin) {
			if engine.ID == id {
				return engine.Slowdown
			}
		}
		t.Fatalf("%s is no engine", id)
		return 0
	}
	before, after := IncarnationID("e", 1), IncarnationID("e", 2)
	r.ApplyAt(Change{Name: "e", Worker: &Worker{ID: before, Service: "llm", Stage: Decode}}, origin)
	r.ObserveHostSlowdown(before, 1.7, origin)
	if got := slowdown(before); got != 1.7 {
		t.Errorf("the slowdown is %v; want 1.7", got)
	}
	r.ApplyAt(Change{Name: "e", Worker: &Worker{ID: after, Service: "llm", Stage: Decode}}, origin)
	r.ObserveHostSlowdown(before, 1.7, origin) // an answer that comes late
	if got := slowdown(after); got != 0 {
		t.Errorf("a worker that has just restarted has slowdown %v; want 0, unknown", got)
	}
}
