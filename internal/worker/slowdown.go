package worker

import (
	"time"

	"github.com/tinarch/tinarch/internal/latency"
)

// fleetEvery is how often the hosts of a service are summed up anew. Their mean changes slowly.
const fleetEvery = time.Second

// unevenService is what is known of a service whose workers state the slowdown of their hosts.
type unevenService struct {
	fleet   latency.Fleet
	fleetAt time.Time
	// plannedAt is when a worker was last described for a plan.
	plannedAt time.Time
}

// ObserveHostSlowdown records the factor by which work takes longer than usual on a worker's
// host, as the worker has just stated it. A service one of whose workers states it is uneven
// from then on.
func (r *Registry) ObserveHostSlowdown(id string, factor float64, now time.Time) {
	r.update(id, func(known *workerState) {
		if known.host.Observe(factor, now) {
			r.statements.Own++
			r.markUneven(known.worker.Service)
			r.tellHost(known, HostStatement{Factor: factor, At: now})
		}
	})
}

func (r *Registry) markUneven(service string) {
	if r.uneven[service] == nil {
		r.uneven[service] = &unevenService{}
	}
}

// Uneven reports whether workers of a service share their hosts, so that their speed differs
// and varies: whether any of them has stated its host's slowdown.
func (r *Registry) Uneven(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uneven[service] != nil
}

// hostFactor returns what is expected of a worker's host, the zero value for a service that
// isn't uneven.
func (r *Registry) hostFactor(known *workerState, now time.Time) latency.Factor {
	if r.uneven[known.worker.Service] == nil {
		return latency.Factor{}
	}
	fleet := r.fleetOf(known.worker.Service, now)
	if !known.host.Known() {
		return fleet.Unknown()
	}
	factor := known.host.Factor(now)
	factor.Fleet = fleet.Mean()
	return factor
}

// HostFactor returns what is expected of a worker's host, the zero value if the worker isn't
// known or its service isn't uneven.
func (r *Registry) HostFactor(id string, now time.Time) latency.Factor {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return latency.Factor{}
	}
	return r.hostFactor(known, now)
}

// fleetOf sums up the hosts of an uneven service.
func (r *Registry) fleetOf(service string, now time.Time) latency.Fleet {
	uneven := r.uneven[service]
	if since := now.Sub(uneven.fleetAt); since >= 0 && since < fleetEvery {
		return uneven.fleet
	}
	uneven.fleet, uneven.fleetAt = latency.Fleet{}, now
	for _, known := range r.workers {
		if known.worker.Service == service {
			uneven.fleet.Add(&known.host)
		}
	}
	return uneven.fleet
}

// atUsualSpeed returns how long work takes on a host that is as fast as usual, given its time
// on one that has a slowdown. A slowdown of zero isn't known, and leaves the time as it is.
func atUsualSpeed(elapsed time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return elapsed
	}
	return time.Duration(float64(elapsed) / slowdown)
}

// notePlan records that a worker of a service is described for a plan.
func (r *Registry) notePlan(service string, now time.Time) {
	if uneven := r.uneven[service]; uneven != nil {
		uneven.plannedAt = now
	}
}
