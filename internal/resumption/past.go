package resumption

import (
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
}

// Allows reports whether the streams of a route can have had no other origin than one, given the
// digest of the routes in force. A past that doesn't show that origin is older than it.
func (p Past) Allows(route string, only Origin, routes string) bool {
	return slices.Equal(p.Versions[only.Service], []string{only.Software}) &&
		p.RoutesDigest == routes && !p.AnyMoved && !slices.Contains(p.Moved, route)
}

// maxMoved bounds the routes that are listed as moved, so that a row holds them.
const maxMoved = 500

// PastKeeper gathers a Past. It doesn't read the clock: callers pass the time.
type PastKeeper struct {
	// versions and moved hold when each was observed last, and anyMoved when too many routes were.
	versions map[Origin]time.Time
	moved    map[string]time.Time
	anyMoved time.Time
	// routes is the last digest that was observed.
	routes string
}

// NewPastKeeper returns an empty keeper.
func NewPastKeeper() *PastKeeper {
	return &PastKeeper{versions: make(map[Origin]time.Time), moved: make(map[string]time.Time)}
}

// Observe adds what is seen at a time, or what an earlier keeper has written.
func (k *PastKeeper) Observe(seen Past, now time.Time) {
	for service, versions := range seen.Versions {
		for _, version := range versions {
			k.versions[Origin{service, version}] = now
		}
	}
	for _, route := range seen.Moved {
		k.moved[route] = now
	}
	if seen.AnyMoved {
		k.anyMoved = now
	}
	k.routes = seen.RoutesDigest
}

// Past returns what was observed within Life, and forgets the rest.
func (k *PastKeeper) Past(now time.Time) Past {
	past := Past{RoutesDigest: k.routes}
	byService := make(map[string][]string)
	for origin, at := range k.versions {
		if now.Sub(at) >= Life {
			delete(k.versions, origin)
			continue
		}
		byService[origin.Service] = append(byService[origin.Service], origin.Software)
	}
	for service, versions := range byService {
		if past.Versions == nil {
			past.Versions = make(map[string][]string)
		}
		slices.Sort(versions)
		past.Versions[service] = versions
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
