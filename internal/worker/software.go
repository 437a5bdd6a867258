package worker

import (
	"maps"
	"slices"
	"time"
)

// softwareHistory remembers when workers with a software version were listed last, by service.
type softwareHistory struct {
	// since is from when on all versions that were listed are known.
	since    time.Time
	lastSeen map[string]map[string]time.Time
}

func (h *softwareHistory) begin(since time.Time) {
	h.since, h.lastSeen = since, make(map[string]map[string]time.Time)
}

// begun reports whether the history has a beginning.
func (h *softwareHistory) begun() bool { return h.lastSeen != nil }

// BeginSoftwareHistory makes the history of software versions begin at a time: nothing that was
// listed before that is known, and everything since then will be. Without this it begins when the
// list is read for the first time.
func (r *Registry) BeginSoftwareHistory(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.software.begin(since)
}

// left records that a worker isn't listed from now on, or with another version.
func (h *softwareHistory) left(w Worker, now time.Time) {
	if !h.begun() {
		return
	}
	if h.lastSeen[w.Service] == nil {
		h.lastSeen[w.Service] = make(map[string]time.Time)
	}
	h.lastSeen[w.Service][w.Software] = now
}

// lastOther returns when another version of a service was listed last, zero if none was.
func (h *softwareHistory) lastOther(service, software string) time.Time {
	var last time.Time
	for other, at := range h.lastSeen[service] {
		if other != software && at.After(last) {
			last = at
		}
	}
	return last
}

// SoleSoftware returns the only software version that the workers of a service have, and since when
// there has been no other one as far as this node has followed the list. It returns false if there
// are several or no workers.
func (r *Registry) SoleSoftware(service string) (software string, since time.Time, sole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.workers {
		if known.worker.Service != service || !known.listed() {
			continue
		}
		if sole && known.worker.Software != software {
			return "", time.Time{}, false
		}
		software, sole = known.worker.Software, true
	}
	if !sole {
		return "", time.Time{}, false
	}
	since = r.software.since
	if last := r.software.lastOther(service, software); !last.IsZero() {
		// Workers may still get requests for some time after they were listed.
		since = last.Add(lastResortFor)
	}
	return software, since, true
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
	for software, at := range r.software.lastSeen[service] {
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
