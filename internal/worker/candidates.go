package worker

import (
	"time"

	"github.com/tinarch/tinarch/internal/pace"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/stageplan"
)

// Candidates describes the workers of a service that may take a request of a rank
// with a prompt of these parts.
func (r *Registry) Candidates(service string, parts []prefixcache.Part, rank int, now time.Time) []scheduling.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []scheduling.Candidate
	for _, known := range r.workers {
		if known.worker.Service != service || !known.usable(now) {
			continue
		}
		candidates = append(candidates, r.candidate(known, parts, rank, now))
	}
	return candidates
}

// isChanging reports whether an order may be under way.
func (s *state) isChanging(now time.Time) bool { return now.Before(s.changing) }

// Engines describes the engines of a service for planning their stages.
func (r *Registry) Engines(service string, now time.Time) []stageplan.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	var engines []stageplan.Worker
	for _, known := range r.workers {
		if known.worker.Service != service || known.worker.Stage == Opaque || !known.listed() {
			continue
		}
		load := known.total(now)
		engines = append(engines, stageplan.Worker{
			ID: known.worker.ID, Prefill: known.worker.Stage == Prefill,
			Usable:   !known.worker.Draining && !known.breaker.Open(now),
			Changing: known.isChanging(now),
			Requests: load.Requests, ReadTokens: load.Reads.Total(), MemoryTokens: load.MemoryTokens,
			Capacity: r.memory[service], Pace: r.paceOf(known),
		})
	}
	return engines
}

// usable reports whether a worker may get requests: it is listed and stays, or has
// vanished without a word a moment ago.
func (s *state) usable(now time.Time) bool {
	if s.worker.Draining || s.isChanging(now) {
		return false
	}
	return s.listed() || now.Sub(s.goneAt) < lingerFor
}

func (r *Registry) candidate(known *state, parts []prefixcache.Part, rank int, now time.Time) scheduling.Candidate {
	load := known.total(now)
	return scheduling.Candidate{
		ID:            known.worker.ID,
		Address:       known.worker.Address,
		SameZone:      known.worker.Zone == r.zone,
		Slots:         known.worker.Slots,
		Prefill:       known.worker.Stage == Prefill,
		Decode:        known.worker.Stage == Decode,
		Requests:      load.Requests,
		ReadTokens:    load.Reads.Total(),
		ReadAhead:     load.Reads.Ahead(rank),
		MemoryTokens:  load.MemoryTokens,
		Capacity:      r.memory[known.worker.Service],
		CachedTokens:  known.cache.Match(parts),
		Pace:          r.paceOf(known),
		Rank:          known.rank,
		Avoid:         known.breaker.Open(now),
		FailureRate:   known.breaker.FailureRate(now),
		HandleFailure: known.handles.Open(now),
		Leaving:       !known.listed(),
	}
}

// total is the load of all nodes, or what the worker itself told just now where
// that is more.
func (s *state) total(now time.Time) Load {
	total := s.load
	for node, remote := range s.remote {
		if now.Sub(remote.at) > remoteLife {
			delete(s.remote, node)
			continue
		}
		total = total.plus(remote.load)
	}
	if now.Sub(s.reported.at) < reportLife {
		total.Requests = max(total.Requests, s.reported.running+s.reported.waiting)
	}
	return total
}

// ownSamples is how many measurements make a worker's own pace count alone.
const ownSamples = 4

func (r *Registry) paceOf(known *state) float64 {
	if known.reader.Samples() >= ownSamples {
		return known.reader.TokensPerMillisecond()
	}
	return r.group(known.worker).TokensPerMillisecond()
}

func (r *Registry) group(worker Worker) *pace.Reader {
	key := groupKey{worker.Service, worker.Stage}
	group, known := r.groups[key]
	if !known {
		group = &pace.Reader{}
		r.groups[key] = group
	}
	return group
}
