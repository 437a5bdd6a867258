package soak

import (
	"net/http"
	"testing"
	"time"
)

// TestWatchFinds: each check of the watch can fail.
func TestWatchFinds(t *testing.T) {
	start := time.Unix(1000, 0)
	late := start.Add(applyBound + probeMargin + time.Millisecond)
	for name, test := range map[string]struct {
		see    func(*watch)
		broken int
	}{
		"nothing":                         {func(*watch) {}, 0},
		"in force":                        {func(w *watch) { w.checkProbe("n", 1, 1, http.StatusOK, late, true) }, 0},
		"not in force in time":            {func(w *watch) { w.checkProbe("n", 1, 1, http.StatusNotFound, late, true) }, 1},
		"not in force, but after a fault": {func(w *watch) { w.checkProbe("n", 1, 1, http.StatusNotFound, late, false) }, 0},
		"not in force, but soon":          {func(w *watch) { w.checkProbe("n", 1, 1, http.StatusNotFound, late.Add(-time.Millisecond), true) }, 0},
		"refused":                         {func(w *watch) { w.checkProbe("n", 1, 1, http.StatusServiceUnavailable, late, true) }, 0},
		"went back": {func(w *watch) {
			w.checkProbe("n", 1, 2, http.StatusOK, start, false)
			w.checkProbe("n", 1, 1, http.StatusNotFound, start, false)
		}, 1},
		"started again": {func(w *watch) {
			w.checkProbe("n", 1, 2, http.StatusOK, start, false)
			w.checkProbe("n", 2, 1, http.StatusNotFound, start, false)
		}, 0},
		"a request after a worker has drained": {func(w *watch) { w.checkRun("leaving", late) }, 1},
		"a request just within the bound":      {func(w *watch) { w.checkRun("leaving", late.Add(-time.Millisecond)) }, 0},
		"a request at a worker that remains":   {func(w *watch) { w.checkRun("other", late) }, 0},
	} {
		w := newWatch()
		w.recordAccepted(start)
		w.recordAccepted(start)
		w.recordDrain("leaving", start)
		test.see(w)
		if len(w.violations()) != test.broken {
			t.Errorf("%s: %v", name, w.violations())
		}
	}
}
