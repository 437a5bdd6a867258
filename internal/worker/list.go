package worker

import (
	"hash/maphash"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/rendezvous"
)

// SetCacheCapacity sets the KV cache size of a service's engines, in tokens.
func (r *Registry) SetCacheCapacity(service string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cacheCapacity[service] = tokens
}

// Replace replaces the whole worker list. It returns the ids of workers that were added and of
// those that are no longer listed.
func (r *Registry) Replace(workers []Worker) (added, gone []string) {
	return r.ReplaceAt(workers, time.Now())
}

// ReplaceAt is Replace at a given time.
func (r *Registry) ReplaceAt(workers []Worker, now time.Time) (added, gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(workers))
	for _, worker := range workers {
		listed[worker.ID] = true
		if known, exists := r.workers[worker.ID]; !exists || !known.listed() {
			added = append(added, worker.ID)
		}
		r.put(worker, now)
	}
	for id := range r.workers {
		if !listed[id] && r.remove(NameOf(id), now) {
			gone = append(gone, id)
		}
	}
	r.listRead = r.listRead || len(workers) > 0
	return added, gone
}

// ReplaceRestored is ReplaceAt for the list of a store that was restored from a backup. The
// backup may list workers that have left since. So a worker that was already gone before the
// restore counts as gone for the time given by doubt, or until its entry is written again: the
// entry of a worker that is alive stays listed for longer than that, that of one that has left
// goes when its heartbeats are missed. If this applies to more than half of the workers, it is
// more likely that the store had lost their entries than that they left, and none is doubted.
func (r *Registry) ReplaceRestored(workers []Worker, doubt time.Duration, now time.Time) (added, gone, doubted []string) {
	doubted = r.knownUnlisted(workers)
	added, gone = r.ReplaceAt(workers, now)
	if 2*len(doubted) > len(workers) {
		return added, gone, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range doubted {
		if known, exists := r.workers[id]; exists {
			known.doubtedUntil = now.Add(doubt)
		}
	}
	return added, gone, doubted
}

// knownUnlisted returns the ids of those of the given workers that are known but not listed.
func (r *Registry) knownUnlisted(workers []Worker) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unlisted []string
	for _, worker := range workers {
		if known, exists := r.workers[worker.ID]; exists && !known.listed() {
			unlisted = append(unlisted, worker.ID)
		}
	}
	return unlisted
}

// Apply applies one change of the worker list. It reports whether anything changed that matters
// for placement.
func (r *Registry) Apply(change Change) bool { return r.ApplyAt(change, time.Now()) }

// ApplyAt is Apply at a given time.
func (r *Registry) ApplyAt(change Change, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case change.Unreadable:
		return r.endIncarnation(r.newestByName[change.Name])
	case change.Worker != nil:
		return r.put(*change.Worker, now)
	}
	return r.remove(change.Name, now)
}

// TakeEnded returns the ids of the incarnations that have ended since the last call: a newer
// one has their name, or their entry became unreadable.
func (r *Registry) TakeEnded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.ended
	r.ended = nil
	return ended
}

// endIncarnation forgets an incarnation at once. What other nodes still send about it is
// ignored.
func (r *Registry) endIncarnation(id string) bool {
	if _, exists := r.workers[id]; !exists {
		return false
	}
	r.software.left(r.workers[id].worker, time.Now())
	r.forget(id)
	r.ended = append(r.ended, id)
	return true
}

// listed reports whether the worker is in the platform's list.
func (s *workerState) listed() bool { return s.goneAt.IsZero() }

// remove marks a worker as no longer listed, and reports whether it was listed. Its state is
// kept until forgetAfter, because entries may disappear while the store is unavailable although
// their workers are alive.
func (r *Registry) remove(name string, now time.Time) bool {
	for other, known := range r.gone {
		if now.Sub(known.goneAt) >= forgetAfter {
			r.forget(other)
		}
	}
	known, exists := r.workers[r.newestByName[name]]
	if !exists || !known.listed() {
		return false
	}
	known.goneAt = now
	r.software.left(known.worker, now)
	r.gone[known.worker.ID] = known
	return true
}

// forget drops the state of a worker.
func (r *Registry) forget(id string) {
	r.generation++
	if known, exists := r.workers[id]; exists {
		known.prefills.notify()
	}
	delete(r.workers, id)
	if r.newestByName[NameOf(id)] == id {
		delete(r.newestByName, NameOf(id))
	}
	delete(r.busy, id)
	delete(r.prefilling, id)
	delete(r.changing, id)
	delete(r.gone, id)
	delete(r.limited, id)
	delete(r.limitUpdates, id)
}

// put adds or updates an entry, and reports whether that changed anything. The entry of an
// earlier incarnation, which may arrive late, is ignored; that of a later one ends the earlier.
// An entry without a start time, if the known incarnation has one, was written by another
// program: it ends the known incarnation and adds nothing.
func (r *Registry) put(worker Worker, now time.Time) bool {
	name := NameOf(worker.ID)
	if newest, known := r.newestByName[name]; known && newest != worker.ID {
		born := BornOf(worker.ID)
		if born > 0 && born < BornOf(newest) {
			return false
		}
		r.endIncarnation(newest)
		if born == 0 {
			return true
		}
	}
	known, exists := r.workers[worker.ID]
	if exists && (known.listed() || now.Sub(known.goneAt) < forgetAfter) {
		changed := known.worker != worker || !known.listed() || !known.doubtedUntil.IsZero()
		if known.worker.Address != worker.Address {
			delete(r.noticeStates, worker.ID) // the address tells a restart if the worker doesn't tell its start time
		}
		if known.worker.Software != worker.Software || known.worker.Service != worker.Service {
			r.software.left(known.worker, now)
		}
		known.noteDraining(worker.Draining, now)
		known.worker = worker
		known.goneAt, known.doubtedUntil = time.Time{}, time.Time{}
		delete(r.gone, worker.ID)
		if worker.Stage == known.changingStage {
			known.changingUntil = time.Time{}
		}
		return changed
	}
	capacity := r.cacheCapacity[worker.Service]
	if capacity == 0 {
		capacity = defaultCacheTokens
	}
	r.forget(worker.ID)
	r.newestByName[name] = worker.ID
	r.workers[worker.ID] = &workerState{
		worker:  worker,
		sortKey: maphash.String(r.seed, worker.ID),
		hash:    rendezvous.Hash(worker.ID),
		remote:  make(map[string]remoteLoad),
		cache:   prefixcache.New(capacity),
		// A worker that is added after the first list has just started with an empty cache.
		cacheKnown: r.listRead,
	}
	return true
}

// noteDraining records whether the worker's new entry says that it drains.
func (s *workerState) noteDraining(draining bool, now time.Time) {
	switch {
	case !draining:
		s.drainingSince = time.Time{}
	case !s.worker.Draining:
		s.drainingSince = now
	}
}

// Get returns a listed worker.
func (r *Registry) Get(id string) (Worker, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists || !known.listed() {
		return Worker{}, false
	}
	return known.worker, true
}

// Software returns the software version of a worker, empty if the worker isn't known or its entry
// doesn't tell it.
func (r *Registry) Software(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return ""
	}
	return known.worker.Software
}

// Address returns the address of a worker that is listed, or was within forgetAfter.
func (r *Registry) Address(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return "", false
	}
	return known.worker.Address, true
}

// IsDraining reports whether a worker is about to end as planned.
func (r *Registry) IsDraining(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	return exists && r.isDraining(known, time.Now())
}

// Region returns the region of a worker, empty if it isn't known.
func (r *Registry) Region(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return ""
	}
	return r.places.Region(known.worker.Zone)
}

// Count returns the number of listed workers.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, known := range r.workers {
		if known.listed() {
			count++
		}
	}
	return count
}

// CountDraining returns the number of listed workers that are draining.
func (r *Registry) CountDraining() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, now := 0, time.Now()
	for _, known := range r.workers {
		if known.listed() && r.isDraining(known, now) {
			count++
		}
	}
	return count
}
