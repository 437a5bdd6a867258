package worker

import "time"

// hostSlowdown is the last statement of a worker about its host.
type hostSlowdown struct {
	factor float64
	at     time.Time
	// usual is the lowest factor stated so far: load of others on the host only raises it. It is
	// zero before the first statement.
	usual float64
}

// ObserveHostSlowdown records the factor by which work takes longer than usual on a worker's
// host, as the worker has just stated it. A service one of whose workers states it is uneven
// from then on.
func (r *Registry) ObserveHostSlowdown(id string, factor float64, now time.Time) {
	r.update(id, func(known *workerState) {
		usual := known.host.usual
		if usual == 0 {
			usual = factor
		}
		known.host = hostSlowdown{factor: factor, at: now, usual: min(usual, factor)}
		r.uneven[known.worker.Service] = true
	})
}

// MarkUneven records that another node counts a service as uneven.
func (r *Registry) MarkUneven(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uneven[service] = true
}

// Uneven reports whether workers of a service share their hosts, so that their speed differs
// and varies: whether any of them has stated its host's slowdown.
func (r *Registry) Uneven(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uneven[service]
}
