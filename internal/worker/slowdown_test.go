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
