package worker

import (
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
)

// minListedParts is how many parts make a read a list of what a worker keeps, rather
// than one prompt.
const minListedParts = 8

// Snapshot is what one node tells the others: its own load by worker, and what
// happened since the last snapshot.
type Snapshot struct {
	Loads        map[string]Load
	CacheUpdates []CacheUpdate
	Failures     []string
	// Changing are the workers that were ordered to a stage.
	Changing []StageChange
	// Demand holds, by service, what its callers want in a deployment in one region, and
	// RegionDemand, by region and service, what they want of each region's engines.
	Demand       map[string]Demand
	RegionDemand map[string]map[string]Demand
	// DemandLife is how long a demand that another node told counts: it is told less often
	// in a large fleet.
	DemandLife time.Duration
	// Limits are what workers said to this node lately of the requests that they take.
	Limits map[string]LimitStatement
	// Draining are the workers that told this node of their end lately.
	Draining []string
	// Touched are the workers of which anything changed since the last snapshot.
	Touched []string
}

// Concerns reports whether anything of a worker changed since the last snapshot, or is
// told once more.
func (s Snapshot) Concerns(id string) bool {
	return slices.Contains(s.Touched, id) || slices.Contains(s.Failures, id) ||
		slices.ContainsFunc(s.CacheUpdates, func(read CacheUpdate) bool { return read.Worker == id })
}

// ForWorkers returns the part of a snapshot that is about some workers.
func (s Snapshot) ForWorkers(workers []string) Snapshot {
	part := Snapshot{
		Loads: make(map[string]Load), Limits: make(map[string]LimitStatement), Demand: s.Demand, RegionDemand: s.RegionDemand,
	}
	for _, id := range workers {
		if limit, said := s.Limits[id]; said {
			part.Limits[id] = limit
		}
		if load, placed := s.Loads[id]; placed {
			part.Loads[id] = load
		}
	}
	for _, read := range s.CacheUpdates {
		if slices.Contains(workers, read.Worker) {
			part.CacheUpdates = append(part.CacheUpdates, read)
		}
	}
	for _, id := range s.Failures {
		if slices.Contains(workers, id) {
			part.Failures = append(part.Failures, id)
		}
	}
	for _, id := range s.Draining {
		if slices.Contains(workers, id) {
			part.Draining = append(part.Draining, id)
		}
	}
	for _, changing := range s.Changing {
		if slices.Contains(workers, changing.Worker) {
			part.Changing = append(part.Changing, changing)
		}
	}
	return part
}

// StageChange tells that an order to a worker may be under way.
type StageChange struct {
	Worker  string
	Prefill bool
	// Left is for how long, unless its entry shows the stage before.
	Left time.Duration
}

// Snapshot returns what is to be told.
func (r *Registry) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{
		Loads: make(map[string]Load), Limits: make(map[string]LimitStatement), CacheUpdates: r.cacheUpdates, Failures: r.failures,
	}
	now := time.Now()
	snapshot.Demand, snapshot.RegionDemand = r.localDemandByService(now)
	r.addLimits(&snapshot, now)
	r.addDraining(&snapshot, now)
	for id, known := range r.busy {
		snapshot.Loads[id] = known.load
	}
	for id, known := range r.changing {
		left := time.Until(known.changingUntil)
		if left <= 0 {
			delete(r.changing, id)
			continue
		}
		snapshot.Changing = append(snapshot.Changing, StageChange{Worker: id, Prefill: known.changingStage == Prefill, Left: left})
	}
	for id := range r.touched {
		snapshot.Touched = append(snapshot.Touched, id)
	}
	r.cacheUpdates, r.failures = nil, nil
	clear(r.touched)
	select {
	case <-r.changed:
	default:
	}
	return snapshot
}

// mergeStageChange takes over an order that another node gave, unless the entry shows
// that it is done.
func (r *Registry) mergeStageChange(change StageChange, now time.Time) {
	stage := Decode
	if change.Prefill {
		stage = Prefill
	}
	if known, exists := r.workers[change.Worker]; exists && known.worker.Stage != stage {
		r.setChanging(known, now.Add(change.Left), stage)
	}
}

// Pace is the learned reading of a service's workers of a stage.
type Pace struct {
	Service string
	Stage   Stage
	Terms   latency.Coefficients
	// TokensPerMillisecond is the pace of a queue.
	TokensPerMillisecond float64
}

// LearnedState is what a node has learned over time, for one that has just started.
type LearnedState struct {
	CacheUpdates []CacheUpdate
	Paces        []Pace
}

// LearnedState returns what this node has learned of workers, of those whose caches it knows,
// and the names of these.
func (r *Registry) LearnedState(workers []string) (learned LearnedState, known []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range workers {
		asked, exists := r.workers[id]
		if !exists || !asked.cacheKnown {
			continue
		}
		known = append(known, id)
		if parts := asked.cache.Parts(); len(parts) > 0 {
			learned.CacheUpdates = append(learned.CacheUpdates, CacheUpdate{Worker: id, Parts: parts})
		}
	}
	for key, group := range r.groups {
		if group.Samples() > 0 {
			learned.Paces = append(learned.Paces, Pace{key.service, key.stage, group.Coefficients(), group.Throughput()})
		}
	}
	return learned, known
}

// MarkCachesKnown records that all that workers keep is known now.
func (r *Registry) MarkCachesKnown(workers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range workers {
		if known, exists := r.workers[id]; exists {
			known.cacheKnown = true
		}
	}
}

// MergeLearnedState takes over what another node has learned. Parts that this node knows
// of already keep their place.
func (r *Registry) MergeLearnedState(learned LearnedState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, read := range learned.CacheUpdates {
		if known, exists := r.workers[read.Worker]; exists {
			known.cache.Use(read.Parts, now)
		}
	}
	for _, learned := range learned.Paces {
		r.groupModel(Worker{Service: learned.Service, Stage: learned.Stage}).Assume(learned.Terms, learned.TokensPerMillisecond)
	}
}

// ObserveCacheList records what a worker itself says that it keeps, and queues that for the
// other nodes.
func (r *Registry) ObserveCacheList(id string, parts []prefixcache.Part, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.cache.Use(parts, now)
		known.cacheKnown = true
		r.cacheUpdates = append(r.cacheUpdates, CacheUpdate{Worker: id, Parts: parts})
		r.touch(id)
	}
}

// UnknownCaches returns the engines of whose caches nothing is known.
func (r *Registry) UnknownCaches() []Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unlisted []Worker
	now := time.Now()
	for _, known := range r.workers {
		if r.isCacheUnknown(known, now) {
			unlisted = append(unlisted, known.worker)
		}
	}
	return unlisted
}

// UnknownCachesAmong is Unlisted of some engines: in a large fleet a node keeps account of few.
func (r *Registry) UnknownCachesAmong(engines map[string]bool) []Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unlisted []Worker
	now := time.Now()
	for id := range engines {
		if known, exists := r.workers[id]; exists && r.isCacheUnknown(known, now) {
			unlisted = append(unlisted, known.worker)
		}
	}
	return unlisted
}

func (r *Registry) isCacheUnknown(known *workerState, now time.Time) bool {
	return known.worker.Stage != Opaque && r.isStaying(known, now) && !known.cacheKnown
}

// Merge takes over what another node told.
func (r *Registry) Merge(node string, snapshot Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeLoads(node, snapshot.Loads, now)
	r.mergeDemand(node, snapshot, now)
	for _, read := range snapshot.CacheUpdates {
		if known, exists := r.workers[read.Worker]; exists {
			known.cache.Use(read.Parts, now)
			known.cacheKnown = known.cacheKnown || len(read.Parts) >= minListedParts
		}
	}
	for _, changing := range snapshot.Changing {
		r.mergeStageChange(changing, now)
	}
	for _, id := range snapshot.Failures {
		if known, exists := r.workers[id]; exists {
			known.breaker.Failed(now)
		}
	}
}

// mergeLoads takes over what another node has placed: nothing on the workers of which it
// told before and doesn't any more.
func (r *Registry) mergeLoads(node string, loads map[string]Load, now time.Time) {
	for _, id := range r.loadedByNode[node] {
		if known, exists := r.workers[id]; exists {
			delete(known.remote, node)
		}
	}
	delete(r.loadedByNode, node)
	for id, load := range loads {
		if known, exists := r.workers[id]; exists {
			known.remote[node] = remoteLoad{load: load, at: now}
			r.loadedByNode[node] = append(r.loadedByNode[node], id)
		}
	}
}

// CachedTokens returns how much of prompts a worker is believed to keep.
func (r *Registry) CachedTokens(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return 0
	}
	return known.cache.Size()
}
