package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/rendezvous"
	"github.com/tinarch/tinarch/internal/settings"
)

// The figures of a storm of configurations.
const (
	shortestCalm = 300 * time.Millisecond
	longestCalm  = 2800 * time.Millisecond
	// keptRoutes is how many versions a route lasts that a version adds.
	keptRoutes = 6
	// idleRoutes fill a configuration that fits in no datagram.
	idleRoutes = 300
	// stormProbeEvery is how often each node is asked.
	stormProbeEvery = 200 * time.Millisecond
	// promptly is the time within which each node that another one reaches is to have a
	// version.
	promptly = time.Second
	// The store turns a share of the nodes away for a time.
	shortestDenial = 3 * time.Second
	longestDenial  = 9 * time.Second
	deniedShare    = 3 // one of so many
)

// storm follows from outside which of many versions each node has in force. It is safe for
// concurrent use.
type storm struct {
	mu sync.Mutex
	// accepted is when the store took each version.
	accepted []time.Time
	seen     []sighting
}

// sighting is what a node answered to a request for the route that a version added.
type sighting struct {
	node    string
	version int
	// dropped tells that it was for a route that version dropped.
	dropped bool
	sent    time.Time
	status  int
	stale   bool
}

func (s *storm) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

func (s *storm) accept(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, at)
}

func (s *storm) observe(got sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, got)
}

// late tells that a node answered by an older version than the one that was asked for, or
// that it doesn't know.
func (got sighting) late() bool {
	if got.dropped {
		return got.status == http.StatusOK
	}
	return got.status == http.StatusNotFound || got.stale
}

// stormReport is how soon versions were in force.
type stormReport struct {
	// Versions counts configurations, Sightings the answers that tell of one.
	Versions  int `json:"versions"`
	Sightings int `json:"sightings"`
	// Late counts the nodes that lacked a version for longer than promptly, each time, and
	// WorstMillis is the longest time after which one lacked it.
	Late        int   `json:"late"`
	WorstMillis int64 `json:"worst_ms"`
}

// report judges all sightings: the bound holds for each node that ran undisturbed, also while
// the store turns it away.
func (s *storm) report(harmed func(node string, at time.Time) bool) (stormReport, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := stormReport{Versions: len(s.accepted), Sightings: len(s.seen)}
	type lack struct {
		node    string
		version int
	}
	worst := make(map[lack]time.Duration)
	for _, got := range s.seen {
		age := got.sent.Sub(s.accepted[got.version-1])
		if got.late() && !harmed(got.node, got.sent) {
			key := lack{got.node, got.version}
			worst[key] = max(worst[key], age)
		}
	}
	var broken []string
	for key, age := range worst {
		report.WorstMillis = max(report.WorstMillis, age.Milliseconds())
		if age > promptly {
			report.Late++
		}
		if age > applyBound {
			broken = append(broken, fmt.Sprintf("%s lacked configuration %d of a storm %v after it was accepted", key.node, key.version, age.Round(time.Millisecond)))
		}
	}
	return report, broken
}

// stormRoute is the class of the requests for the route that a version added.
func stormRoute(version int) class {
	return class{name: fmt.Sprintf("storm-%d", version), prefix: fmt.Sprintf("/storm-%d/", version), routeKind: "idempotent", service: plain}
}

// stormRoutes are the routes of a version of a storm: those that the last versions added, and
// in a large configuration others with names that can't be compressed.
func (s *site) stormRoutes(version int) []class {
	if !s.options.Storms {
		return nil
	}
	var routes []class
	for added := max(1, version-keptRoutes+1); added <= version; added++ {
		routes = append(routes, stormRoute(added))
	}
	if s.options.Seed%2 == 0 {
		return routes
	}
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(version)))
	for range idleRoutes {
		name := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
		routes = append(routes, class{name: "idle-" + name, prefix: "/" + name + "/", routeKind: "idempotent", service: plain})
	}
	return routes
}

// runStorm puts configurations in quick succession, and has the store turn nodes away, until
// ctx ends.
func (s *site) runStorm(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { s.changeOften(ctx) })
	parts.Go(func() { s.denyOften(ctx) })
	parts.Wait()
}

func (s *site) changeOften(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 71))
	for ctx.Err() == nil {
		s.changeOnce()
		sleep(ctx, shortestCalm+time.Duration(random.Int64N(int64(longestCalm-shortestCalm))))
	}
}

// changeOnce puts the next configuration of the storm.
func (s *site) changeOnce() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.store.Put("op", "config", s.configuration(s.watch.routes(), s.storm.newest()+1))
	s.storm.accept(time.Now())
}

// denyOften has the store turn a share of the nodes away again and again: every other time
// with the one that is ranked first to read the configuration. Now and then it has forgotten
// its history when it serves them again.
func (s *site) denyOften(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 72))
	for count := 0; ctx.Err() == nil; count++ {
		length := shortestDenial + time.Duration(random.Int64N(int64(longestDenial-shortestDenial)))
		mode := []Mode{Reset, Silent, OneWay}[random.IntN(3)]
		denied := random.Perm(len(s.nodes))[:max(1, len(s.nodes)/deniedShare)]
		if first := s.firstReader(); count%2 == 0 && !slices.Contains(denied, first) {
			denied[0] = first
		}
		for _, number := range denied {
			s.toStore[number].SetMode(mode)
		}
		sleep(ctx, length)
		if random.IntN(2) == 0 {
			s.store.Compact()
		}
		for _, number := range denied {
			s.toStore[number].SetMode(Pass)
		}
		_, _ = fmt.Fprintf(s.options.Out, "%7.2f s  the ways of %d nodes to the store were %s for %v, first %s\n",
			time.Since(s.started).Seconds(), len(denied), mode, length.Round(time.Millisecond), s.nodes[denied[0]].Name)
		sleep(ctx, time.Duration(random.Int64N(int64(shortestDenial))))
	}
}

// startStale has a node start again, every other time the one that is ranked first to read the
// configuration, while the store answers reads as of seconds ago.
func (s *site) startStale(ctx context.Context, length time.Duration) string {
	before := s.store.Version()
	sleep(ctx, length)
	number := s.random.IntN(len(s.nodes))
	if s.random.IntN(2) == 0 {
		number = s.firstReader()
	}
	node, begun := s.nodes[number], time.Now()
	s.store.SetFaults(fleetstore.Faults{StaleReads: before})
	node.Kill()
	_ = node.Start()
	sleep(ctx, length)
	s.store.SetFaults(fleetstore.Faults{})
	s.limits.harm(node.Name, begun, begun)
	return fmt.Sprintf("%s was killed and started while reads were as of version %d, %v ago", node.Name, before, length.Round(time.Millisecond))
}

// firstReader is the node that is ranked first to read the configuration for all.
func (s *site) firstReader() int {
	numbers := make([]int, len(s.nodes))
	for i := range numbers {
		numbers[i] = i
	}
	hash := func(number int) uint64 {
		return rendezvous.Hash(s.nodes[number].Settings.(settings.Routed).Listen.Exchange)
	}
	return rendezvous.Top(numbers, hash, rendezvous.Hash("table op"), 1)[0]
}

// watchStorm asks each node again and again for the newest route, or for the one that the
// newest version dropped, until ctx ends.
func (l *load) watchStorm(ctx context.Context) {
	var nodes sync.WaitGroup
	for number := range l.site.nodes {
		nodes.Go(func() { l.watchNode(ctx, number) })
	}
	nodes.Wait()
}

func (l *load) watchNode(ctx context.Context, number int) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, stormProbeEvery)
		version := l.site.storm.newest()
		if dropped := count%2 == 1; dropped {
			l.sight(transport, number, count*keptRoutes, version, dropped)
			continue
		}
		// Where a node lacks the newest version, which others does it lack?
		for older := range keptRoutes {
			if !l.sight(transport, number, count*keptRoutes+older, version-older, false) {
				break // it has this one, or doesn't tell which it has
			}
		}
	}
}

// sight asks a node once, and reports whether it answered by an older version.
func (l *load) sight(transport *http.Transport, number, count, version int, dropped bool) (older bool) {
	kind := stormRoute(version)
	if dropped {
		kind = stormRoute(version - keptRoutes)
	}
	if version < 1 || dropped && version <= keptRoutes {
		return false
	}
	node, starts := l.site.nodes[number], l.site.nodes[number].Starts()
	id := fmt.Sprintf("eeee%04x%08x", number, count)
	got := l.send(transport, l.site.callers[number], seen{id: id, class: kind, sent: time.Now(), probe: true, tenant: tenantOf(0), key: keyOf(0), patience: clientTimeout}, "")
	l.mu.Lock()
	l.seen = append(l.seen, got)
	l.mu.Unlock()
	if node.Starts() != starts || got.err != nil {
		return false
	}
	sighted := sighting{
		node: node.Name, version: version, dropped: dropped, sent: got.sent, status: got.status,
		stale: got.status == http.StatusServiceUnavailable && strings.Contains(got.body, staleCode),
	}
	l.site.storm.observe(sighted)
	return sighted.late() && !sighted.stale
}

// staleCode is in the answer of a node that doesn't know whether its configuration is the
// newest.
const staleCode = "2009"
