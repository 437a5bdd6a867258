package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/quota"
)

// limitedTenant is the tenant with a quota in runs with Options.Quotas. The quota is about half
// of what its four callers send without one (58 requests ran in 8 s, seed 1796241653594264864).
const limitedTenant = 1

// The quota, and by how much all nodes together may exceed it.
var (
	tenantLimit    = quota.Limit{Rate: 3, Burst: 4, Unit: quota.Requests}
	quotaTolerance = quota.Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 4}
)

// allRuns returns the requests that workers began to run.
func (s *site) allRuns() []fleetworker.Run {
	var runs []fleetworker.Run
	for _, worker := range s.allWorkers() {
		runs = append(runs, worker.Runs()...)
	}
	return runs
}

// busiestWindow returns the most requests of a tenant that workers began within one window.
func busiestWindow(runs []fleetworker.Run, tenant string, window time.Duration) int {
	var began []time.Time
	for _, run := range runs {
		if run.Header.Get("X-Tenant") == tenant {
			began = append(began, run.At)
		}
	}
	slices.SortFunc(began, time.Time.Compare)
	return fleetworker.MaxInWindow(began, window)
}

// overQuota returns a violation if, in some window, workers began more requests of a tenant
// than its quota and tolerance allow.
func overQuota(runs []fleetworker.Run, tenant string, limit quota.Limit, tolerance quota.Tolerance) []string {
	most := limit.Rate*tolerance.Window.Seconds() + limit.Burst + tolerance.MaxExcess(limit)
	if count := busiestWindow(runs, tenant, tolerance.Window); float64(count) > most {
		return []string{fmt.Sprintf("%s ran %d requests in %v, %.1f are allowed", tenant, count, tolerance.Window, most)}
	}
	return nil
}
