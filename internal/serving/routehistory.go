package serving

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/routing"
)

// routeHistory remembers to which service each route leads whose streams may be continued, if that is
// one alone, and which of that is recorded in the store. It is safe for concurrent use.
type routeHistory struct {
	mu sync.Mutex
	// soles are the routes that lead to one service, by name, and first is when the first table was
	// in force.
	soles map[string]soleService
	first time.Time
	// digest stands for the services that these routes lead to.
	digest string
	// stored is the digest that the store holds, and recorded the routes as it held them last, nil if
	// that isn't known.
	stored   string
	recorded map[string]soleService
}

type soleService struct {
	service string
	since   time.Time
}

// update records the routes that are in force from now on.
func (h *routeHistory) update(table *routing.Table, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.soles == nil {
		h.first = now
	}
	soles := make(map[string]soleService)
	for _, route := range table.Routes() {
		service, sole := soleServiceOf(route)
		if !sole || !route.Resumable {
			continue
		}
		known, exists := h.soles[route.Name]
		if !exists || known.service != service {
			known = soleService{service: service, since: now}
		}
		soles[route.Name] = known
	}
	h.soles, h.digest = soles, digestOf(soles)
	h.compare()
}

// recordedAs records the digest of the routes that the store holds.
func (h *routeHistory) recordedAs(digest string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored = digest
	h.compare()
}

// compare takes the routes in force for recorded if the store holds their digest. mu must be held.
func (h *routeHistory) compare() {
	if h.soles != nil && h.stored == h.digest {
		h.recorded = h.soles
	}
}

// forgetRecorded forgets what the store held, when it may have lost that.
func (h *routeHistory) forgetRecorded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored, h.recorded = "", nil
}

// isRecorded reports whether a route led where it leads now when the store last held the routes.
func (h *routeHistory) isRecorded(route string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recorded != nil && h.recorded[route].service == h.soles[route].service
}

// digestOf returns a text that differs for routes that lead to other services.
func digestOf(soles map[string]soleService) string {
	hash := sha256.New()
	for _, route := range slices.Sorted(maps.Keys(soles)) {
		_, _ = fmt.Fprintf(hash, "%q %q\n", route, soles[route].service)
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

const digestBytes = 8

// currentDigest returns the digest of the routes in force.
func (h *routeHistory) currentDigest() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest
}

func soleServiceOf(route *routing.Route) (service string, sole bool) {
	for _, target := range route.Targets {
		if target.Weight == 0 {
			continue
		}
		if sole {
			return "", false
		}
		service, sole = target.Service, true
	}
	return service, sole
}

// movedSince returns the routes that lead to their service since after a time, without those that
// the first table led there.
func (h *routeHistory) movedSince(since time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var moved []string
	for route, sole := range h.soles {
		if sole.since.After(since) && sole.since.After(h.first) {
			moved = append(moved, route)
		}
	}
	return moved
}

// of returns the service that a route leads to, false if there are several.
func (h *routeHistory) of(route string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sole, exists := h.soles[route]
	return sole.service, exists
}
