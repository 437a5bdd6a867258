package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/quota"
)

// TestOverQuotaIsFound: an excess is found in any window, and only requests of the tenant
// count.
func TestOverQuotaIsFound(t *testing.T) {
	limit := quota.Limit{Rate: 2, Burst: 3, Unit: quota.Requests}
	tolerance := quota.Tolerance{Window: 2 * time.Second, Overshoot: 0, Slack: 1} // allows eight requests in two seconds
	begin := func(count int, tenant string, from, pause time.Duration) []fleetworker.Run {
		var runs []fleetworker.Run
		for number := range count {
			at := time.Unix(1000, 0).Add(from + time.Duration(number)*pause)
			runs = append(runs, fleetworker.Run{Header: http.Header{"X-Tenant": {tenant}}, At: at})
		}
		return runs
	}
	for _, example := range []struct {
		name   string
		runs   []fleetworker.Run
		broken bool
	}{
		{"as many as allowed", begin(8, "a", 0, time.Millisecond), false},
		{"one more", begin(9, "a", 0, time.Millisecond), true},
		{"one more, later", append(begin(8, "a", time.Second, time.Millisecond), begin(1, "a", 2900*time.Millisecond, 0)...), true},
		{"the same from two workers, out of order", append(begin(1, "a", 2900*time.Millisecond, 0), begin(8, "a", time.Second, time.Millisecond)...), true},
		{"one more in the next window", append(begin(8, "a", 0, time.Millisecond), begin(1, "a", 2*time.Second+10*time.Millisecond, 0)...), false},
		{"of another tenant", begin(20, "b", 0, time.Millisecond), false},
	} {
		if violations := overQuota(example.runs, "a", limit, tolerance); (len(violations) > 0) != example.broken {
			t.Errorf("%s: %v", example.name, violations)
		}
	}
}
