package worker

import (
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/breaker"
	"github.com/tinarch/tinarch/internal/pace"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/stageplan"
)

// state is what is known of one worker.
type state struct {
	worker Worker
	// goneAt is when its entry vanished, zero while it is listed.
	goneAt time.Time
	load   Load
	// changing is until when an order keeps requests away, unless its entry shows the
	// stage before.
	changing      time.Time
	changingStage Stage
	// remote is the load that other nodes have placed, by node.
	remote map[string]remoteLoad
	cache  *prefixcache.Cache
	// cacheKnown tells that what the worker kept before this node started is known.
	cacheKnown bool
	reader     pace.Reader
	breaker    breaker.Breaker
	handles    breaker.Breaker
	reported   reportedLoad
}

// Load is work placed and not finished.
type Load struct {
	// Requests counts requests that run or wait.
	Requests int
	// ReadTokens counts prompt tokens that are still to be read.
	ReadTokens int
	// MemoryTokens counts the KV cache that the requests need.
	MemoryTokens int
}

// Zero reports whether there is no load.
func (l Load) Zero() bool { return l == Load{} }

func (l Load) plus(other Load) Load {
	return Load{
		Requests:     l.Requests + other.Requests,
		ReadTokens:   l.ReadTokens + other.ReadTokens,
		MemoryTokens: l.MemoryTokens + other.MemoryTokens,
	}
}

func (l Load) minus(other Load) Load {
	return Load{
		Requests:     l.Requests - other.Requests,
		ReadTokens:   l.ReadTokens - other.ReadTokens,
		MemoryTokens: l.MemoryTokens - other.MemoryTokens,
	}
}

type remoteLoad struct {
	load Load
	at   time.Time
}

// reportedLoad is what a worker's last answer told.
type reportedLoad struct {
	running, waiting int
	at               time.Time
}

const (
	// remoteLife is how long a silent node's load counts.
	remoteLife = time.Second
	// lingerFor is how long a worker whose entry has vanished is the last resort. A
	// worker that leaves must get nothing soon after.
	lingerFor = 1200 * time.Millisecond
	// forgetAfter is how long what is known of it is kept.
	forgetAfter = 10 * time.Second
	// reportLife is how long a worker's own word on its load counts.
	reportLife = 300 * time.Millisecond
	// unknownMemoryTokens is the cache of an engine whose size isn't configured.
	unknownMemoryTokens = 200_000
)

// Registry is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	zone    string
	workers map[string]*state
	// groups hold the pace of all workers of a service and stage, which a worker
	// that was not measured yet is assumed to have.
	groups map[groupKey]*pace.Reader
	// memory is the KV cache of one engine by service, in tokens.
	memory map[string]int
	// reads are the parts newly read since the last digest.
	reads []Read
	// failures are the workers that failed since the last digest.
	failures []string
	version  uint64
}

type groupKey struct {
	service string
	stage   Stage
}

// Read tells that a worker has read a prompt, so that it keeps its parts.
type Read struct {
	Worker string
	Parts  []prefixcache.Part
}

// NewRegistry returns an empty registry of a node in a zone.
func NewRegistry(zone string) *Registry {
	return &Registry{
		zone:    zone,
		workers: make(map[string]*state),
		groups:  make(map[groupKey]*pace.Reader),
		memory:  make(map[string]int),
	}
}

// SetMemory sets the KV cache of a service's engines, in tokens.
func (r *Registry) SetMemory(service string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory[service] = tokens
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
		if !listed[id] && r.remove(id, now) {
			gone = append(gone, id)
		}
	}
	return added, gone
}

// Apply records one change of the list. It reports whether anything that matters
// for placement changed.
func (r *Registry) Apply(change Change) bool { return r.ApplyAt(change, time.Now()) }

// ApplyAt is Apply at a given time.
func (r *Registry) ApplyAt(change Change, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Worker != nil {
		return r.put(*change.Worker, now)
	}
	return r.remove(change.ID, now)
}

// listed reports whether the platform lists the worker.
func (s *state) listed() bool { return s.goneAt.IsZero() }

// remove takes a worker off the list, and reports whether it was on it. What is
// known of it is kept for a while: entries may vanish while the store is away,
// although their workers live.
func (r *Registry) remove(id string, now time.Time) bool {
	for other, known := range r.workers {
		if !known.listed() && now.Sub(known.goneAt) >= forgetAfter {
			delete(r.workers, other)
		}
	}
	known, exists := r.workers[id]
	if !exists || !known.listed() {
		return false
	}
	known.goneAt = now
	return true
}

// put records an entry, and reports whether that changed anything.
func (r *Registry) put(worker Worker, now time.Time) bool {
	known, exists := r.workers[worker.ID]
	if exists && (known.listed() || now.Sub(known.goneAt) < forgetAfter) {
		changed := known.worker != worker || !known.listed()
		known.worker = worker
		known.goneAt = time.Time{}
		if worker.Stage == known.changingStage {
			known.changing = time.Time{}
		}
		return changed
	}
	capacity := r.memory[worker.Service]
	if capacity == 0 {
		capacity = unknownMemoryTokens
	}
	r.workers[worker.ID] = &state{
		worker: worker,
		remote: make(map[string]remoteLoad),
		cache:  prefixcache.New(capacity),
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

// Candidates describes the workers of a service that may take a request with a
// prompt of these parts.
func (r *Registry) Candidates(service string, parts []prefixcache.Part, now time.Time) []scheduling.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []scheduling.Candidate
	for _, known := range r.workers {
		if known.worker.Service != service || !known.usable(now) {
			continue
		}
		candidates = append(candidates, r.candidate(known, parts, now))
	}
	return candidates
}

// isChanging reports whether an order may be under way.
func (s *state) isChanging(now time.Time) bool { return now.Before(s.changing) }

// SetChanging keeps requests away from a worker that was ordered to a stage, until a
// time or until its entry shows the stage.
func (r *Registry) SetChanging(id string, prefill bool, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.workers[id]
	if !exists {
		return
	}
	known.changing, known.changingStage = until, Decode
	if prefill {
		known.changingStage = Prefill
	}
	r.version++
}

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
			Requests: load.Requests, ReadTokens: load.ReadTokens, MemoryTokens: load.MemoryTokens,
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

func (r *Registry) candidate(known *state, parts []prefixcache.Part, now time.Time) scheduling.Candidate {
	load := known.total(now)
	return scheduling.Candidate{
		ID:            known.worker.ID,
		Address:       known.worker.Address,
		Zone:          known.worker.Zone,
		SameZone:      known.worker.Zone == r.zone,
		Slots:         known.worker.Slots,
		Prefill:       known.worker.Stage == Prefill,
		Decode:        known.worker.Stage == Decode,
		Requests:      load.Requests,
		ReadTokens:    load.ReadTokens,
		MemoryTokens:  load.MemoryTokens,
		Capacity:      r.memory[known.worker.Service],
		CachedTokens:  known.cache.Match(parts),
		Pace:          r.paceOf(known),
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

// Begin records work given to a worker.
func (r *Registry) Begin(id string, load Load) { r.change(id, load) }

// End records that work given by Begin is over.
func (r *Registry) End(id string, load Load) { r.change(id, Load{}.minus(load)) }

func (r *Registry) change(id string, load Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.load = known.load.plus(load)
		r.version++
	}
}

// ObserveRead records that a worker read tokens, with those ahead of them, in the
// time elapsed.
func (r *Registry) ObserveRead(id string, tokens int, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.reader.Observe(tokens, elapsed)
		r.group(known.worker).Observe(tokens, elapsed)
	}
}

// Cached records that a worker keeps the parts of a prompt now, and queues that
// for the other nodes.
func (r *Registry) Cached(id string, parts []prefixcache.Part, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.cache.Use(parts, now)
		r.reads = append(r.reads, Read{Worker: id, Parts: parts})
		r.version++
	}
}

// Succeeded records a good answer.
func (r *Registry) Succeeded(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.breaker.Succeeded(now)
	}
}

// Failed records a failure, and queues it for the other nodes.
func (r *Registry) Failed(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.breaker.Failed(now)
		r.failures = append(r.failures, id)
		r.version++
	}
}

// Errored records an answer that tells of a failure of the worker's own.
func (r *Registry) Errored(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.breaker.Errored(now)
	}
}

// HandleFailed records that a prompt read apart at a worker could not be fetched.
func (r *Registry) HandleFailed(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.handles.Failed(now)
	}
}

// HandleTaken records that a prompt read apart at a worker was fetched.
func (r *Registry) HandleTaken(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.handles.Succeeded(now)
	}
}

// Reported records the load that a worker's answer told.
func (r *Registry) Reported(id string, running, waiting int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.workers[id]; exists {
		known.reported = reportedLoad{running: running, waiting: waiting, at: now}
	}
}

// Draining returns the number of listed workers that get no new requests.
func (r *Registry) Draining() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, known := range r.workers {
		if known.worker.Draining && known.listed() {
			count++
		}
	}
	return count
}
