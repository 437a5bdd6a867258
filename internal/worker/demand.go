package worker

import (
	"math"
	"time"
)

// The figures of demand.
const (
	// demandOver is the time over which demand is averaged.
	demandOver = time.Second
	// demandLife is how long what another node told of its demand counts: three times
	// as long as two messages at rest are apart.
	demandLife = 1500 * time.Millisecond
)

// Demand is what the callers of a service want of its engines, whether it can be done
// or not.
type Demand struct {
	// ReadTokens are the tokens of prompts to be read in a second.
	ReadTokens float64
	// Requests and MemoryTokens are those that run at decode engines, and those that
	// would run there had they not been refused.
	Requests, MemoryTokens float64
}

func (d Demand) plus(other Demand) Demand {
	d.ReadTokens += other.ReadTokens
	d.Requests += other.Requests
	d.MemoryTokens += other.MemoryTokens
	return d
}

// Zero reports whether nothing is wanted.
func (d Demand) Zero() bool { return d == Demand{} }

// demand is what callers want of a service, at this node and at others.
type demand struct {
	read rate
	// refused and refusedMemory are the requests, and their tokens of memory, that would
	// run at a time had they not been refused.
	refused, refusedMemory rate
	remote                 map[string]remoteDemand
}

type remoteDemand struct {
	demand Demand
	at     time.Time
}

// rate is a moving mean of events in a second.
type rate struct {
	perSecond float64
	updated   time.Time
}

func (r *rate) value(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-float64(now.Sub(r.updated))/float64(demandOver))
}

func (r *rate) add(now time.Time, count float64) {
	r.perSecond = r.value(now) + count/demandOver.Seconds()
	r.updated = now
}

// ObserveDemand records tokens of a prompt that a caller of a service wants to be
// read, whether that can be done or not.
func (r *Registry) ObserveDemand(service string, tokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demandOf(service).read.add(now, float64(tokens))
}

// ObserveRefused records a request that was refused, by the tokens of memory that it
// would have held and the tokens of output that its caller expects.
func (r *Registry) ObserveRefused(service string, memoryTokens, outputTokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// By Little's law as many run at a time as come in the time that one runs.
	seconds := r.stepsOf(service).writing.Value() * float64(outputTokens) / millisecondsPerSecond
	known := r.demandOf(service)
	known.refused.add(now, seconds)
	known.refusedMemory.add(now, seconds*float64(memoryTokens))
}

const millisecondsPerSecond = 1000

// Demand returns what callers of a service want, at all nodes.
func (r *Registry) Demand(service string, now time.Time) Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.demandOf(service)
	sum := r.demandHere(service, known, now)
	for node, remote := range known.remote {
		if now.Sub(remote.at) > demandLife {
			delete(known.remote, node)
			continue
		}
		sum = sum.plus(remote.demand)
	}
	return sum
}

func (r *Registry) demandOf(service string) *demand {
	known, exists := r.demands[service]
	if !exists {
		known = &demand{remote: make(map[string]remoteDemand)}
		r.demands[service] = known
	}
	return known
}

// demandHere returns what this node's callers want.
func (r *Registry) demandHere(service string, known *demand, now time.Time) Demand {
	here := Demand{
		ReadTokens: known.read.value(now), Requests: known.refused.value(now), MemoryTokens: known.refusedMemory.value(now),
	}
	for _, other := range r.workers {
		if other.worker.Service == service && other.worker.Stage == Decode {
			here.Requests += float64(other.load.Requests)
			here.MemoryTokens += float64(other.load.MemoryTokens)
		}
	}
	return here
}

// ownDemand returns the demand at this node by service.
func (r *Registry) ownDemand(now time.Time) map[string]Demand {
	var own map[string]Demand
	for service, known := range r.demands {
		if here := r.demandHere(service, known, now); !here.Zero() {
			if own == nil {
				own = make(map[string]Demand)
			}
			own[service] = here
		}
	}
	return own
}

// mergeDemand takes over what another node told of its demand.
func (r *Registry) mergeDemand(node string, told map[string]Demand, now time.Time) {
	for service, demand := range told {
		r.demandOf(service).remote[node] = remoteDemand{demand: demand, at: now}
	}
}
