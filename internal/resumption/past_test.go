package resumption

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestPastHoldsWhatIsOverForItsLife(t *testing.T) {
	k := NewPastKeeper()
	at := func(span time.Duration) time.Time { return start.Add(span) }
	seen := func(span time.Duration, moved []string, versions ...string) {
		k.Observe(Past{Versions: map[string][]string{"s": versions}, Moved: moved}, at(span))
	}
	first, second := start.UnixMilli(), at(time.Second).UnixMilli()
	one := func(version string, added int64) Past {
		return Past{
			Versions: map[string][]string{"s": {version}}, RoutesAdded: first,
			Added: map[string]map[string]int64{"s": {version: added}},
		}
	}
	seen(0, nil, "v1")
	if diff := cmp.Diff(one("v1", first), k.Past(at(0))); diff != "" {
		t.Errorf("one version: %s", diff)
	}
	seen(time.Second, []string{"r"}, "v2", "v1")
	seen(2*time.Second, nil, "v2")
	both := Past{
		Versions: map[string][]string{"s": {"v1", "v2"}}, Moved: []string{"r"}, RoutesAdded: first,
		Added: map[string]map[string]int64{"s": {"v1": first, "v2": second}},
	}
	for _, span := range []time.Duration{2 * time.Second, Life} {
		seen(span, nil, "v2")
		if diff := cmp.Diff(both, k.Past(at(span))); diff != "" {
			t.Errorf("after %v: %s", span, diff)
		}
	}
	if diff := cmp.Diff(one("v2", second), k.Past(at(Life+time.Second))); diff != "" {
		t.Errorf("later: %s", diff)
	}
}

func TestPastOfAnotherKeeperIsTakenOver(t *testing.T) {
	k := NewPastKeeper()
	earlier := start.Add(-time.Hour).UnixMilli()
	written := Past{
		Versions: map[string][]string{"s": {"v1", "v2"}}, AnyMoved: true, RoutesDigest: "d", RoutesAdded: earlier,
		Added: map[string]map[string]int64{"s": {"v1": earlier}}, // an earlier build wrote v2
	}
	k.Observe(written, start)
	k.Observe(Past{Versions: map[string][]string{"s": {"v1", "v3"}}, RoutesDigest: "d"}, start)
	now := start.UnixMilli()
	want := Past{
		Versions: map[string][]string{"s": {"v1", "v2", "v3"}}, AnyMoved: true, RoutesDigest: "d", RoutesAdded: earlier,
		Added: map[string]map[string]int64{"s": {"v1": earlier, "v2": now, "v3": now}},
	}
	if diff := cmp.Diff(want, k.Past(start.Add(time.Second))); diff != "" {
		t.Error(diff)
	}
}

func TestPastOfManyRoutesStaysSmall(t *testing.T) {
	k := NewPastKeeper()
	var moved []string
	for i := range maxMoved + 1 {
		moved = append(moved, fmt.Sprint("route-", i))
	}
	k.Observe(Past{Moved: moved, Versions: map[string][]string{"s": {""}}}, start)
	past := k.Past(start)
	if _, found := past.soleOrigin("unmoved", "s"); found || len(past.Moved) > 0 {
		t.Errorf("%d routes are listed, and one that isn't counts as unmoved", len(past.Moved))
	}
}
