package resumption

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestStreamsBeginOnlyWhereThatOutlastsARestore guards against streams that begin at a version which a node alone
// remembers as recorded: the store may have come back from a copy without it.
func TestStreamsBeginOnlyWhereThatOutlastsARestore(t *testing.T) {
	var r Recorded
	confirmed := start.Add(time.Hour)
	before := func(span time.Duration) int64 { return confirmed.Add(-span).UnixMilli() }
	past := Past{
		Versions: map[string][]string{"s": {"v1", "v2"}}, RoutesAdded: before(time.Hour),
		Added: map[string]map[string]int64{"s": {"v1": before(staleAfter), "v2": before(staleAfter - time.Second)}},
	}
	check := func(what string, now time.Time, want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, r.Versions("s", confirmed, now)); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	check("nothing was read", confirmed)
	r.Set(past)
	check("just confirmed", confirmed, "v1", "v2")
	check("confirmed a while ago", confirmed.Add(staleAfter), "v1", "v2")
	check("confirmed long ago", confirmed.Add(staleAfter+1), "v1")
	past.RoutesAdded = before(0)
	r.Set(past)
	check("confirmed long ago, the routes had moved just before", confirmed.Add(staleAfter+1))
	r.Set(Past{})
	check("the row is gone", confirmed)
}
