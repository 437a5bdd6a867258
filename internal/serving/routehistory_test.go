package serving

import (
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/routing"
)

func TestRouteThatMovesLeadsToItsServiceSinceThen(t *testing.T) {
	table := func(targets ...routing.Target) *routing.Table {
		route := &routing.Route{Name: "r", Host: "h", PathPrefix: "/", Kind: routing.Streaming, Resumable: true, Timeout: time.Second, MaxAttempts: 1, Targets: targets}
		built, err := routing.NewTable(1, []*routing.Route{route}, []*routing.Service{{Name: "a"}, {Name: "b"}}, routing.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		return built
	}
	at := func(seconds int) time.Time { return time.Unix(1_000_000+int64(seconds), 0) }
	a, b := routing.Target{Service: "a", Weight: 1}, routing.Target{Service: "b", Weight: 1}
	h := &routeHistory{}
	for i, step := range []struct {
		targets []routing.Target
		sole    string
		since   time.Time
	}{
		{[]routing.Target{a}, "a", at(0)},
		{[]routing.Target{a, {Service: "b"}}, "a", at(0)},
		{[]routing.Target{a, b}, "", time.Time{}},
		{[]routing.Target{a}, "a", at(3)},
		{[]routing.Target{b}, "b", at(4)},
	} {
		h.update(table(step.targets...), at(i))
		service, sole := h.of("r")
		if sole != (step.sole != "") || service != step.sole || !h.soles["r"].since.Equal(step.since) {
			t.Errorf("step %d: %q, %v, since %v", i, service, sole, h.soles["r"].since)
		}
	}
	if _, sole := h.of("unknown"); sole {
		t.Error("an unknown route leads somewhere")
	}
}

// TestRouteThatMovesIsNotRecordedUntilTheStoreHoldsIt guards against streams that begin where the store doesn't show
// that they can have begun.
func TestRouteThatMovesIsNotRecordedUntilTheStoreHoldsIt(t *testing.T) {
	table := func(services ...string) *routing.Table {
		var routes []*routing.Route
		for i, service := range services {
			routes = append(routes, &routing.Route{
				Name: string(rune('p' + i)), Host: "h", PathPrefix: "/" + string(rune('p'+i)) + "/", Kind: routing.Streaming, Resumable: true,
				Timeout: time.Second, MaxAttempts: 1, Targets: []routing.Target{{Service: service, Weight: 1}},
			})
		}
		built, err := routing.NewTable(1, routes, []*routing.Service{{Name: "a"}, {Name: "b"}}, routing.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		return built
	}
	h := &routeHistory{}
	check := func(what string, p, q bool) {
		t.Helper()
		if gotP, gotQ := h.isRecorded("p"), h.isRecorded("q"); gotP != p || gotQ != q {
			t.Errorf("%s: p is recorded: %v, q: %v; want %v, %v", what, gotP, gotQ, p, q)
		}
	}
	check("nothing is known", false, false)
	h.update(table("a", "a"), time.Unix(0, 0))
	check("the store holds nothing", false, false)
	h.recordedAs(h.currentDigest())
	check("the store holds the routes", true, true)
	h.update(table("a", "b"), time.Unix(1, 0))
	check("q has moved", true, false)
	h.update(table("a", "a"), time.Unix(2, 0))
	check("q is back", true, true)
	h.update(table("a", "b"), time.Unix(3, 0))
	h.recordedAs(h.currentDigest())
	check("the store holds that q has moved", true, true)
	h.forgetRecorded()
	check("the store was restored", false, false)
}
