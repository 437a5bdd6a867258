package worker

import (
	"hash/maphash"
	"time"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/rendezvous"
)

// SetCacheCapacity sets the KV cache of a service's engines, in tokens.
func (r *Registry) SetCacheCapacity(service string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cacheCapacity[service] = tokens
}

// Replace sets the whole list. It returns the workers that are new and those gone.
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

// ReplaceRestored is ReplaceAt of the list of a store that has come back from a copy. A worker
// that was gone before counts as gone for a time, unless its entry is written again: one that
// lives keeps it longer than that, one that has left may still be listed by the copy. Where
// most would be doubted the store had lost their entries, not they.
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

// knownUnlisted returns those of some workers that are known and not listed.
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

// Apply records one change of the list. It reports whether anything that matters
// for placement changed.
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

// TakeEnded returns the identities of workers that have ended since it was called last:
// another start has their name, or their entry can't be read any more.
func (r *Registry) TakeEnded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.ended
	r.ended = nil
	return ended
}

// endIncarnation forgets a start of a worker at once: it has ended, whatever others still tell of it.
func (r *Registry) endIncarnation(id string) bool {
	if _, exists := r.workers[id]; !exists {
		return false
	}
	r.forget(id)
	r.ended = append(r.ended, id)
	return true
}

// listed reports whether the platform lists the worker.
func (s *workerState) listed() bool { return s.goneAt.IsZero() }

// remove takes a worker off the list, and reports whether it was on it. What is
// known of it is kept for a while: entries may vanish while the store is away,
// although their workers live.
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
	r.gone[known.worker.ID] = known
	return true
}

// forget drops all that is known of a worker.
func (r *Registry) forget(id string) {
	r.generation++
	delete(r.workers, id)
	if r.newestByName[NameOf(id)] == id {
		delete(r.newestByName, NameOf(id))
	}
	delete(r.busy, id)
	delete(r.changing, id)
	delete(r.gone, id)
	delete(r.limited, id)
	delete(r.limitUpdates, id)
}

// put records an entry, and reports whether that changed anything. The entry of an earlier
// start, which may come late, changes nothing, and that of a later one ends the earlier. One
// that doesn't tell its birth, of a worker that did, is another writer's: it ends the worker.
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
			delete(r.noticeStates, worker.ID) // another start of a worker that doesn't tell its birth
		}
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
		worker: worker,
		rank:   maphash.String(r.seed, worker.ID),
		hash:   rendezvous.Hash(worker.ID),
		remote: make(map[string]remoteLoad),
		cache:  prefixcache.New(capacity),
		// A worker that comes after the list was read has just started.
		cacheKnown: r.listRead,
	}
	return true
}

// Get returns a worker of the list.
func (r *Registry) Get(id string) (Worker, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists || !known.listed() {
		return Worker{}, false
	}
	return known.worker, true
}

// IsDraining reports whether a worker is known to end as planned.
func (r *Registry) IsDraining(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	return exists && r.isDraining(known, time.Now())
}

// Region is that of a worker, empty where it isn't known.
func (r *Registry) Region(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return ""
	}
	return r.places.Region(known.worker.Zone)
}

// Count returns the number of workers listed.
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

// CountDraining returns the number of listed workers that get no new requests.
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
