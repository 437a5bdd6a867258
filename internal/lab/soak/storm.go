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

// Constants of a storm: many configurations in quick succession.
const (
	minChangePause = 300 * time.Millisecond
	maxChangePause = 2800 * time.Millisecond
	// keptRoutes is for how many versions a route that a version adds is kept.
	keptRoutes = 6
	// idleRoutes makes a configuration too large for one datagram.
	idleRoutes = 300
	// stormProbeInterval is the interval at which each node is probed.
	stormProbeInterval = 200 * time.Millisecond
	// promptBound is the time within which a node should have a version if other nodes can reach
	// it. A later one is counted but isn't a violation.
	promptBound = time.Second
	// The store is unreachable for a share of the nodes, for a time in this range.
	minIsolation  = 3 * time.Second
	maxIsolation  = 9 * time.Second
	isolatedOneIn = 3 // one in this many
)

// storm tracks which configuration version each node has in force. It is safe for concurrent
// use.
type storm struct {
	mu sync.Mutex
	// accepted is when the store accepted each version.
	accepted  []time.Time
	sightings []sighting
}

// sighting is a node's answer to a request for the route that a version added or dropped.
type sighting struct {
	node    string
	version int
	// dropped reports whether the request was for a route that the version dropped.
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

func (s *storm) recordAccepted(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, at)
}

func (s *storm) recordSighting(got sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sightings = append(s.sightings, got)
}

// late reports whether the node answered by an older version than the one probed for, or that
// it doesn't know whether its version is the newest.
func (got sighting) late() bool {
	if got.dropped {
		return got.status == http.StatusOK
	}
	return got.status == http.StatusNotFound || got.stale
}

// stormReport is how soon the versions of a storm were in force.
type stormReport struct {
	// Versions counts the configurations, and Sightings the answers to probes.
	Versions  int `json:"versions"`
	Sightings int `json:"sightings"`
	// Late counts how often a node lacked a version for longer than promptBound. WorstMillis is
	// the longest time after which a node still lacked a version.
	Late        int   `json:"late"`
	WorstMillis int64 `json:"worst_ms"`
}

// report checks all sightings. The bound applies to each node that no fault affected, even
// while the store is unreachable for it.
func (s *storm) report(inFault func(node string, at time.Time) bool) (stormReport, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := stormReport{Versions: len(s.accepted), Sightings: len(s.sightings)}
	type lack struct {
		node    string
		version int
	}
	worst := make(map[lack]time.Duration)
	for _, got := range s.sightings {
		age := got.sent.Sub(s.accepted[got.version-1])
		if got.late() && !inFault(got.node, got.sent) {
			key := lack{got.node, got.version}
			worst[key] = max(worst[key], age)
		}
	}
	var violations []string
	for key, age := range worst {
		report.WorstMillis = max(report.WorstMillis, age.Milliseconds())
		if age > promptBound {
			report.Late++
		}
		if age > applyBound {
			violations = append(violations, fmt.Sprintf("%s lacked configuration %d of the storm %v after the store accepted it", key.node, key.version, age.Round(time.Millisecond)))
		}
	}
	return report, violations
}

// stormRoute returns the class of the requests for the route that a version added.
func stormRoute(version int) class {
	return class{name: fmt.Sprintf("storm-%d", version), prefix: fmt.Sprintf("/storm-%d/", version), routeKind: "idempotent", service: plain}
}

// stormRoutes returns the routes of a version of a storm: those that the last keptRoutes
// versions added and, if the configuration is to be large, others with names that don't
// compress.
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

// runStorm writes configurations in quick succession, and makes the store unreachable for some
// nodes, until ctx is done.
func (s *site) runStorm(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { s.changeRepeatedly(ctx) })
	parts.Go(func() { s.isolateRepeatedly(ctx) })
	parts.Wait()
}

func (s *site) changeRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 71))
	for ctx.Err() == nil {
		s.putNextVersion()
		sleep(ctx, minChangePause+time.Duration(random.Int64N(int64(maxChangePause-minChangePause))))
	}
}

// putNextVersion writes the next configuration of the storm.
func (s *site) putNextVersion() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.store.Put("op", "config", s.configuration(s.watch.routes(), s.storm.newest()+1))
	s.storm.recordAccepted(time.Now())
}

// isolateRepeatedly makes the store unreachable for a share of the nodes, again and again.
// Every other time that includes the node that ranks first for reading the configuration.
// Sometimes the store has dropped its change history when the nodes reach it again.
func (s *site) isolateRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 72))
	for count := 0; ctx.Err() == nil; count++ {
		length := minIsolation + time.Duration(random.Int64N(int64(maxIsolation-minIsolation)))
		mode := []Mode{Reset, Silent, OneWay}[random.IntN(3)]
		denied := random.Perm(len(s.nodes))[:max(1, len(s.nodes)/isolatedOneIn)]
		if first := s.firstReader(); count%2 == 0 && !slices.Contains(denied, first) {
			denied[0] = first
		}
		for _, number := range denied {
			s.storeProxies[number].SetMode(mode)
		}
		sleep(ctx, length)
		if random.IntN(2) == 0 {
			s.store.Compact()
		}
		for _, number := range denied {
			s.storeProxies[number].SetMode(Pass)
		}
		_, _ = fmt.Fprintf(s.options.Out, "%7.2f s  connections of %d nodes to the store were %s for %v, first %s\n",
			time.Since(s.started).Seconds(), len(denied), mode, length.Round(time.Millisecond), s.nodes[denied[0]].Name)
		sleep(ctx, time.Duration(random.Int64N(int64(minIsolation))))
	}
}

// restartWithStaleReads restarts a node, about every other time the one that ranks first for
// reading the configuration, while the store answers reads with a state that is up to seconds
// old.
func (s *site) restartWithStaleReads(ctx context.Context, length time.Duration) string {
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
	s.limits.recordFault(node.Name, begun, begun)
	return fmt.Sprintf("%s was killed and restarted while the store answered reads as of version %d, %v old", node.Name, before, length.Round(time.Millisecond))
}

// firstReader returns the node that ranks first for reading the configuration for all nodes.
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

// watchStorm probes each node again and again, for the newest route or for the one that the
// newest version dropped, until ctx is done.
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
		sleep(ctx, stormProbeInterval)
		version := l.site.storm.newest()
		if dropped := count%2 == 1; dropped {
			l.probeVersion(transport, number, count*keptRoutes, version, dropped)
			continue
		}
		// If a node lacks the newest version, find out which older ones it lacks.
		for older := range keptRoutes {
			if !l.probeVersion(transport, number, count*keptRoutes+older, version-older, false) {
				break // it has this one, or doesn't tell which one it has
			}
		}
	}
}

// probeVersion probes a node once and reports whether it answered by an older version.
func (l *load) probeVersion(transport *http.Transport, number, count, version int, dropped bool) (older bool) {
	kind := stormRoute(version)
	if dropped {
		kind = stormRoute(version - keptRoutes)
	}
	if version < 1 || dropped && version <= keptRoutes {
		return false
	}
	node, starts := l.site.nodes[number], l.site.nodes[number].Starts()
	id := fmt.Sprintf("eeee%04x%08x", number, count)
	got := l.send(transport, l.site.callers[number], observation{id: id, class: kind, sent: time.Now(), probe: true, tenant: tenantOf(0), key: keyOf(0), timeout: clientTimeout}, "")
	l.mu.Lock()
	l.observations = append(l.observations, got)
	l.mu.Unlock()
	if node.Starts() != starts || got.err != nil {
		return false
	}
	sighted := sighting{
		node: node.Name, version: version, dropped: dropped, sent: got.sent, status: got.status,
		stale: got.status == http.StatusServiceUnavailable && strings.Contains(got.body, staleCode),
	}
	l.site.storm.recordSighting(sighted)
	return sighted.late() && !sighted.stale
}

// staleCode is in the answer of a node that doesn't know whether its configuration is the
// newest.
const staleCode = "2009"
