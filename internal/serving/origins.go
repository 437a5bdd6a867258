package serving

import (
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/worker"
)

// routeHistory remembers since when each route has led to one service alone. It is safe for
// concurrent use.
type routeHistory struct {
	mu sync.Mutex
	// soles are the routes that lead to one service, by name.
	soles map[string]soleService
}

type soleService struct {
	service string
	since   time.Time
}

// update records the routes that are in force from now on.
func (h *routeHistory) update(table *routing.Table, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	soles := make(map[string]soleService)
	for _, route := range table.Routes() {
		service, sole := soleServiceOf(route)
		if !sole {
			continue
		}
		known, exists := h.soles[route.Name]
		if !exists || known.service != service {
			known = soleService{service: service, since: now}
		}
		soles[route.Name] = known
	}
	h.soles = soles
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

func (h *routeHistory) of(route string) (soleService, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sole, exists := h.soles[route]
	return sole, exists
}

// originHistory is what a node has followed of routes and workers, as an resumption.History.
type originHistory struct{ node *Node }

// SoleOrigin implements resumption.History.
func (h originHistory) SoleOrigin(route string) (resumption.Sole, bool) {
	led, sole := h.node.routes.of(route)
	if !sole {
		return resumption.Sole{}, false
	}
	workers, _ := h.node.workersFeed.Confirmation()
	configuration, _ := h.node.configurationFeed.Confirmation()
	software, since, sole := h.node.registry.SoleSoftware(led.service)
	if !sole {
		return resumption.Sole{}, false
	}
	if led.since.After(since) {
		since = led.since
	}
	confirmed := workers.At
	if configuration.At.Before(confirmed) {
		confirmed = configuration.At
	}
	return resumption.Sole{Origin: resumption.Origin{Service: led.service, Software: software}, Since: since, Confirmed: confirmed}, true
}

// streamBegun remembers a stream, and queues it for the other nodes.
func (n *Node) streamBegun(stream worker.Stream) {
	n.origins.Put(stream.Key, stream.Origin, time.Now())
	n.registry.ObserveStream(stream)
}
