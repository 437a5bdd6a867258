package soak

import (
	"net/http"
	"testing"
	"time"
)

// TestStormFindsNodesThatAreLate: a node is late however it shows that it uses an older
// configuration.
func TestStormFindsNodesThatAreLate(t *testing.T) {
	var s storm
	accepted := time.Unix(100, 0)
	s.recordAccepted(accepted)
	s.recordAccepted(accepted.Add(time.Second))
	after := func(version int, age time.Duration) sighting {
		return sighting{node: "n", version: version, sent: s.accepted[version-1].Add(age), status: http.StatusOK}
	}
	late := func(got sighting, status int, dropped, stale bool) sighting {
		got.status, got.dropped, got.stale = status, dropped, stale
		return got
	}
	for name, test := range map[string]struct {
		got          sighting
		late, broken int
	}{
		"the node has the version":                     {after(1, 9*time.Second), 0, 0},
		"a route is missing, soon after":               {late(after(1, promptBound), http.StatusNotFound, false, false), 0, 0},
		"a route is missing after a while":             {late(after(2, promptBound+1), http.StatusNotFound, false, false), 1, 0},
		"a route is missing for long":                  {late(after(2, applyBound+1), http.StatusNotFound, false, false), 1, 1},
		"a dropped route is served for long":           {late(after(2, applyBound+1), http.StatusOK, true, false), 1, 1},
		"a dropped route is refused":                   {late(after(2, applyBound+1), http.StatusNotFound, true, false), 0, 0},
		"the node doesn't know its version for long":   {late(after(1, applyBound+1), http.StatusServiceUnavailable, false, true), 1, 1},
		"no worker is free, whatever the version is":   {late(after(1, applyBound+1), http.StatusServiceUnavailable, false, false), 0, 0},
		"a route is missing after a fault of the node": {late(sighting{node: "harmed", version: 1, sent: accepted.Add(time.Hour)}, http.StatusNotFound, false, false), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s.sightings = []sighting{test.got}
			report, broken := s.report(func(node string, _ time.Time) bool { return node == "harmed" })
			if report.Late != test.late || len(broken) != test.broken {
				t.Errorf("%d late, %q", report.Late, broken)
			}
		})
	}
}
