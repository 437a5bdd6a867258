package waitlist

import "time"

// Bounds of the account of tenants' service.
const (
	// flowLife is how long the service of a tenant counts after it was last served. Callers of
	// a late request stay for a few seconds, so nobody still waits who has seen it.
	flowLife = 10 * time.Second
	// maxFlows bounds the tenants that are told apart. Further ones share the flow of requests
	// without a tenant.
	maxFlows = 1000
)

// flowKey identifies a flow, the requests of one tenant and rank.
type flowKey struct {
	rank   int
	tenant string
}

// flow is the service of a flow. A finish tag is the virtual time, in tokens, at which the
// flow's last request ends if all flows are served evenly.
type flow struct {
	finish   int
	servedAt time.Time
}

// flows divides service evenly among the tenants of a rank by start-time fair queueing (Goyal,
// Vin and Cheng, 1996). The zero value is ready for use.
type flows struct {
	known map[flowKey]*flow
	// virtual is the virtual time of each rank: the start tag of the request served last.
	virtual map[int]int
	// generations change with each change of a start tag, by rank.
	generations [maxRank + 1]int
}

// key returns the flow of a waiter.
func (f *flows) key(w Waiter) flowKey {
	key := flowKey{w.Rank, w.Tenant}
	if f.known[key] == nil && len(f.known) >= maxFlows {
		key.tenant = ""
	}
	return key
}

// start returns the start tag of a flow's next request. The flow with the lowest one is served
// first.
func (f *flows) start(key flowKey) int {
	start := f.virtual[key.rank]
	if known := f.known[key]; known != nil {
		start = max(start, known.finish)
	}
	return start
}

// charge records that a request of a flow is served.
func (f *flows) charge(key flowKey, tokens int, now time.Time) {
	if f.known == nil {
		f.known, f.virtual = make(map[flowKey]*flow), make(map[int]int)
	}
	start := f.start(key)
	f.virtual[key.rank] = start
	f.known[key] = &flow{finish: start + tokens, servedAt: now}
	f.generations[key.rank]++
}

// refund takes a charge back.
func (f *flows) refund(key flowKey, tokens int) {
	if known := f.known[key]; known != nil {
		known.finish -= tokens
		f.generations[key.rank]++
	}
}

// expire forgets the flows that were not served for flowLife.
func (f *flows) expire(now time.Time) {
	for key, known := range f.known {
		if now.Sub(known.servedAt) > flowLife {
			delete(f.known, key)
			f.generations[key.rank]++
		}
	}
}
