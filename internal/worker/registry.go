package worker

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/breaker"
	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/topology"
)

// workerState is what is known of one worker.
type workerState struct {
	worker Worker
	// goneAt is when its entry vanished, zero while it is listed.
	goneAt time.Time
	load   Load
	// doubtedUntil is until when the worker counts as gone although it is listed: its entry
	// was gone, and came back with the store from a copy.
	doubtedUntil time.Time
	// changingUntil is until when an order keeps requests away, unless its entry shows the
	// stage before.
	changingUntil time.Time
	changingStage Stage
	// remote is the load that other nodes have placed, by node.
	remote map[string]remoteLoad
	cache  *prefixcache.Cache
	// cacheKnown tells that what the worker kept before this node started is known.
	cacheKnown bool
	// slowdown is by how much the engine reads more slowly than its group.
	slowdown latency.Slowdown
	// rank orders the workers for this node alone, hash for all nodes alike.
	rank, hash uint64
	breaker    breaker.Breaker
	// handleBreaker judges the prompts read apart: those that others fetch from the worker, or
	// where it writes those that it fetches.
	handleBreaker breaker.Breaker
	reported      reportedLoad
	// recovery bounds the requests at a worker that has asked for a pause.
	recovery recovery
	// limit is what the worker has said of the requests that it takes, limitVersion counts the
	// changes of that, and turnAt is when it takes a further one.
	limit        LimitStatement
	limitVersion uint64
	turnAt       time.Time
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
	// remoteLoadTTL is how long a silent node's load counts.
	remoteLoadTTL = time.Second
	// lastResortFor is how long a worker whose entry has vanished, or that has announced its end,
	// is the last resort. A worker that leaves must get nothing soon after.
	lastResortFor = 1200 * time.Millisecond
	// forgetAfter is how long what is known of it is kept.
	forgetAfter = 10 * time.Second
	// reportedLoadTTL is how long a worker's own word on its load counts.
	reportedLoadTTL = 300 * time.Millisecond
	// defaultCacheTokens is the cache of an engine whose size isn't configured.
	defaultCacheTokens = 200_000
)

// Registry is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// places are the zones and regions, seen from this node.
	places topology.Map
	// regional tells that the deployment lies in several regions.
	regional bool
	// seed makes the ranks of this process's own.
	seed    maphash.Seed
	workers map[string]*workerState
	// newestByName holds the identity of the newest start by a worker's name, and ended those that
	// were replaced by a newer one or whose entry can't be read, until TakeEnded.
	newestByName map[string]string
	ended        []string
	// busy, changing and gone are the few workers that have load of this node, were ordered
	// to a stage, or have vanished; placed are those on which another node has load, by node.
	// Nothing that is done for each message goes through all workers: of 10,000 that took
	// 0.9 ms for a message of another node, and takes 1 µs with these (BenchmarkMerge).
	busy, changing, gone map[string]*workerState
	loadedByNode         map[string][]string
	// limited are the workers that have named a limit, and limitChanged is told of changes.
	limited      map[string]*workerState
	limitChanged func(LimitChange)
	// noticeStates hold, by worker, what it has said of whether it takes further requests.
	noticeStates map[string]NoticeState
	// drainingUpdates are the workers whose end is told to others, each until a time.
	drainingUpdates map[string]time.Time
	// limitUpdates are the workers whose limits are told to others, each until a time.
	limitUpdates map[string]time.Time
	// generation rises whenever a worker is added or forgotten.
	generation uint64
	// groups hold the learned reading of all workers of a service and stage.
	groups map[groupKey]*latency.Model
	// timings hold what else was learned of a service's engines.
	timings map[string]*engineTimings
	// cacheCapacity is the KV cache of one engine by service, in tokens.
	cacheCapacity map[string]int
	// demands are what callers want.
	demands map[demandKey]*demand
	// cacheUpdates are the parts newly read since the last digest.
	cacheUpdates []CacheUpdate
	// failures are the workers that failed since the last digest.
	failures []string
	// touched are the workers of which there is something to tell since then.
	touched map[string]bool
	// changed holds a token while there is something to tell.
	changed chan struct{}
	// listRead tells that the list of workers was listRead once.
	listRead bool
}

// Changed gives a token when there is something to tell the other nodes.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// touch records that there is something to tell of a worker.
func (r *Registry) touch(id string) {
	r.touched[id] = true
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// engineTimings are the learned times of a service's engines besides reading.
type engineTimings struct {
	// queue is the part of the reading ahead of a prompt that it waits for: engines read
	// several prompts by turns.
	queue latency.NeededShare
	// handover is from sending a request to run with a prompt that was read apart to
	// its first byte.
	handover latency.MovingMean
	// fetch is what a fetch of kept parts takes besides the link.
	fetch latency.MovingMean
	// run is from the first byte of an answer to its end.
	run latency.MovingMean
	// writing is the time of a run for each token that its caller expected, in
	// milliseconds.
	writing latency.MovingRatio
}

type groupKey struct {
	service string
	stage   Stage
}

// CacheUpdate tells that a worker has read a prompt, so that it keeps its parts.
type CacheUpdate struct {
	Worker string
	Parts  []prefixcache.Part
}

// NewRegistry returns an empty registry of a node that sees these zones and regions.
func NewRegistry(places topology.Map) *Registry {
	return &Registry{
		places:       places,
		regional:     places.MultiRegion(),
		seed:         maphash.MakeSeed(),
		workers:      make(map[string]*workerState),
		newestByName: make(map[string]string),
		busy:         make(map[string]*workerState),
		changing:     make(map[string]*workerState),
		gone:         make(map[string]*workerState),
		loadedByNode: make(map[string][]string),
		limited:      make(map[string]*workerState),

		noticeStates:    make(map[string]NoticeState),
		drainingUpdates: make(map[string]time.Time),
		limitUpdates:    make(map[string]time.Time),
		groups:          make(map[groupKey]*latency.Model),
		timings:         make(map[string]*engineTimings),
		demands:         make(map[demandKey]*demand),
		cacheCapacity:   make(map[string]int),
		touched:         make(map[string]bool),
		changed:         make(chan struct{}, 1),

		limitChanged: func(LimitChange) {},
	}
}
