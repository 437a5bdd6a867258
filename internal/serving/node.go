// Package serving assembles a node that routes callers' requests to the workers of a platform.
// It follows the platform's tables, accepts requests, exchanges load messages (digests) with
// the other nodes, and stops without cutting requests off.
package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/fleetsize"
	"github.com/tinarch/tinarch/internal/ingress"
	"github.com/tinarch/tinarch/internal/links"
	"github.com/tinarch/tinarch/internal/nodeexchange"
	"github.com/tinarch/tinarch/internal/notices"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/resumption"
	"github.com/tinarch/tinarch/internal/retry"
	"github.com/tinarch/tinarch/internal/routing"
	"github.com/tinarch/tinarch/internal/rowstore"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/settings"
	"github.com/tinarch/tinarch/internal/stagecontrol"
	"github.com/tinarch/tinarch/internal/tablefeed"
	"github.com/tinarch/tinarch/internal/tablerelay"
	"github.com/tinarch/tinarch/internal/tableshare"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/tunnel"
	"github.com/tinarch/tinarch/internal/usage"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Platform is the platform that a node runs on.
type Platform interface {
	tablefeed.Store
	dispatch.Wire
	ingress.Parser
	// ReadinessPath is the path at which the platform asks whether a node accepts requests.
	ReadinessPath() string
	// ConfigurationTable and WorkerTable name the platform's tables that a node follows.
	ConfigurationTable() string
	WorkerTable() string
	// Routes parses the configuration; false means that the row holds something else.
	Routes(row tablefeed.Row) (*routing.Table, bool, error)
	// Worker parses a row of the workers' table.
	Worker(row tablefeed.Row) (worker.Worker, error)
	// ListRequest returns the request for the list of prompt parts in a worker's KV cache, and
	// ListedParts parses its answer.
	ListRequest(address string) *workerconn.Request
	ListedParts(status int, body []byte) ([]prefixcache.Part, error)
	// Notice reads from the head of an answer whether its worker accepts further requests.
	Notice(status int, header http.Header) worker.Notice
	// StateRequest returns a request for the state of a worker, nil if it can't be asked.
	StateRequest(to worker.Worker, healthPath string) *workerconn.Request
	// Born parses the answer of an engine to a StateRequest: when it started, in Unix milliseconds,
	// and whether it tells that.
	Born(status int, body []byte) (born int64, told bool)
	// HealthRequest returns a request to a worker's health path, whose answer comes at once and
	// may state the slowdown of its host, nil if its service has none.
	HealthRequest(to worker.Worker, healthPath string) *workerconn.Request
	rowstore.Store
	rowstore.Dated
	// ObserveCalls registers a function that is called after each call to the store.
	ObserveCalls(observed func(rowstore.Call))
	usage.API
	fleetsize.API
	stagecontrol.OrderProtocol
	// ReadSome returns the first rows of a table, and whether there are more.
	ReadSome(ctx context.Context, table string, most int) (rows []tablefeed.Row, more bool, err error)
	// ReadRange returns the rows of a table from one key up to, but not including, another.
	ReadRange(ctx context.Context, table, from, to string) ([]tablefeed.Row, tablefeed.Version, error)
	// Put writes a row in one of this project's own tables, and Remove deletes it.
	Put(ctx context.Context, table, key string, value []byte) error
	Remove(ctx context.Context, table, key string) error
}

// Timeouts and limits of a node.
const (
	// stopMargin is the part of the time for a planned stop that is left for the process to
	// end.
	stopMargin = 700 * time.Millisecond
	// answerMargin is the part of the time for a planned stop in which callers still get the answers of
	// requests that were given up.
	answerMargin = 200 * time.Millisecond
	// unreadyFor is how long a stopping node continues to accept requests. By then the platform
	// has checked its readiness twice and sends no more requests here.
	unreadyFor = 2600 * time.Millisecond
)

// Node is a running node.
type Node struct {
	settings settings.Routed
	log      *logrus.Logger
	platform Platform
	registry *worker.Registry
	pool     *workerconn.Pool
	links    *links.Table
	// tunnels opens connections to workers for nodes that have lost their own links.
	tunnels *tunnel.Server
	// guards bound the clients of this node's ports.
	guards   guards
	front    *ingress.Handler
	dispatch *dispatch.Dispatcher
	exchange *nodeexchange.Exchange
	servers  []*http.Server
	callers  *http.Server

	// coordinator holds the announcements of all nodes and decides which node reads a table at
	// the store.
	coordinator *tablerelay.Coordinator
	// configurationFeed and workersFeed follow the platform's tables.
	configurationFeed, workersFeed *tablefeed.Feed
	// nodesFeed follows the list of nodes once the fleet is large; large is closed when the
	// list shows that it is.
	nodesFeed *tablefeed.Feed
	large     chan struct{}
	largeOnce sync.Once
	// restored receives a token when the store may have lost this node's row.
	restored chan struct{}
	// tables serves this node's copies of the tables to other nodes.
	tables *tableshare.Server
	// recorded is the past in the store, which pastFeed follows, and pastApplied the version of its row.
	recorded    resumption.Recorded
	pastFeed    *tablefeed.Feed
	pastApplied atomic.Uint64
	// workersKnown tells that at least one worker has been listed since the start.
	workersKnown atomic.Bool

	authority *authority.Authority
	// api is the platform's API for duties.
	api *apiLink
	// quarantine keeps requests that seem to crash workers away from them, and quarantineFeed
	// follows the records of such requests in the store.
	quarantine     *quarantine.Manager
	quarantineFeed *tablefeed.Feed
	// tally and collector are nil if no usage is reported.
	tally     *usage.Tally
	collector *usage.Collector

	// origins are the streams of all nodes' callers that this node knows, and routes is what it has
	// followed of the routes.
	origins *resumption.Store
	routes  *routeHistory

	incarnation string
	cancel      context.CancelFunc
	work        sync.WaitGroup
}

// Start starts a node and returns once its ports are open.
func Start(configured settings.Routed, platform Platform, log *logrus.Logger) (*Node, error) {
	n := &Node{
		settings:    configured,
		log:         log,
		platform:    platform,
		registry:    worker.NewRegistry(topologyOf(configured)),
		pool:        workerconn.NewPool(),
		large:       make(chan struct{}),
		restored:    make(chan struct{}, 1),
		origins:     resumption.NewStore(),
		routes:      &routeHistory{},
		incarnation: nodeexchange.NewIncarnation(),
	}
	metrics := prometheus.NewRegistry()
	countCalls(platform, metrics, log)
	n.links = links.New(log, n.registry.Reached)
	exchange, err := nodeexchange.Listen(configured.Listen.Exchange, n.incarnation, configured.Node.Zone, n.registry, log)
	if err != nil {
		return nil, err
	}
	n.exchange = exchange
	n.api = &apiLink{api: platform, leave: exchange.LeaveDuties, log: log}
	exchange.SetOrigins(n.origins)
	n.registry.FollowShared(configured.Overload.ColdStart.Selects)
	exchange.SetTopology(topologyOf(configured))
	exchange.SetMetrics(nodeexchange.NewMetrics(metrics))
	n.watchLimits(metrics)
	n.setUpLinks(metrics)
	n.watchDroppedAnswers(metrics)
	n.setUpGuards(metrics)
	n.pool.SetMonitor(notices.New(notices.Options{
		Registry: n.registry, Read: platform.Notice, Log: log, Metrics: metrics,
		ListAge: func() time.Duration { return n.freshness().WorkersAge },
	}))
	n.pool.SetVerifier(incarnations{n})
	n.setUpUsage()
	quotas := n.newQuotas(metrics)
	n.shareTables()
	n.configurationFeed = n.newFeed(platform.ConfigurationTable(), &configConsumer{node: n})
	n.workersFeed = n.newFeed(platform.WorkerTable(), newWorkerConsumer(n, metrics))
	n.nodesFeed = n.newFeed(nodesTable, &nodeConsumer{node: n})
	n.setUpQuarantine(metrics)
	n.pastFeed = n.newFeed(pastTable, &pastConsumer{node: n})
	n.registerTableMetrics(metrics)
	n.registerHostMetrics(metrics)
	n.registerSoftwareMetrics(metrics)
	n.dispatch = n.dispatcher(metrics, quotas)
	n.front = ingress.New(ingress.Options{
		Parser: platform, Runner: n.dispatch, Log: log, Metrics: ingress.NewMetrics(metrics),
		ConfigurationAge: n.configurationAge, ConfigurationBehind: n.configurationBehind, Quotas: quotas,
		Origins: resumption.NewResolver(n.origins, exchange, newOriginHistory(n)),
	})
	if err := n.listen(metrics); err != nil {
		return nil, err
	}
	n.authority = authority.New(authority.Options{
		Self: n.incarnation, Life: settings.Milliseconds(configured.Bounds.LeaseMillis),
		Store: platform, Log: log, StepBack: exchange.StepBack,
		Unfenced: !configured.Bounds.Fencing,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.startBackground(ctx, metrics)
	log.WithFields(logrus.Fields{
		"node": configured.Node.Name, "incarnation": n.incarnation, "zone": configured.Node.Zone,
		"callers": configured.Listen.Callers, "store": configured.Store.Address,
		"process": os.Getpid(), "build": revision(),
	}).Info("started")
	return n, nil
}

// topologyOf returns the zones and regions as seen from this node.
func topologyOf(configured settings.Routed) topology.Map {
	return topology.New(configured.Node.Zone, configured.Zones)
}

func (n *Node) dispatcher(metrics *prometheus.Registry, quotas *quotas) *dispatch.Dispatcher {
	bounds := n.settings.Bounds
	var began func(tenant string, at time.Time)
	if n.tally != nil {
		began = n.tally.CountStarted
	}
	costs := scheduling.DefaultCosts()
	costs.Hold = n.settings.Late.Hold
	return dispatch.New(dispatch.Options{
		Overload:    n.overload(),
		StreamBegun: n.streamBegun, MayBegin: n.mayBegin,
		Began: began, Repeated: n.exchange.RecordQuotaCharge, Returned: quotas.Return,
		Registry: n.registry, Scheduler: scheduling.New(costs),
		Pool: n.pool, Wire: n.platform, Log: n.log, Metrics: dispatch.NewMetrics(metrics),
		Nodes: n.exchange.Nodes, LoadReports: n.exchange, Freshness: n.freshness, Quarantine: n.quarantine, Turns: n.exchange,
		Waits: n.exchange, HeldBytes: dispatch.HeldBytes(n.settings.Limits.MemoryMegabytes),
		Retries: retry.Limits{
			Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack,
			Window: settings.Milliseconds(bounds.RetryWindowMillis),
		},
	})
}

func (n *Node) listen(metrics *prometheus.Registry) error {
	n.callers = newServer(n.front)
	readiness := chi.NewRouter()
	readiness.Get(n.platform.ReadinessPath(), n.serveReadiness)
	figures := chi.NewRouter()
	figures.Handle("/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	for _, port := range []guardedPort{
		{n.settings.Listen.Callers, n.callers, n.guards.callers},
		{n.settings.Listen.Readiness, newServer(readiness), n.guards.readiness},
		{n.settings.Listen.Metrics, newServer(figures), n.guards.metrics},
		{n.settings.Listen.Exchange, newServer(n.exchangeHandler()), n.guards.exchange},
	} {
		listener, err := net.Listen("tcp4", port.address)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, port.server)
		n.work.Go(func() {
			if err := port.guard.Serve(port.server, listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.WithField("address", port.address).WithError(err).Error("a port is no longer served")
			}
		})
	}
	return nil
}

// serveReadiness tells the platform whether this node accepts requests. A deployment tool stops
// the next node once this one is ready, so a starting node first learns what the others know.
// On the first start of the system there is nothing to learn.
func (n *Node) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !n.Ready() || !n.settings.Node.FirstStart && !n.exchange.Informed(time.Now()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// freshness returns the versions and ages of the data that requests are decided by.
func (n *Node) freshness() dispatch.Freshness {
	word, _ := n.workersFeed.Confirmation()
	return dispatch.Freshness{
		Workers: uint64(word.Confirmed), WorkersAge: time.Since(word.At), DigestAge: n.exchange.OldestDigest(),
	}
}

// configurationAge returns the time since the store last confirmed, to this node or to one that
// it relies on, that the configuration in force is the newest.
func (n *Node) configurationAge() time.Duration {
	word, _ := n.configurationFeed.Confirmation()
	return time.Since(word.At)
}

// configurationBehind returns the time since this node heard of a newer configuration that it
// doesn't have yet, zero if it lacks none.
func (n *Node) configurationBehind() time.Duration {
	return n.tableBehind(n.platform.ConfigurationTable(), time.Now())
}

// Ready reports whether the node can serve requests: it knows routes and workers, isn't
// stopping, and doesn't lack a newer configuration.
func (n *Node) Ready() bool {
	return !n.front.Stopping() && n.front.Table() != nil && n.workersKnown.Load() && !n.front.Outdated()
}

// newFeed returns a feed that takes part in the relay of table changes between nodes.
func (n *Node) newFeed(table string, consumer tablefeed.Consumer) *tablefeed.Feed {
	feed := tablefeed.New(n.platform, table, consumer, n.coordinator, n.log)
	n.coordinator.Add(table, feed)
	n.tables.Add(table, feed)
	return feed
}

// shareTables sets up the joint following of tables with other nodes, and the exchange of
// copies of them.
func (n *Node) shareTables() {
	n.coordinator = tablerelay.New(n.exchange)
	n.coordinator.SetLog(n.log)
	n.exchange.SetTableCoordinator(n.coordinator)
	n.tables = tableshare.NewServer(tablerelay.Freshness, func(table string) {
		if table == nodesTable {
			n.markLarge()
		}
	})
	n.coordinator.SetFetcher(tableshare.NewClient(n.exchange, n.tables, workerconn.DialStore, n.log))
}

// startBackground starts the feeds of the platform's tables, the exchange and all other
// background work.
func (n *Node) startBackground(ctx context.Context, metrics *prometheus.Registry) {
	for _, feed := range []*tablefeed.Feed{n.configurationFeed, n.workersFeed, n.quarantineFeed, n.pastFeed} {
		n.work.Go(func() { feed.Run(ctx) })
	}
	n.work.Go(func() { n.exchange.Run(ctx) })
	n.work.Go(func() { n.checkLinks(ctx) })
	n.work.Go(func() { n.keepListed(ctx) })
	n.work.Go(func() { n.followNodes(ctx) })
	n.work.Go(func() { n.pruneNodes(ctx) })
	n.work.Go(func() { n.saveQuarantine(ctx) })
	n.work.Go(func() { n.expireQuarantine(ctx) })
	n.work.Go(func() { n.warmUp(ctx) })
	n.work.Go(func() { n.probeLimits(ctx) })
	n.work.Go(func() { n.probeHosts(ctx) })
	n.watchSuspensions(ctx, metrics)
	n.work.Go(func() { n.askSlowdowns(ctx) })
	n.work.Go(func() { n.resumeDuties(ctx) })
	n.work.Go(func() { n.keepPast(ctx) })
	stages := n.stageController(metrics)
	n.work.Go(func() { stages.Run(ctx) })
	n.startUsageReporter(ctx, metrics)
	n.startFleetControl(ctx, metrics)
}

// Stop stops the node as planned: it reports not being ready, continues to accept requests
// until the platform has noticed, finishes running requests, and closes. A late request that may
// not be answered in the time that is left is refused. What is still running at the end of that
// time is given up: its caller is told so unless its answer has begun, which is cut off.
func (n *Node) Stop(reason string) {
	begun := time.Now()
	deadline := begun.Add(settings.Milliseconds(n.settings.Bounds.StopMillis) - stopMargin)
	n.front.Stop()
	n.tunnels.Stop()
	n.log.WithFields(logrus.Fields{"reason": reason, "active": n.front.Active()}).Info("stopping")
	n.work.Go(func() { n.authority.Release(context.Background()) })
	n.withdraw()
	time.Sleep(time.Until(begun.Add(unreadyFor)))
	n.dispatch.EndBy(deadline.Add(-answerMargin))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.WithField("active", n.front.Active()).Warn("requests were cut off: the time for the stop is over")
	}
	n.tunnels.Drain(ctx)
	n.Close()
	n.log.WithField("took_ms", time.Since(begun).Milliseconds()).Info("stopped")
}

// Close ends the node at once, without waiting for requests.
func (n *Node) Close() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.tunnels.Close()
	n.pool.Close()
}

// Workers returns the number of workers known.
func (n *Node) Workers() int { return n.registry.Count() }

// Nodes returns the number of nodes known, this one included.
func (n *Node) Nodes() int { return n.exchange.Nodes() }

// RoutesVersion returns the version of the configuration in force, zero before the first.
func (n *Node) RoutesVersion() uint64 {
	if table := n.front.Table(); table != nil {
		return table.Version
	}
	return 0
}

// ConfigurationVersion returns the version up to which the store has confirmed this node's copy
// of the configuration table.
func (n *Node) ConfigurationVersion() tablefeed.Version {
	word, _ := n.configurationFeed.Confirmation()
	return word.Confirmed
}

// Limited returns the number of workers known to have stated a limit on requests per second.
func (n *Node) Limited() int { return n.registry.CountLimited() }

// Draining returns the number of workers known to be draining.
func (n *Node) Draining() int { return n.registry.CountDraining() }

// CachedTokens returns how many prompt tokens a worker is believed to have in its KV cache.
func (n *Node) CachedTokens(id string) int { return n.registry.CachedTokens(id) }
