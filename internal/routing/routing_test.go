package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testRoute(name, host, prefix string, targets ...Target) *Route {
	return &Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: Idempotent,
		Timeout: time.Second, MaxAttempts: 1, Targets: targets,
	}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	to := Target{Service: "s", Weight: 1}
	table, err := NewTable(1, []*Route{
		testRoute("short", "a.example", "/x/", to),
		testRoute("long", "a.example", "/x/y/", to),
		testRoute("other", "b.example", "/x/y/z/", to),
	}, []*Service{{Name: "s"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, example := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.EXAMPLE:8080", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if route := table.Match(example.host, example.path); route != nil {
			got = route.Name
		}
		if got != example.want {
			t.Errorf("%s%s: route %q, want %q", example.host, example.path, got, example.want)
		}
	}
}

func TestNewTableNamesEveryMistake(t *testing.T) {
	broken := testRoute("r", "h", "x", Target{Service: "absent", Weight: -1})
	broken.Kind, broken.Timeout, broken.MaxAttempts = "odd", 0, 0
	_, err := NewTable(7, []*Route{broken, testRoute("empty", "h", "/")}, nil, Limits{})
	if err == nil {
		t.Fatal("an invalid configuration was accepted")
	}
	for _, part := range []string{"version 7", `"x" must begin`, `"odd"`, "timeout", "attempt", `"absent" is not configured`, "below zero", `route "empty": it names no service`} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("the error does not contain %q: %v", part, err)
		}
	}
}

func TestRepeatable(t *testing.T) {
	for _, example := range []struct {
		kind      Kind
		resumable bool
		want      bool
	}{{Idempotent, false, true}, {NonIdempotent, true, false}, {Streaming, false, false}, {Streaming, true, true}} {
		route := &Route{Kind: example.kind, Resumable: example.resumable}
		if route.Repeatable() != example.want {
			t.Errorf("%+v: repeatable %v", example, route.Repeatable())
		}
	}
}

// TestSplitterKeepsToTheWeights checks that, after any number of requests, each target's count
// differs from its exact share by at most the number of targets.
func TestSplitterKeepsToTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(t, "weights")
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		route, total := &Route{Name: "r"}, 0
		for i, weight := range weights {
			route.Targets = append(route.Targets, Target{Service: fmt.Sprint(i), Weight: weight})
			total += weight
		}
		splitter := NewSplitter(func(int) int { return 0 })
		counts := map[string]int{}
		for range requests {
			counts[splitter.Choose(route)]++
		}
		if total == 0 {
			if counts[""] != requests {
				t.Fatalf("a target without weight was chosen: %v", counts)
			}
			return
		}
		for i, weight := range weights {
			want := float64(requests*weight) / float64(total)
			got := float64(counts[fmt.Sprint(i)])
			if got < want-float64(len(weights)) || got > want+float64(len(weights)) {
				t.Fatalf("target %d of %v got %v of %d", i, weights, got, requests)
			}
		}
	})
}
