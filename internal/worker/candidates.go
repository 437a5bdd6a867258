package worker

import (
	"iter"
	"time"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/stageplan"
	"github.com/tinarch/tinarch/internal/topology"
)

// Candidates returns the workers of a service that may take a request with this rank and these
// prompt parts, each with the state that placement needs.
func (r *Registry) Candidates(service string, parts []prefixcache.Part, rank int, now time.Time) []scheduling.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []scheduling.Candidate
	for _, known := range r.workers {
		if known.worker.Service != service || !r.mayBeCandidate(known, now) {
			continue
		}
		candidates = append(candidates, r.candidate(known, parts, rank, now))
	}
	return candidates
}

// CandidatesAmong is Candidates restricted to the given workers.
func (r *Registry) CandidatesAmong(service string, workers []string, parts []prefixcache.Part, rank int, now time.Time) []scheduling.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []scheduling.Candidate
	for _, id := range workers {
		known, exists := r.workers[id]
		if exists && known.worker.Service == service && r.mayBeCandidate(known, now) {
			candidates = append(candidates, r.candidate(known, parts, rank, now))
		}
	}
	return candidates
}

// Outlines iterates over the workers of a service that may take a request, with the little
// state that is needed to shortlist them. tracked holds the workers whose load this node
// tracks. The registry stays locked during the iteration.
func (r *Registry) Outlines(service string, tracked map[string]bool, now time.Time) iter.Seq[scheduling.Outline] {
	return func(yield func(scheduling.Outline) bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for id, known := range r.workers {
			if known.worker.Service != service || !r.mayBeCandidate(known, now) {
				continue
			}
			if !yield(r.outline(known, tracked[id], now)) {
				return
			}
		}
	}
}

func (r *Registry) outline(known *workerState, tracked bool, now time.Time) scheduling.Outline {
	return scheduling.Outline{
		ID: known.worker.ID, Prefill: known.worker.Stage == Prefill, Software: known.worker.Software, Draining: known.worker.Draining,
		SameZone: r.places.DistanceTo(known.worker.Zone) == topology.SameZone,
		SortKey:  known.sortKey, Hash: known.hash, Tracked: tracked,
		Sound: r.isStaying(known, now) && !known.isAvoided(now) && !known.handleBreaker.Open(now) && known.turnWait(now) == 0,
	}
}

// EngineIDs returns the ids of all known engines.
func (r *Registry) EngineIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.workers))
	for id, known := range r.workers {
		if known.worker.Stage != Opaque {
			ids = append(ids, id)
		}
	}
	return ids
}

// Generation returns a number that increases whenever a worker is added or forgotten.
func (r *Registry) Generation() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// isChanging reports whether the worker may be changing its stage.
func (s *workerState) isChanging(now time.Time) bool { return now.Before(s.changingUntil) }

// targetStage returns the stage that the worker was ordered to change to, or else its stage.
func (s *workerState) targetStage(now time.Time) Stage {
	if s.isChanging(now) {
		return s.changingStage
	}
	return s.worker.Stage
}

// Engines returns the engines of a service, as the planning of their stages needs them.
func (r *Registry) Engines(service string, now time.Time) []stageplan.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var engines []stageplan.Worker
	for _, known := range r.workers {
		if known.worker.Service != service || known.worker.Stage == Opaque || !known.listed() {
			continue
		}
		load := known.totalLoad(now, "")
		_, throughput := r.prefillModel(known)
		engines = append(engines, stageplan.Worker{
			ID: known.worker.ID, Region: r.RegionOfZone(known.worker.Zone),
			Prefill: known.targetStage(now) == Prefill, Slots: known.worker.Slots,
			Usable:   r.isStaying(known, now) && !known.isAvoided(now) && !r.noticeStates[known.worker.ID].BackingOff(now),
			Limited:  known.limit.Named,
			Changing: known.isChanging(now),
			Requests: load.Requests, ReadTokens: load.Unread.Total(), MemoryTokens: load.MemoryTokens,
			Capacity: r.cacheCapacity[service], Pace: throughput / r.hostFactor(known, now).Average(), Slowdown: known.host.Usual(),
		})
	}
	return engines
}

// mayBeCandidate reports whether a worker may get requests, or at least those that continue streams.
func (r *Registry) mayBeCandidate(known *workerState, now time.Time) bool {
	if known.worker.Draining {
		return known.worker.Stage != Prefill && known.continuesStreams(now) && r.isOpen(known, now)
	}
	return r.usable(known, now)
}

// continuesStreams reports whether a draining worker may still get requests that continue streams.
func (s *workerState) continuesStreams(now time.Time) bool {
	return !s.drainingSince.IsZero() && now.Sub(s.drainingSince) < continueFor
}

// usable reports whether a worker may get requests. One whose entry disappeared or that
// announced its draining may still get them for lastResortFor.
func (r *Registry) usable(known *workerState, now time.Time) bool {
	return !known.worker.Draining && r.isOpen(known, now)
}

// isOpen is usable regardless of whether the worker's entry says that it drains.
func (r *Registry) isOpen(known *workerState, now time.Time) bool {
	if known.isDoubted(now) || known.isChanging(now) || r.admit(known.worker.ID, now) != nil || !known.recovery.admits(known.load.Requests) {
		return false
	}
	return known.listed() || now.Sub(known.goneAt) < lastResortFor
}

// isDraining reports whether a worker is draining, by its entry or its own announcement. The
// entry lags behind while the store is unavailable.
func (r *Registry) isDraining(known *workerState, now time.Time) bool {
	return known.worker.Draining || r.noticeStates[known.worker.ID].Draining(now)
}

// isStaying reports whether a worker is listed, not doubted and not draining.
func (r *Registry) isStaying(known *workerState, now time.Time) bool {
	return known.listed() && !known.isDoubted(now) && !r.isDraining(known, now)
}

// isDoubted reports whether the worker counts as gone although it is listed.
func (s *workerState) isDoubted(now time.Time) bool { return now.Before(s.doubtedUntil) }

func (r *Registry) candidate(known *workerState, parts []prefixcache.Part, rank int, now time.Time) scheduling.Candidate {
	load := known.totalLoad(now, "")
	r.notePlan(known.worker.Service, now)
	coefficients, throughput := r.prefillModel(known)
	distance := r.places.DistanceTo(known.worker.Zone)
	return scheduling.Candidate{
		ID:                  known.worker.ID,
		Address:             known.worker.Address,
		Region:              r.places.Region(known.worker.Zone),
		SameZone:            distance == topology.SameZone,
		OtherRegion:         distance == topology.OtherRegion,
		Slots:               known.worker.Slots,
		Software:            known.worker.Software,
		Prefill:             known.worker.Stage == Prefill,
		Decode:              known.worker.Stage == Decode,
		Requests:            load.Requests,
		ReadTokens:          load.Unread.InTime(),
		LateTokens:          load.Unread.Late(),
		ReadAhead:           load.Unread.Ahead(rank),
		MemoryTokens:        load.MemoryTokens,
		Capacity:            r.cacheCapacity[known.worker.Service],
		CachedTokens:        known.cache.Match(parts),
		InFlight:            known.prefills.inFlight(parts, now, ""),
		PrefillCoefficients: coefficients,
		Throughput:          throughput,
		Host:                r.hostFactor(known, now),
		SortKey:             known.sortKey,
		Hash:                known.hash,
		Avoid:               known.isAvoided(now),
		FailureRate:         known.breaker.FailureRate(now),
		HandleFailure:       known.handleBreaker.Open(now),
		Leaving:             !r.isStaying(known, now),
		Draining:            known.worker.Draining,
		Limited:             known.limit.Named,
		PerSecond:           known.limit.Rate,
		TurnWait:            float64(known.turnWait(now)) / float64(time.Millisecond),
	}
}

// LoadReports returns what this node knows of workers, for another node that asks with a
// request of this rank and these prompt parts. The load of the asking node itself is left out.
func (r *Registry) LoadReports(workers []string, parts []prefixcache.Part, rank int, asking string, now time.Time) map[string]scheduling.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := make(map[string]scheduling.LoadReport, len(workers))
	for _, id := range workers {
		known, exists := r.workers[id]
		if !exists {
			continue
		}
		load := known.totalLoad(now, asking)
		reports[id] = scheduling.LoadReport{
			Requests: load.Requests, ReadTokens: load.Unread.InTime(), ReadAhead: load.Unread.Ahead(rank),
			LateTokens: load.Unread.Late(), MemoryTokens: load.MemoryTokens, CachedTokens: known.cache.Match(parts),
			InFlight: known.prefills.inFlight(parts, now, asking),
			Changing: known.isChanging(now), Leaving: r.isDraining(known, now), Avoid: known.breaker.Open(now) || known.suspicion.holds(now),
			HandleFailure: known.handleBreaker.Open(now), FailureRate: known.breaker.FailureRate(now),
		}
	}
	return reports
}

// totalLoad returns the load of all nodes except one. If the worker has just reported more
// requests than that, the reported number counts.
func (s *workerState) totalLoad(now time.Time, except string) Load {
	load := s.load
	for node, remote := range s.remote {
		if node == except {
			continue
		}
		if now.Sub(remote.at) > remoteLoadTTL {
			delete(s.remote, node)
			continue
		}
		load = load.plus(remote.load)
	}
	if now.Sub(s.reported.at) < reportedLoadTTL {
		load.Requests = max(load.Requests, s.reported.running+s.reported.waiting)
	}
	return load
}

// prefillModel returns the coefficients of a worker's prefill time, and the throughput of its
// queue in tokens per millisecond.
func (r *Registry) prefillModel(known *workerState) (latency.Coefficients, float64) {
	group, slowdown := r.groupModel(known.worker), known.slowdown.Value()
	return group.Coefficients().Scaled(slowdown), group.Throughput() / slowdown
}

// assumedDecodeSlowdown is the factor by which decode engines are assumed to read prompts more
// slowly than prefill engines until it has been measured: they read between decoding steps of
// other requests.
const assumedDecodeSlowdown = 2

func (r *Registry) groupModel(worker Worker) *latency.Model {
	key := groupKey{worker.Service, worker.Stage}
	group, known := r.groups[key]
	if !known {
		group = &latency.Model{}
		if worker.Stage == Decode {
			group.AssumeSlower(assumedDecodeSlowdown)
		}
		r.groups[key] = group
	}
	return group
}

func (r *Registry) timingsOf(service string) *engineTimings {
	learned, known := r.timings[service]
	if !known {
		learned = &engineTimings{}
		r.timings[service] = learned
	}
	return learned
}

// These times, in milliseconds, are assumed until they have been measured.
const (
	assumedHandover = 15
	assumedFetch    = 5
)

// LearnedTimings returns the learned times of a service's engines, except for the time to read
// prompts.
func (r *Registry) LearnedTimings(service string) scheduling.EngineTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	learned := r.timingsOf(service)
	times := scheduling.EngineTimes{
		Handover: learned.handover.Milliseconds(assumedHandover),
		Fetch:    learned.fetch.Milliseconds(assumedFetch),
		Run:      learned.run.Milliseconds(0),
		Pace:     learned.writing.Value(),
		Work:     learned.work.Milliseconds(0),
		Queue:    learned.queue.Value(),
	}
	if work, perToken, known := learned.unevenHandover.Milliseconds(); known {
		times.HandoverWork, times.HandoverPerToken = work, perToken
	}
	return times
}
