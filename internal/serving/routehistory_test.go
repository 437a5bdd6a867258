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
		if led, sole := h.of("r"); sole != (step.sole != "") || led.service != step.sole || !led.since.Equal(step.since) {
			t.Errorf("step %d: %+v, %v", i, led, sole)
		}
	}
	if _, sole := h.of("unknown"); sole {
		t.Error("an unknown route leads somewhere")
	}
	first := &routeHistory{since: sinceEver}
	first.update(table(a), at(0))
	first.update(table(b), at(1))
	if led, _ := first.of("r"); !led.since.Equal(at(1)) {
		t.Errorf("a route that moved leads to its service since %v", led.since)
	}
}
