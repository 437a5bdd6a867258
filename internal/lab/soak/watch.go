package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Intervals and bounds of the watch.
const (
	probeInterval = 120 * time.Millisecond
	// applyBound is the time within which an accepted configuration is in force, and after
	// which a draining worker gets no more requests.
	applyBound = 2 * time.Second
	// probeMargin is the allowance for the round trip of a probe.
	probeMargin = 500 * time.Millisecond
)

// probeClass is the class of the requests that only test which configuration is in force.
var probeClass = class{name: "probe", prefix: "/added-", routeKind: "idempotent", service: plain}

// watch tracks which configuration each node has in force. Each new one adds a route and keeps
// those before. It is safe for concurrent use.
type watch struct {
	mu sync.Mutex
	// accepted is when the store accepted each version that added a route.
	accepted []time.Time
	// served is the newest added route that each node's current incarnation has served.
	served map[string]incarnation
	// leaving is when each worker began to drain; they drain until the run ends.
	leaving map[string]time.Time
	found   []string
}

type incarnation struct{ starts, newest int }

func newWatch() *watch {
	return &watch{served: make(map[string]incarnation), leaving: make(map[string]time.Time)}
}

// recordAccepted records that the store accepted a configuration with one more route.
func (w *watch) recordAccepted(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, at)
}

// routes returns the number of routes added so far.
func (w *watch) routes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.accepted)
}

// recordDrain records that a worker drains from now on.
func (w *watch) recordDrain(worker string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[worker] = at
}

// checkProbe checks the answer of a node to a probe for a route. starts is the number of the
// node's incarnation, the same before and after the probe. calm tells that no fault has been
// injected for a while.
func (w *watch) checkProbe(node string, starts, route, status int, sent time.Time, calm bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.served[node]
	if known.starts != starts {
		known = incarnation{starts: starts}
	}
	switch {
	case status == http.StatusOK:
		known.newest = max(known.newest, route)
	case status == http.StatusNotFound && route <= known.newest:
		w.found = append(w.found, fmt.Sprintf("%s went back: it served route %d and has no route %d", node, known.newest, route))
	case status == http.StatusNotFound && calm && sent.Sub(w.accepted[route-1]) > applyBound+probeMargin:
		w.found = append(w.found, fmt.Sprintf("%s has no route %d, %v after it was accepted", node, route, sent.Sub(w.accepted[route-1]).Round(time.Millisecond)))
	}
	w.served[node] = known
}

// checkRun checks a request that a worker began to run.
func (w *watch) checkRun(worker string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if since, leaves := w.leaving[worker]; leaves && at.Sub(since) > applyBound+probeMargin {
		w.found = append(w.found, fmt.Sprintf("%s got a request %v after it began to drain", worker, at.Sub(since).Round(time.Millisecond)))
	}
}

// violations returns the violations found.
func (w *watch) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.found
}

// configure writes a configuration with one more route.
func (s *site) configure(_ context.Context, _ time.Duration) string {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	added := s.watch.routes() + 1
	s.store.Put("op", "config", s.configuration(added, s.storm.newest()))
	s.watch.recordAccepted(time.Now())
	return fmt.Sprintf("wrote a configuration with %d added routes", added)
}

// lastChange makes the last changes of a run, after all faults: it adds a route and drains a
// worker for good.
func (s *site) lastChange() {
	s.configure(context.Background(), 0)
	running := s.runningWorkers()
	leaving := running[len(running)-1]
	s.list(leaving, "draining")
	s.watch.recordDrain(leaving.ID(), time.Now())
}

// probe probes the nodes in turn for added routes until ctx is done.
func (l *load) probe(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	random := rand.New(rand.NewPCG(l.site.options.Seed, callerCount+1))
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, probeInterval)
		if routes := l.site.watch.routes(); routes > 0 {
			l.probeOne(transport, count, 1+random.IntN(routes))
		}
	}
}

func (l *load) probeOne(transport *http.Transport, count, route int) {
	number := count % len(l.site.nodes)
	node := l.site.nodes[number]
	starts := node.Starts()
	kind := probeClass
	kind.prefix = fmt.Sprintf("%s%d/", probeClass.prefix, route)
	got := l.send(transport, l.site.callers[number], observation{id: fmt.Sprintf("ffff%012x", count), class: kind, sent: time.Now(), probe: true, tenant: tenantOf(0), key: keyOf(0), timeout: clientTimeout}, "")
	l.mu.Lock()
	l.observations = append(l.observations, got)
	calm := !l.quietSince.IsZero() && got.sent.Sub(l.quietSince) > quietPeriod/2
	l.mu.Unlock()
	if node.Starts() == starts && got.err == nil {
		l.site.watch.checkProbe(node.Name, starts, route, got.status, got.sent, calm)
	}
}
