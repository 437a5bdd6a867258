package worker

import (
	"maps"
	"slices"
	"time"
)

// softwareHistory remembers when workers with a software version were listed last, by service.
type softwareHistory map[string]map[string]time.Time

// left records that a worker isn't listed from now on, or with another version.
func (h softwareHistory) left(w Worker, now time.Time) {
	if h[w.Service] == nil {
		h[w.Service] = make(map[string]time.Time)
	}
	h[w.Service][w.Software] = now
}

// SoftwareSince returns the software versions that workers of a service have, or had after a time.
func (r *Registry) SoftwareSince(service string, since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions := make(map[string]bool)
	for _, known := range r.workers {
		if known.worker.Service == service && known.listed() {
			versions[known.worker.Software] = true
		}
	}
	for software, at := range r.software[service] {
		if at.After(since) {
			versions[software] = true
		}
	}
	return slices.Collect(maps.Keys(versions))
}

// Serves reports whether a worker with a software version that can run requests of a service is
// listed and not draining.
func (r *Registry) Serves(service, software string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, known := range r.workers {
		if known.worker.Service == service && known.worker.Software == software && known.worker.Stage != Prefill && r.isStaying(known, now) {
			return true
		}
	}
	return false
}

// ServesOther reports whether a worker may get requests of a service, and run them, that has another
// software version than these.
func (r *Registry) ServesOther(service string, versions []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, known := range r.workers {
		if known.worker.Service == service && known.worker.Stage != Prefill && !slices.Contains(versions, known.worker.Software) && r.usable(known, now) {
			return true
		}
	}
	return false
}
