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
}

// ObserveHostSlowdown records the factor by which work takes longer than usual on a worker's
// host, as the worker has just stated it. A service one of whose workers states it is uneven
// from then on.
func (r *Registry) ObserveHostSlowdown(id string, factor float64, now time.Time) {
	r.update(id, func(known *workerState) {
		if known.host.Observe(factor, now) {
			r.markUneven(known.worker.Service)
		}
	})
}

// MarkUneven records that another node counts a service as uneven.
func (r *Registry) MarkUneven(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markUneven(service)
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
	uneven := r.uneven[known.worker.Service]
	switch {
	case uneven == nil:
		return latency.Factor{}
	case known.host.Known():
		return known.host.Factor(now)
	}
	return r.fleetOf(known.worker.Service, now).Unknown()
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
