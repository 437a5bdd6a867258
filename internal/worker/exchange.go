package worker

import "time"

// Snapshot is what one node tells the others: its own load by worker, and what
// happened since the last snapshot.
type Snapshot struct {
	Loads    map[string]Load
	Reads    []Read
	Failures []string
}

// Snapshot returns what is to be told, and a number that rises with each change,
// so that nothing need be sent while it stays the same.
func (r *Registry) Snapshot() (Snapshot, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Loads: make(map[string]Load), Reads: r.reads, Failures: r.failures}
	for id, known := range r.workers {
		if !known.load.Zero() {
			snapshot.Loads[id] = known.load
		}
	}
	r.reads, r.failures = nil, nil
	return snapshot, r.version
}

// Version rises with each change that other nodes should hear of.
func (r *Registry) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Merge takes over what another node told.
func (r *Registry) Merge(node string, snapshot Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, known := range r.workers {
		load, told := snapshot.Loads[id]
		if told {
			known.remote[node] = remoteLoad{load: load, at: now}
		} else {
			delete(known.remote, node)
		}
	}
	for _, read := range snapshot.Reads {
		if known, exists := r.workers[read.Worker]; exists {
			known.cache.Use(read.Parts, now)
		}
	}
	for _, id := range snapshot.Failures {
		if known, exists := r.workers[id]; exists {
			known.breaker.Failed(now)
		}
	}
}
