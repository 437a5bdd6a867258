package resumption

import (
	"cmp"
	"slices"
	"time"
)

// Past is what streams may have begun at lately although nothing shows it any more. It lies in the
// store, for nodes that haven't followed workers and routes for long enough themselves.
type Past struct {
	// Versions are the software versions that the workers of a service have had within Life, in
	// order.
	Versions map[string][]string `json:"versions,omitempty"`
	// RoutesDigest stands for the services that the routes lead to. Where it isn't that of the
	// routes in force, routes have moved since the past was written.
	RoutesDigest string `json:"routes,omitempty"`
	// Moved are the routes that have led elsewhere within Life, in order. If there are too many to
	// be listed, AnyMoved is set instead.
	Moved    []string `json:"moved,omitempty"`
	AnyMoved bool     `json:"any_moved,omitempty"`
	// Complete tells that every stream which began since SinceMillis, a time of the store's clock or zero
	// for ever, is shown, as long as the store's history has the number Era. Streams begin only where the past shows
	// them; a restore of the store takes that back, and so does a write of an earlier build, which knows
	// none of these fields.
	Complete    bool   `json:"complete,omitempty"`
	SinceMillis int64  `json:"since_ms,omitempty"`
	Era         uint64 `json:"era,omitempty"`
	// Added is when a version was added, and RoutesAdded when the routes were, in Unix milliseconds by
	// the clock of the node that wrote them.
	Added       map[string]map[string]int64 `json:"added,omitempty"`
	RoutesAdded int64                       `json:"routes_added,omitempty"`
}

// ReadPast is the past as the store held it at a time of its clock, in a history with the number Era.
type ReadPast struct {
	Past
	NowMillis  int64
	CurrentEra uint64
}

// Covers reports whether the past shows every stream that began within a time.
func (p ReadPast) Covers(age time.Duration) bool {
	return p.Complete && p.Era == p.CurrentEra && (p.SinceMillis == 0 || p.SinceMillis <= p.NowMillis-age.Milliseconds())
}

// soleOrigin returns the only origin that the streams of a route can have had which leads to a service,
// false if they can have had several.
func (p Past) soleOrigin(route, service string) (Origin, bool) {
	versions := p.Versions[service]
	if len(versions) != 1 || p.AnyMoved || slices.Contains(p.Moved, route) {
		return Origin{}, false
	}
	return Origin{Service: service, Software: versions[0]}, true
}

// maxMoved bounds the routes that are listed as moved, so that a row holds them.
const maxMoved = 500

// PastKeeper gathers a Past. It doesn't read the clock: callers pass the time.
type PastKeeper struct {
	// versions and moved hold when each was observed last, and anyMoved when too many routes were.
	versions map[Origin]time.Time
	moved    map[string]time.Time
	anyMoved time.Time
	// added holds when each version was added.
	added map[Origin]int64
	// routes is the last digest that was observed, and routesAdded when.
	routes      string
	routesAdded int64
}

// NewPastKeeper returns an empty keeper.
func NewPastKeeper() *PastKeeper {
	return &PastKeeper{versions: make(map[Origin]time.Time), moved: make(map[string]time.Time), added: make(map[Origin]int64)}
}

// Observe adds what is seen at a time, or what an earlier keeper has written.
func (k *PastKeeper) Observe(seen Past, now time.Time) {
	for service, versions := range seen.Versions {
		for _, version := range versions {
			k.observeVersion(Origin{service, version}, seen.Added[service][version], now)
		}
	}
	for _, route := range seen.Moved {
		k.moved[route] = now
	}
	if seen.AnyMoved {
		k.anyMoved = now
	}
	if seen.RoutesDigest != k.routes || k.routesAdded == 0 {
		k.routes, k.routesAdded = seen.RoutesDigest, cmp.Or(seen.RoutesAdded, now.UnixMilli())
	}
}

// observeVersion adds a version that was added earlier, or now if that is zero.
func (k *PastKeeper) observeVersion(origin Origin, added int64, now time.Time) {
	k.versions[origin] = now
	if known, exists := k.added[origin]; !exists || added != 0 && added < known {
		k.added[origin] = cmp.Or(added, now.UnixMilli())
	}
}

// Past returns what was observed within Life, and forgets the rest.
func (k *PastKeeper) Past(now time.Time) Past {
	past := Past{RoutesDigest: k.routes, RoutesAdded: k.routesAdded}
	byService := make(map[string][]string)
	for origin, at := range k.versions {
		if now.Sub(at) >= Life {
			delete(k.versions, origin)
			delete(k.added, origin)
			continue
		}
		byService[origin.Service] = append(byService[origin.Service], origin.Software)
	}
	for service, versions := range byService {
		if past.Versions == nil {
			past.Versions, past.Added = make(map[string][]string), make(map[string]map[string]int64)
		}
		slices.Sort(versions)
		past.Versions[service], past.Added[service] = versions, make(map[string]int64)
		for _, version := range versions {
			past.Added[service][version] = k.added[Origin{service, version}]
		}
	}
	for route, at := range k.moved {
		if now.Sub(at) >= Life {
			delete(k.moved, route)
			continue
		}
		past.Moved = append(past.Moved, route)
	}
	slices.Sort(past.Moved)
	if len(past.Moved) > maxMoved || !k.anyMoved.IsZero() && now.Sub(k.anyMoved) < Life {
		past.Moved, past.AnyMoved = nil, true
	}
	return past
}
