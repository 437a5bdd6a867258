// Package serving puts a node together that serves routes before the workers of a
// platform: it follows the platform's tables, takes callers' requests, exchanges
// digests with the other nodes, and stops without cutting a request.
package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/dispatch"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/fleetsize"
	"github.com/tinarch/tinarch/internal/ingress"
	"github.com/tinarch/tinarch/internal/nodeexchange"
	"github.com/tinarch/tinarch/internal/notices"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/quarantine"
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
	"github.com/tinarch/tinarch/internal/usage"
	"github.com/tinarch/tinarch/internal/worker"
	"github.com/tinarch/tinarch/internal/workerconn"
)

// Platform is what a node needs of the platform that it runs on.
type Platform interface {
	tablefeed.Store
	dispatch.Wire
	ingress.Parser
	// ReadinessPath is where the platform asks whether a node takes requests.
	ReadinessPath() string
	// ConfigurationTable and WorkerTable name the tables that are followed.
	ConfigurationTable() string
	WorkerTable() string
	// Routes reads the configuration; false means that the row is another one.
	Routes(row tablefeed.Row) (*routing.Table, bool, error)
	// Worker reads a row of the workers' table.
	Worker(row tablefeed.Row) (worker.Worker, error)
	// ListRequest asks a worker what it keeps of prompts, and ListedParts reads its
	// answer.
	ListRequest(address string) *workerconn.Request
	ListedParts(status int, body []byte) ([]prefixcache.Part, error)
	// Notice reads what the head of an answer says of whether its worker takes further requests.
	Notice(status int, header http.Header) worker.Notice
	// StateRequest asks a worker how it is, nil where it can't be asked.
	StateRequest(to worker.Worker, healthPath string) *workerconn.Request
	rowstore.Store
	// ObserveCalls has each call to the store told that has ended.
	ObserveCalls(observed func(rowstore.Call))
	usage.API
	fleetsize.API
	stagecontrol.OrderProtocol
	// ReadSome returns the first rows of a table, and whether there are more.
	ReadSome(ctx context.Context, table string, most int) (rows []tablefeed.Row, more bool, err error)
	// ReadRange returns the rows of a table from one key up to another, which is left out.
	ReadRange(ctx context.Context, table, from, to string) ([]tablefeed.Row, tablefeed.Version, error)
	// Put writes a row of this project's own, and Remove takes it away.
	Put(ctx context.Context, table, key string, value []byte) error
	Remove(ctx context.Context, table, key string) error
}

// The figures of a node.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is above what any platform's callers resume.
	idleTimeout = 60 * time.Second
	// maxHeader bounds memory; the configuration's own limit is checked besides.
	maxHeader = 64 << 10
	// stopMargin is left of a planned stop's time for the process to end.
	stopMargin = 700 * time.Millisecond
	// unreadyFor is how long a stopping node goes on accepting, so that the
	// platform has asked twice and sends nobody here any more.
	unreadyFor = 2600 * time.Millisecond
)

// Node is one running node.
type Node struct {
	settings settings.Routed
	log      *logrus.Logger
	platform Platform
	registry *worker.Registry
	pool     *workerconn.Pool
	front    *ingress.Handler
	exchange *nodeexchange.Exchange
	servers  []*http.Server
	callers  *http.Server

	board *tablerelay.Coordinator
	// configurationFeed and workersFeed follow the platform's tables.
	configurationFeed, workersFeed *tablefeed.Feed
	// nodesFeed follows the list of nodes, once the fleet is large; large is closed when the
	// list shows that.
	nodesFeed *tablefeed.Feed
	large     chan struct{}
	largeOnce sync.Once
	// restored gets a token when the store may have lost this node's row.
	restored chan struct{}
	// tables gives other nodes the tables that this one holds.
	tables *tableshare.Server
	// workersKnown tells that some worker was listed since the start.
	workersKnown atomic.Bool

	authority *authority.Authority
	// quarantine keeps requests under which workers end away from workers, and
	// quarantineFeed follows what the store holds of them.
	quarantine     *quarantine.Manager
	quarantineFeed *tablefeed.Feed
	// tally and collector are nil where no usage is reported.
	tally     *usage.Tally
	collector *usage.Collector

	incarnation string
	cancel      context.CancelFunc
	work        sync.WaitGroup
}

// Start starts a node. It returns once its ports are open.
func Start(configured settings.Routed, platform Platform, log *logrus.Logger) (*Node, error) {
	n := &Node{
		settings:    configured,
		log:         log,
		platform:    platform,
		registry:    worker.NewRegistry(topologyOf(configured)),
		pool:        workerconn.NewPool(),
		large:       make(chan struct{}),
		restored:    make(chan struct{}, 1),
		incarnation: string(engine.NewIdentifier())[:incarnationDigits],
	}
	metrics := prometheus.NewRegistry()
	countCalls(platform, metrics, log)
	exchange, err := nodeexchange.Listen(configured.Listen.Exchange, n.incarnation, configured.Node.Zone, n.registry, log)
	if err != nil {
		return nil, err
	}
	n.exchange = exchange
	exchange.SetTopology(topologyOf(configured))
	exchange.SetMetrics(nodeexchange.NewMetrics(metrics))
	n.watchLimits(metrics)
	n.pool.SetMonitor(notices.New(notices.Options{
		Registry: n.registry, Read: platform.Notice, Log: log, Metrics: metrics,
		ListAge: func() time.Duration { return n.freshness().WorkersAge },
	}))
	n.setUpUsage()
	quotas := n.newQuotas(metrics)
	n.shareTables()
	n.configurationFeed = n.newFeed(platform.ConfigurationTable(), &configConsumer{node: n})
	n.workersFeed = n.newFeed(platform.WorkerTable(), newWorkerConsumer(n, metrics))
	n.nodesFeed = n.newFeed(nodesTable, &nodeConsumer{node: n})
	n.setUpQuarantine(metrics)
	n.registerTableMetrics(metrics)
	n.front = ingress.New(ingress.Options{
		Parser: platform, Runner: n.dispatcher(metrics, quotas), Log: log, Metrics: ingress.NewMetrics(metrics),
		ConfigurationAge: n.configurationAge, ConfigurationBehind: n.configurationBehind, Quotas: quotas,
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
	}).Info("started")
	return n, nil
}

const incarnationDigits = 12

// topologyOf are the zones and regions as this node sees them.
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
		Began: began, Repeated: n.exchange.RecordQuotaCharge, Returned: quotas.Return,
		Registry: n.registry, Scheduler: scheduling.New(costs),
		Pool: n.pool, Wire: n.platform, Log: n.log, Metrics: dispatch.NewMetrics(metrics),
		Nodes: n.exchange.Nodes, LoadReports: n.exchange, Freshness: n.freshness, Quarantine: n.quarantine, Turns: n.exchange,
		Retries: retry.Limits{
			Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack,
			Window: settings.Milliseconds(bounds.RetryWindowMillis),
		},
	})
}

func (n *Node) listen(metrics *prometheus.Registry) error {
	n.callers = &http.Server{
		Handler: n.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: discardLog(),
	}
	readiness := chi.NewRouter()
	readiness.Get(n.platform.ReadinessPath(), n.serveReadiness)
	figures := chi.NewRouter()
	figures.Handle("/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	for _, port := range []struct {
		address string
		server  *http.Server
	}{
		{n.settings.Listen.Callers, n.callers},
		{n.settings.Listen.Readiness, &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout}},
		{n.settings.Listen.Metrics, &http.Server{Handler: figures, ReadHeaderTimeout: headerTimeout}},
		{n.settings.Listen.Exchange, &http.Server{Handler: n.tables.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLog()}},
	} {
		listener, err := net.Listen("tcp4", port.address)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, port.server)
		n.work.Go(func() {
			if err := port.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.WithField("address", port.address).WithError(err).Error("a port is not served any more")
			}
		})
	}
	return nil
}

// serveReadiness tells the platform whether callers may be sent here.
func (n *Node) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// freshness tells how old what decides requests is.
func (n *Node) freshness() dispatch.Freshness {
	word, _ := n.workersFeed.Word()
	return dispatch.Freshness{
		Workers: uint64(word.Confirmed), WorkersAge: time.Since(word.At), DigestAge: n.exchange.OldestDigest(),
	}
}

// configurationAge is the time since the store confirmed, to this node or to one that it
// relies on, that the configuration in force is the newest.
func (n *Node) configurationAge() time.Duration {
	word, _ := n.configurationFeed.Word()
	return time.Since(word.At)
}

// configurationBehind is the time since this node heard of a newer configuration that it
// doesn't hold, zero where it lacks none.
func (n *Node) configurationBehind() time.Duration {
	return n.tableBehind(n.platform.ConfigurationTable(), time.Now())
}

// Ready reports whether the node can serve: it knows routes and workers, is not being
// stopped, and doesn't lack a newer configuration.
func (n *Node) Ready() bool {
	return !n.front.Stopping() && n.front.Table() != nil && n.workersKnown.Load() && !n.front.Outdated()
}

// newFeed returns a feed that takes part in the relay between nodes.
func (n *Node) newFeed(table string, consumer tablefeed.Consumer) *tablefeed.Feed {
	feed := tablefeed.New(n.platform, table, consumer, n.board, n.log)
	n.board.Add(table, feed)
	n.tables.Add(table, feed)
	return feed
}

// shareTables has this node follow tables with others, and get and give copies of them.
func (n *Node) shareTables() {
	n.board = tablerelay.New(n.exchange)
	n.board.SetLog(n.log)
	n.exchange.SetTableCoordinator(n.board)
	n.tables = tableshare.NewServer(tablerelay.Freshness, func(table string) {
		if table == nodesTable {
			n.markLarge()
		}
	})
	n.board.SetFetcher(tableshare.NewClient(n.exchange, n.tables, workerconn.DialStore, n.log))
}

// startBackground starts the feeds of the platform's tables and the exchange.
func (n *Node) startBackground(ctx context.Context, metrics *prometheus.Registry) {
	for _, feed := range []*tablefeed.Feed{n.configurationFeed, n.workersFeed, n.quarantineFeed} {
		n.work.Go(func() { feed.Run(ctx) })
	}
	n.work.Go(func() { n.exchange.Run(ctx) })
	n.work.Go(func() { n.keepListed(ctx) })
	n.work.Go(func() { n.followNodes(ctx) })
	n.work.Go(func() { n.pruneNodes(ctx) })
	n.work.Go(func() { n.saveQuarantine(ctx) })
	n.work.Go(func() { n.expireQuarantine(ctx) })
	n.work.Go(func() { n.warmUp(ctx) })
	n.work.Go(func() { n.probeLimits(ctx) })
	n.watchSuspensions(ctx, metrics)
	n.work.Go(func() { n.stageController().Run(ctx) })
	n.startUsageReporter(ctx, metrics)
	n.startFleetControl(ctx, metrics)
}

// Stop ends the node as planned: it says that it takes no callers, goes on
// accepting until the platform has noticed, finishes what runs, and closes. A
// request that is still running when the time is over is cut.
func (n *Node) Stop(reason string) {
	begun := time.Now()
	deadline := begun.Add(settings.Milliseconds(n.settings.Bounds.StopMillis) - stopMargin)
	n.front.Stop()
	n.log.WithFields(logrus.Fields{"reason": reason, "active": n.front.Active()}).Info("stopping")
	n.work.Go(func() { n.authority.Release(context.Background()) })
	n.withdraw()
	time.Sleep(time.Until(begun.Add(unreadyFor)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.WithField("active", n.front.Active()).Warn("requests were cut: the time of the stop is over")
	}
	n.Close()
	n.log.WithField("took_ms", time.Since(begun).Milliseconds()).Info("stopped")
}

// Close ends the node at once.
func (n *Node) Close() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
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

// ConfigurationVersion returns the version up to which the store has confirmed the table of the
// configuration that this node holds.
func (n *Node) ConfigurationVersion() tablefeed.Version {
	word, _ := n.configurationFeed.Word()
	return word.Confirmed
}

// Limited returns the number of workers known to take no more than so many requests a second.
func (n *Node) Limited() int { return n.registry.CountLimited() }

// Draining returns the number of workers known to drain.
func (n *Node) Draining() int { return n.registry.CountDraining() }

// CachedTokens returns how much of prompts a worker is believed to keep.
func (n *Node) CachedTokens(id string) int { return n.registry.CachedTokens(id) }
