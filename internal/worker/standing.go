package worker

import (
	"time"

	"github.com/tinarch/tinarch/internal/fleetsize"
)

// Standing returns the number of workers of a service that are listed and not draining, by zone
// and by whether they are spot workers.
func (r *Registry) Standing(service string) fleetsize.Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	standing := make(fleetsize.Counts)
	now := time.Now()
	for _, known := range r.workers {
		if known.worker.Service == service && r.isStaying(known, now) {
			standing[fleetsize.Kind{Zone: known.worker.Zone, Spot: known.worker.Spot}]++
		}
	}
	return standing
}

// StandingBySoftware is Standing by the version of the workers' software.
func (r *Registry) StandingBySoftware(service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	standing, now := make(map[string]int), time.Now()
	for _, known := range r.workers {
		if known.worker.Service == service && r.isStaying(known, now) {
			standing[known.worker.Software]++
		}
	}
	return standing
}

// Idle reports whether there is no demand for a service at any node. The demand of this node
// decays with the time constant demandWindow and isn't rounded, so it becomes zero only about
// 745 time constants after the last request, when math.Exp underflows. Only model engines have
// demand: prompt tokens, refused prompts and requests at decode engines. A service without
// engines counts as idle also while it serves.
func (r *Registry) Idle(service string, now time.Time) bool {
	for _, wanted := range r.Demands(service, now) {
		if !wanted.Zero() {
			return false
		}
	}
	return true
}
