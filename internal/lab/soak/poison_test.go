package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
)

// TestPoisonCheckerFinds: each check of the poison request can fail.
func TestPoisonCheckerFinds(t *testing.T) {
	quietSince := time.Unix(1000, 0)
	calm := quietSince.Add(quietPeriod)
	for _, example := range []struct {
		name    string
		status  int
		before  int
		quietly int
		broken  int
	}{
		{"stopped", http.StatusBadGateway, 3, 0, 0},
		{"stopped within the bound", http.StatusBadGateway, 3, 3, 0},
		{"not recognized before", http.StatusBadGateway, 2, 4, 0},
		{"not stopped", http.StatusBadGateway, 3, 4, 1},
		{"answered", http.StatusOK, 1, 0, 1},
		{"answered as not run", http.StatusServiceUnavailable, 1, 0, 1},
	} {
		d := &poison{quietSince: quietSince}
		var runs []fleetworker.Run
		for number := range example.before + example.quietly {
			got := observation{id: fmt.Sprint(number), status: example.status}
			d.add(got)
			run := fleetworker.Run{ID: got.id, At: quietSince}
			if number >= example.before {
				run.At = calm
			}
			runs = append(runs, run)
		}
		if got := d.violations(runs); len(got) != example.broken {
			t.Errorf("%s: %q", example.name, got)
		}
	}
}
