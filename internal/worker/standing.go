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

// Idle reports whether no node has received requests for a service lately.
func (r *Registry) Idle(service string, now time.Time) bool {
	for _, wanted := range r.Demands(service, now) {
		if !wanted.Zero() {
			return false
		}
	}
	return true
}
