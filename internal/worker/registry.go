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

// workerState is everything known about one incarnation of a worker.
type workerState struct {
	worker Worker
	// goneAt is when the worker's entry disappeared from the list, zero while it is listed.
	goneAt time.Time
	load   Load
	// doubtedUntil is set if the entry had disappeared and was listed again when the store was
	// restored from a backup. Until then the worker counts as gone although it is listed.
	doubtedUntil time.Time
	// drainingSince is when the entry began to say that the worker drains, zero if it doesn't or
	// if that isn't known.
	drainingSince time.Time
	// changingUntil is until when the worker gets no requests because it was ordered to change
	// to changingStage. It ends earlier once the entry shows that stage.
	changingUntil time.Time
	changingStage Stage
	// remote is the load that other nodes have placed on the worker, by node.
	remote map[string]remoteLoad
	cache  *prefixcache.Cache
	// cacheKnown is set if the cache also holds what the worker had cached before this node
	// started.
	cacheKnown bool
	// slowdown is the factor by which the engine reads prompts more slowly than its group.
	slowdown latency.Slowdown
	// sortKey orders the workers and is different at each node; hash is the hash of the
	// worker's id and the same at all nodes.
	sortKey, hash uint64
	breaker       breaker.Breaker
	// unreachedUntil is set where this node didn't reach the worker and no other node has
	// confirmed that; it isn't told to other nodes. suspicion is what other nodes have told of
	// failures; it ends once the worker has answered this node.
	unreachedUntil time.Time
	suspicion      suspicion
	// handleBreaker counts failed transfers of KV caches of prompts that were read apart
	// (disaggregated prefill): from this worker if it read the prompt, to this worker if it
	// generates the output.
	handleBreaker breaker.Breaker
	reported      reportedLoad
	// host estimates by which factor work takes longer on the worker's host.
	host latency.Host
	// hostTold is the statement about the host that was last told to other nodes, or by them.
	hostTold HostStatement
	// hostAskedAt is when the worker was last asked about its host, and hostSilences how many
	// questions in a row it left without a statement.
	hostAskedAt  time.Time
	hostSilences int
	prefills     prefillsOfWorker
	// recovery limits the requests under way at a worker after a pause that it asked for.
	recovery recovery
	// limit is the request rate that the worker last stated, limitVersion counts changes of it,
	// and turnAt is when the worker accepts its next request under that limit.
	limit        LimitStatement
	limitVersion uint64
	turnAt       time.Time
}

type remoteLoad struct {
	load Load
	at   time.Time
}

// reportedLoad is the load that a worker reported in its last answer.
type reportedLoad struct {
	running, waiting int
	at               time.Time
}

const (
	// remoteLoadTTL is how long the load of a node counts after its last message.
	remoteLoadTTL = time.Second
	// lastResortFor is how long a worker may still get requests, if no other can take them,
	// after its entry disappeared or it announced that it drains. A worker that leaves must get
	// nothing soon after.
	lastResortFor = 1200 * time.Millisecond
	// continueFor is how long a worker may still get requests that continue streams after its entry
	// said that it drains: few others may run them. A worker that drains must get nothing soon
	// after, counted from the store's acknowledgement, which this node learns up to a second late.
	continueFor = 600 * time.Millisecond
	// forgetAfter is how long the state of a worker is kept after its entry disappeared.
	forgetAfter = 10 * time.Second
	// reportedLoadTTL is how long the load counts that a worker has reported itself.
	reportedLoadTTL = 300 * time.Millisecond
	// defaultCacheTokens is the assumed KV cache size of an engine for which none is
	// configured.
	defaultCacheTokens = 200_000
)

// Registry holds the state of all workers that a node knows. It is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// places maps zones to regions and tells their distance from this node.
	places topology.Map
	// regional is set if the deployment spans several regions.
	regional bool
	// seed makes the sort keys of workers differ between processes.
	seed    maphash.Seed
	workers map[string]*workerState
	// newestByName holds the id of each worker's newest incarnation, by the worker's name.
	// ended holds the ids of incarnations that were replaced by a newer one or whose entry
	// became unreadable, until TakeEnded returns them.
	newestByName map[string]string
	ended        []string
	// busy holds the workers with load of this node, changing those that were ordered to change
	// their stage, gone those whose entry disappeared, and loadedByNode the ids of those with
	// load of another node, by node. These indexes are small, so that handling a message
	// doesn't go through all workers: merging a message of another node took 0.9 ms in a fleet
	// of 10,000 workers without them and takes 1 µs with them (BenchmarkMerge).
	busy, changing, gone map[string]*workerState
	loadedByNode         map[string][]string
	// prefilling and prefillingByNode do the same for prefills under way.
	prefilling       map[string]*workerState
	prefillingByNode map[string][]string
	// limited holds the workers that state a rate limit; limitChanged is called for each
	// change.
	limited      map[string]*workerState
	limitChanged func(LimitChange)
	// streams are those that were not yet sent to other nodes.
	streams []Stream
	// software remembers the software versions of workers that are no longer listed.
	software softwareHistory
	// noticeStates holds what workers have announced in answers, by incarnation id.
	noticeStates map[string]NoticeState
	// drainingUpdates holds the workers whose draining is sent to other nodes, and until when.
	drainingUpdates map[string]time.Time
	// limitUpdates holds the workers whose limit is sent to other nodes, and until when.
	limitUpdates map[string]time.Time
	// generation increases whenever a worker is added or forgotten.
	generation uint64
	// groups holds the learned prefill time of the engines of each service and stage.
	groups map[groupKey]*latency.Model
	// timings holds the other learned times of the engines, by service.
	timings map[string]*engineTimings
	// cacheCapacity is the KV cache size of one engine in tokens, by service.
	cacheCapacity map[string]int
	// uneven holds the services whose workers state the slowdown of their hosts.
	uneven map[string]*unevenService
	// hostUpdates holds the statements about hosts since the last snapshot.
	hostUpdates map[string]HostStatement
	// statements counts the statements about hosts.
	statements HostStatementCounts
	// sharedReadings holds measured prefills for other nodes since the last snapshot.
	sharedReadings []WorkerReading
	// demands holds the load that callers offer, whether it is served or not.
	demands map[demandKey]*demand
	// followShared tells whether the tokens that prompts share are followed, given whether the
	// service is uneven.
	followShared func(uneven bool) bool
	// cacheUpdates holds the prompt parts that workers cached since the last snapshot.
	cacheUpdates []CacheUpdate
	// failures holds the workers that failed since the last snapshot.
	failures []string
	// touched holds the workers whose state changed since the last snapshot.
	touched map[string]bool
	// changed holds a token while there are changes to send to other nodes.
	changed chan struct{}
	// listRead is set once a list of workers that isn't empty has been read.
	listRead bool
}

// Changed returns a channel that receives a token when there are changes to send to other
// nodes.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// touch records that there is a change of a worker to send to other nodes.
func (r *Registry) touch(id string) {
	r.touched[id] = true
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// engineTimings holds what was learned of the times of a service's engines, except for the time
// to read prompts.
type engineTimings struct {
	// queue is the share of the prefill time queued ahead of a prompt that the prompt really
	// waits for. It can be below 1 because engines interleave the prefill of several prompts.
	queue latency.NeededShare
	// handover is the time from sending a request whose prompt was read by another engine to
	// the first byte of the answer.
	handover latency.MovingMean
	// unevenHandover is the same time, by the host's slowdown and the length of the prompt, if
	// the service is uneven.
	unevenHandover latency.Handover
	// fetch is the time to fetch cached parts from another engine, without the network
	// transfer.
	fetch latency.MovingMean
	// work is the time to answer an opaque request at a worker with free slots, on a host that is
	// as fast as usual, if the service is uneven.
	work latency.MovingMean
	// run is the time from the first byte of an answer to its end.
	run latency.MovingMean
	// writing is the time of run divided by the number of output tokens that the caller
	// expected, in milliseconds.
	writing latency.MovingRatio
}

type groupKey struct {
	service string
	stage   Stage
}

// CacheUpdate says that a worker has read a prompt and so holds its parts in the KV cache.
type CacheUpdate struct {
	Worker string
	Parts  []prefixcache.Part
}

// NewRegistry returns an empty registry of a node with the given view of zones and regions.
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

		prefilling:       make(map[string]*workerState),
		prefillingByNode: make(map[string][]string),

		software:        make(softwareHistory),
		noticeStates:    make(map[string]NoticeState),
		drainingUpdates: make(map[string]time.Time),
		limitUpdates:    make(map[string]time.Time),
		groups:          make(map[groupKey]*latency.Model),
		timings:         make(map[string]*engineTimings),
		uneven:          make(map[string]*unevenService),
		hostUpdates:     make(map[string]HostStatement),
		demands:         make(map[demandKey]*demand),
		cacheCapacity:   make(map[string]int),
		touched:         make(map[string]bool),
		changed:         make(chan struct{}, 1),

		limitChanged: func(LimitChange) {},
		followShared: func(bool) bool { return false },
	}
}
