package worker

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = time.Second
)

// Demand is the load that callers offer to the engines of a service, whether it is served or
// refused.
type Demand struct {
	// ReadTokens is the number of prompt tokens to be read per second.
	ReadTokens float64
	// Requests and MemoryTokens are the requests that run at decode engines, and their KV
	// cache, including those that were refused and would run there otherwise.
	Requests, MemoryTokens float64
	// SharedTokens is the number of asked prompt tokens per second that prompts share with
	// others, and SharedUnread how many of them have to be read. They are zero where they
	// aren't followed (FollowShared).
	SharedTokens, SharedUnread float64
}

func (d Demand) plus(other Demand) Demand {
	d.ReadTokens += other.ReadTokens
	d.Requests += other.Requests
	d.MemoryTokens += other.MemoryTokens
	d.SharedTokens += other.SharedTokens
	d.SharedUnread += other.SharedUnread
	return d
}

// Zero reports whether there is no demand.
func (d Demand) Zero() bool { return d == Demand{} }

// demandKey names the engines that demand is for. The region is empty if the deployment has
// only one.
type demandKey struct{ service, region string }

// demand is the demand for a service in a region, at this node and at others.
type demand struct {
	read movingRate
	// refused and refusedMemory are the average number of requests, and of their KV cache
	// tokens, that would be running if they hadn't been refused.
	refused, refusedMemory movingRate
	// shared and sharedUnread are what ObserveShared records.
	shared, sharedUnread movingRate
	remote               map[string]remoteDemand
}

// remoteDemand is the demand at another node, and until when it counts.
type remoteDemand struct {
	demand Demand
	until  time.Time
}

// movingRate is an exponentially weighted moving average of events per second.
type movingRate struct {
	perSecond float64
	updated   time.Time
}

func (r *movingRate) value(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-float64(now.Sub(r.updated))/float64(demandWindow))
}

func (r *movingRate) add(now time.Time, count float64) {
	r.perSecond = r.value(now) + count/demandWindow.Seconds()
	r.updated = now
}

// ObserveDemand records prompt tokens that a caller of a service needs to have read in a
// region, whether or not they can be. An empty region is the node's own.
func (r *Registry) ObserveDemand(service, region string, tokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demandOf(r.demandKey(service, region)).read.add(now, float64(tokens))
}

// ObserveRefused records a refused request that would have run in a region, with the KV cache
// tokens that it would have needed and the output tokens that its caller expects. An empty
// region is the node's own.
func (r *Registry) ObserveRefused(service, region string, memoryTokens, outputTokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// By Little's law, the number of running requests is their arrival rate times the time that
	// one runs.
	seconds := r.timingsOf(service).writing.Value() * float64(outputTokens) / millisecondsPerSecond
	known := r.demandOf(r.demandKey(service, region))
	known.refused.add(now, seconds)
	known.refusedMemory.add(now, seconds*float64(memoryTokens))
}

const millisecondsPerSecond = 1000

// Demands returns the demand for a service at all nodes, by the region of the engines.
func (r *Registry) Demands(service string, now time.Time) map[string]Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := make(map[string]Demand)
	for key, here := range r.localDemands(now) {
		if key.service == service {
			demands[key.region] = here
		}
	}
	for key, known := range r.demands {
		if key.service == service {
			demands[key.region] = demands[key.region].plus(known.remoteTotal(now))
		}
	}
	return demands
}

// remoteTotal returns the sum of the demand that other nodes have sent lately.
func (d *demand) remoteTotal(now time.Time) Demand {
	var sum Demand
	for node, remote := range d.remote {
		if now.After(remote.until) {
			delete(d.remote, node)
			continue
		}
		sum = sum.plus(remote.demand)
	}
	return sum
}

// RegionOfZone returns the region of a zone, empty if the deployment has only one region.
func (r *Registry) RegionOfZone(zone string) string {
	if !r.regional {
		return ""
	}
	return r.places.Region(zone)
}

func (r *Registry) demandKey(service, region string) demandKey {
	switch {
	case !r.regional:
		region = ""
	case region == "":
		region = r.places.OwnRegion()
	}
	return demandKey{service, region}
}

func (r *Registry) demandOf(key demandKey) *demand {
	known, exists := r.demands[key]
	if !exists {
		known = &demand{remote: make(map[string]remoteDemand)}
		r.demands[key] = known
	}
	return known
}

// localDemands returns the demand at this node.
func (r *Registry) localDemands(now time.Time) map[demandKey]Demand {
	here := make(map[demandKey]Demand, len(r.demands))
	for key, known := range r.demands {
		local := Demand{
			ReadTokens: known.read.value(now), Requests: known.refused.value(now), MemoryTokens: known.refusedMemory.value(now),
		}
		r.addShared(&local, key.service, known, now)
		here[key] = local
	}
	for _, other := range r.busy {
		if other.worker.Stage != Decode {
			continue
		}
		key := demandKey{other.worker.Service, r.RegionOfZone(other.worker.Zone)}
		running := Demand{Requests: float64(other.load.Requests), MemoryTokens: float64(other.load.MemoryTokens)}
		here[key] = here[key].plus(running)
	}
	return here
}

// localDemandByService returns the demand at this node by service or, if the deployment has
// several regions, by region and service.
func (r *Registry) localDemandByService(now time.Time) (own map[string]Demand, regional map[string]map[string]Demand) {
	byRegion := make(map[string]map[string]Demand)
	for key, here := range r.localDemands(now) {
		if here.Zero() {
			continue
		}
		if byRegion[key.region] == nil {
			byRegion[key.region] = make(map[string]Demand)
		}
		byRegion[key.region][key.service] = here
	}
	if r.regional {
		return nil, byRegion
	}
	return byRegion[""], nil
}

// mergeDemand records the demand at another node.
func (r *Registry) mergeDemand(node string, snapshot Snapshot, now time.Time) {
	until := now.Add(snapshot.DemandLife)
	for service, demand := range snapshot.Demand {
		r.demandOf(demandKey{service: service}).remote[node] = remoteDemand{demand, until}
	}
	for region, byService := range snapshot.RegionDemand {
		for service, demand := range byService {
			r.demandOf(demandKey{service, region}).remote[node] = remoteDemand{demand, until}
		}
	}
}
