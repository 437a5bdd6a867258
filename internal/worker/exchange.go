package worker

import (
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
)

// minListedParts is the number of parts from which a CacheUpdate counts as a list of all that a
// worker has cached, rather than one prompt.
const minListedParts = 8

// Snapshot is what one node sends to the others: its own load by worker, and what happened
// since its last snapshot.
type Snapshot struct {
	Loads        map[string]Load
	CacheUpdates []CacheUpdate
	Failures     []string
	// Changing holds the workers that were ordered to change their stage.
	Changing []StageChange
	// Demand holds the demand by service if the deployment has one region; otherwise
	// RegionDemand holds it by region of the engines and service.
	Demand       map[string]Demand
	RegionDemand map[string]map[string]Demand
	// Prefills holds the prefills of shared prefixes that the node has under way.
	Prefills []InFlightPrefill
	// DemandLife is how long the demand of another node counts. In a large fleet demand is sent
	// less often.
	DemandLife time.Duration
	// Limits holds the request rates that workers stated to this node lately.
	Limits map[string]LimitStatement
	// Draining holds the workers that announced to this node lately that they are draining.
	Draining []string
	// Hosts holds what workers stated about their hosts since the last snapshot.
	Hosts map[string]HostStatement
	// Readings holds prefills that this node measured since the last snapshot.
	Readings []WorkerReading
	// Streams holds the streams of callers that workers began, or went on with, since the last
	// snapshot.
	Streams []Stream
	// Touched holds the workers whose state changed since the last snapshot.
	Touched []string
}

// Concerns reports whether the snapshot contains a change of a worker's state, including one
// that was sent before and is repeated.
func (s Snapshot) Concerns(id string) bool {
	return slices.Contains(s.Touched, id) || slices.Contains(s.Failures, id) ||
		slices.ContainsFunc(s.CacheUpdates, func(update CacheUpdate) bool { return update.Worker == id }) ||
		slices.ContainsFunc(s.Streams, func(stream Stream) bool { return stream.Worker == id })
}

// ForWorkers returns the part of a snapshot that is about the given workers.
func (s Snapshot) ForWorkers(workers []string) Snapshot {
	part := Snapshot{
		Loads: make(map[string]Load), Limits: make(map[string]LimitStatement), Demand: s.Demand, RegionDemand: s.RegionDemand,
	}
	for _, id := range workers {
		if limit, stated := s.Limits[id]; stated {
			part.Limits[id] = limit
		}
		if statement, stated := s.Hosts[id]; stated {
			if part.Hosts == nil {
				part.Hosts = make(map[string]HostStatement)
			}
			part.Hosts[id] = statement
		}
		if load, placed := s.Loads[id]; placed {
			part.Loads[id] = load
		}
	}
	for _, update := range s.CacheUpdates {
		if slices.Contains(workers, update.Worker) {
			part.CacheUpdates = append(part.CacheUpdates, update)
		}
	}
	for _, stream := range s.Streams {
		if slices.Contains(workers, stream.Worker) {
			part.Streams = append(part.Streams, stream)
		}
	}
	for _, measured := range s.Readings {
		if slices.Contains(workers, measured.Worker) {
			part.Readings = append(part.Readings, measured)
		}
	}
	for _, prefill := range s.Prefills {
		if slices.Contains(workers, prefill.Worker) {
			part.Prefills = append(part.Prefills, prefill)
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
	for _, change := range s.Changing {
		if slices.Contains(workers, change.Worker) {
			part.Changing = append(part.Changing, change)
		}
	}
	return part
}

// StageChange says that a worker was ordered to change its stage and may not have done so yet.
type StageChange struct {
	Worker  string
	Prefill bool
	// Left is for how long the worker gets no requests, unless its entry shows the new stage
	// before.
	Left time.Duration
}

// Snapshot returns what is to be sent to other nodes, and starts the next snapshot.
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
	snapshot.Hosts = r.takeHostUpdates()
	snapshot.Readings, r.sharedReadings = r.sharedReadings, nil
	snapshot.Streams, r.streams = r.streams, nil
	r.addPrefills(&snapshot, now)
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

// mergeStageChange records an order that another node gave, unless the entry already shows the
// new stage.
func (r *Registry) mergeStageChange(change StageChange, now time.Time) {
	stage := Decode
	if change.Prefill {
		stage = Prefill
	}
	if known, exists := r.workers[change.Worker]; exists && known.worker.Stage != stage {
		r.setChanging(known, now.Add(change.Left), stage)
	}
}

// PrefillModel is the learned prefill time of the workers of a service and stage.
type PrefillModel struct {
	Service string
	Stage   Stage
	Terms   latency.Coefficients
	// TokensPerMillisecond is the throughput of a queue of prompts. The names of these fields
	// are part of the messages between nodes, so Terms, the coefficients of the prefill time,
	// keeps its name.
	TokensPerMillisecond float64
}

// LearnedState is what a node has learned over time and sends to a node that has just started.
type LearnedState struct {
	CacheUpdates  []CacheUpdate
	PrefillModels []PrefillModel
}

// LearnedState returns what this node has learned of those of the given workers whose caches it
// knows, and the ids of these.
func (r *Registry) LearnedState(workers []string) (learned LearnedState, known []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range workers {
		state, exists := r.workers[id]
		if !exists || !state.cacheKnown {
			continue
		}
		known = append(known, id)
		if parts := state.cache.Parts(); len(parts) > 0 {
			learned.CacheUpdates = append(learned.CacheUpdates, CacheUpdate{Worker: id, Parts: parts})
		}
	}
	for key, group := range r.groups {
		if group.Samples() > 0 {
			learned.PrefillModels = append(learned.PrefillModels, PrefillModel{key.service, key.stage, group.Coefficients(), group.Throughput()})
		}
	}
	return learned, known
}

// MarkCachesKnown records that the cache contents of workers are completely known now.
func (r *Registry) MarkCachesKnown(workers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range workers {
		if known, exists := r.workers[id]; exists {
			known.cacheKnown = true
		}
	}
}

// MergeLearnedState merges what another node has learned. Parts that this node knows already
// keep their position in the order of use.
func (r *Registry) MergeLearnedState(learned LearnedState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, update := range learned.CacheUpdates {
		if known, exists := r.workers[update.Worker]; exists {
			known.cache.Use(update.Parts, now)
		}
	}
	for _, pace := range learned.PrefillModels {
		r.groupModel(Worker{Service: pace.Service, Stage: pace.Stage}).Assume(pace.Terms, pace.TokensPerMillisecond)
	}
}

// ObserveCacheList records the cache contents that a worker has reported itself, and queues
// them for the other nodes.
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

// UnknownCaches returns the engines whose cache contents aren't known.
func (r *Registry) UnknownCaches() []Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unknown []Worker
	now := time.Now()
	for _, known := range r.workers {
		if r.isCacheUnknown(known, now) {
			unknown = append(unknown, known.worker)
		}
	}
	return unknown
}

// UnknownCachesAmong is UnknownCaches restricted to the given engines: in a large fleet a node
// tracks the load of few.
func (r *Registry) UnknownCachesAmong(engines map[string]bool) []Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unknown []Worker
	now := time.Now()
	for id := range engines {
		if known, exists := r.workers[id]; exists && r.isCacheUnknown(known, now) {
			unknown = append(unknown, known.worker)
		}
	}
	return unknown
}

func (r *Registry) isCacheUnknown(known *workerState, now time.Time) bool {
	return known.worker.Stage != Opaque && r.isStaying(known, now) && !known.cacheKnown
}

// Merge merges the snapshot of another node.
func (r *Registry) Merge(node string, snapshot Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeLoads(node, snapshot.Loads, now)
	r.mergeDemand(node, snapshot, now)
	for _, update := range snapshot.CacheUpdates {
		if known, exists := r.workers[update.Worker]; exists {
			known.cache.Use(update.Parts, now)
			known.cacheKnown = known.cacheKnown || len(update.Parts) >= minListedParts
			known.prefills.notify()
		}
	}
	r.mergePrefills(node, snapshot.Prefills, now)
	for _, change := range snapshot.Changing {
		r.mergeStageChange(change, now)
	}
	for _, id := range snapshot.Failures {
		if known, exists := r.workers[id]; exists {
			known.suspicion.add(now)
		}
	}
}

// mergeLoads replaces the load that another node has placed. Workers that it no longer mentions
// have no load of it.
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

// CachedTokens returns how many prompt tokens a worker is predicted to have cached.
func (r *Registry) CachedTokens(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return 0
	}
	return known.cache.Size()
}
