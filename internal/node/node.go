// Package node assembles a node: it connects the other packages with the network, the clock and
// each other, starts them in order, and stops them without cutting off requests. Package
// serving does the same for the nodes of tinarchd --routed.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/cell"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/gateway"
	"github.com/tinarch/tinarch/internal/group"
	"github.com/tinarch/tinarch/internal/httpguard"
	"github.com/tinarch/tinarch/internal/ledger"
	"github.com/tinarch/tinarch/internal/membership"
	"github.com/tinarch/tinarch/internal/operator"
	"github.com/tinarch/tinarch/internal/peer"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/platform/objects"
	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/quarantine"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/rollout"
	"github.com/tinarch/tinarch/internal/settings"
)

// Options are what tests and experiments change in a node besides its settings.
type Options struct {
	// Policy is the placement policy; empty means the default.
	Policy placement.Policy
	// Log receives the node's log.
	Log *logrus.Logger
	// Dial replaces the dialling of other nodes, so that tests can cut or delay connections;
	// nil keeps the default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is a running node.
type Node struct {
	settings settings.Settings
	options  Options
	log      logrus.FieldLogger
	self     group.Member

	registry *prometheus.Registry
	counters *peer.Counters
	client   *peer.Client
	peers    *peer.Server
	engines  *engine.Client
	table    *table.Client
	objects  *objects.Client

	members        *membership.Driver
	manager        *rollout.Manager
	rollout        *rollout.Service
	host           *group.Host
	groupManager   *group.Manager
	router         *group.Router
	machines       *machineWatcher
	ledger         *ledger.Client
	gateway        *gateway.Server
	routes         *routedServices
	operatorServer *http.Server

	callerListener, operatorListener, peerListener net.Listener

	mu      sync.Mutex
	cells   map[string]*cell.Service
	ledgers map[string]*ledger.ReplicatedLedger

	caughtUp atomic.Bool
	stopping atomic.Bool
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Start starts a node. Its ports are open when Start returns; it accepts requests once it has
// caught up with the configuration.
func Start(configured settings.Settings, options Options) (*Node, error) {
	n := &Node{
		settings: configured,
		options:  options,
		registry: prometheus.NewRegistry(),
		counters: &peer.Counters{},
		engines:  engine.NewClient(),
		manager:  rollout.NewManager(),
		cells:    map[string]*cell.Service{},
		ledgers:  map[string]*ledger.ReplicatedLedger{},
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	incarnation := engine.NewIdentifier()
	n.self = group.Member{
		ID: replica.MemberID(incarnation), Node: configured.Node.Name, Zone: configured.Node.Zone,
		Address: n.peerListener.Addr().String(),
	}
	n.log = options.Log.WithFields(logrus.Fields{"node": n.self.Node, "zone": n.self.Zone})
	peerTLS, err := peerSecurity(configured.TLS.Peers)
	if err != nil {
		n.closeListeners()
		return nil, err
	}
	identity := peer.Identity{Cluster: clusterIdentity(configured.Cluster), Node: n.self.Node, Incarnation: string(incarnation), Zone: n.self.Zone}
	n.client = peer.NewClient(identity, n.counters, peerTLS)
	if options.Dial != nil {
		n.client.Dial = options.Dial
	}
	n.peers = peer.NewServer(identity, n.counters, n.log)
	n.buildPlatformClients()
	n.buildCluster()
	n.buildRoutes()
	if err := n.buildServers(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.registerMethods()
	n.registerMetrics()
	n.run(peerTLS)
	n.log.WithFields(logrus.Fields{
		"incarnation": incarnation, "callers": n.CallersAddress(), "operators": n.OperatorsAddress(), "peers": n.self.Address,
	}).Info("node started")
	return n, nil
}

func (n *Node) listen() error {
	for _, port := range []struct {
		key, address string
		listener     *net.Listener
	}{
		{"listen.callers", n.settings.Listen.Callers, &n.callerListener},
		{"listen.operators", n.settings.Listen.Operators, &n.operatorListener},
		{"listen.peers", n.settings.Listen.Peers, &n.peerListener},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			n.closeListeners()
			return result.New(result.SettingsInvalid, "%s: can't listen on %s: %v; use a free port", port.key, port.address, err)
		}
		*port.listener = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range []net.Listener{n.callerListener, n.operatorListener, n.peerListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (n *Node) buildPlatformClients() {
	p := n.settings.Platform
	n.table = table.New(table.Settings{
		Endpoint: p.Table.Endpoint, Region: p.Table.Region, Table: p.Table.Name,
		AccessKey: p.Table.AccessKey, SecretKey: p.Table.SecretKey, RequestsPerSecond: p.Table.RequestsPerSecond,
	})
	n.objects = objects.New(objects.Settings{
		Endpoint: p.Objects.Endpoint, Region: p.Objects.Region, Bucket: p.Objects.Bucket,
		AccessKey: p.Objects.AccessKey, SecretKey: p.Objects.SecretKey, RequestsPerSecond: p.Objects.RequestsPerSecond,
	})
	n.machines = newMachineWatcher(machines.New(p.Machines.URL), settings.Milliseconds(p.Machines.RefreshMillis), n.log, n.machinesChanged)
}

// buildCluster creates the parts by which nodes agree with each other: configuration,
// membership, replica groups and the ledger of idempotency keys.
func (n *Node) buildCluster() {
	own := membership.Node{
		Name: n.self.Node, Incarnation: string(n.self.ID), Started: time.Now().UnixMilli(), Address: n.self.Address, Zone: n.self.Zone,
	}
	memberSettings := membership.DefaultSettings()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	view := membership.New(memberSettings, own, random)
	n.rollout = rollout.NewService(n.manager, rollout.NewStore(n.table, n.objects), n.client, n.log, n.self.Address, n.peerAddresses)
	n.members = membership.NewDriver(memberSettings, view, n.client, n.log, n.seeds, n.manager.Revision, n.rollout.ObserveRevision)
	n.host = group.NewHost(n.self.ID, replica.DefaultSettings(), n.newStateMachine, n.client, n.log, n.addressOf, n.publishLeadership)
	n.router = group.NewRouter(n.client, n)
	n.ledger = ledger.NewClient(n.router, n.settings.Cluster.LedgerGroups)
	n.groupManager = group.NewManager(n.self, n.host, n.table, n.client, n, n.log, n.stateLossCommand)
	n.manager.OnChange(n.catalogChanged)
}

// buildServers creates the servers for callers and operators.
func (n *Node) buildServers() error {
	limits := gateway.DefaultSettings()
	limits.MaxBodyBytes = n.settings.Limits.MaxBodyBytes
	limits.ReadTimeout = settings.Milliseconds(n.settings.Limits.ReadTimeoutMillis)
	limits.WriteTimeout = settings.Milliseconds(n.settings.Limits.WriteTimeoutMillis)
	limits.MaxActive = n.settings.Limits.MaxActive
	limits.ClientMemory = int64(n.settings.Limits.ClientMemoryMegabytes) << 20
	if connections := n.settings.Limits.ClientConnections; connections > 0 {
		limits.ClientConnections = connections
	}
	quarantined := quarantine.NewLocalManager(n.log)
	quarantined.Register(n.registry)
	n.gateway = gateway.NewServer(limits, gateway.Dependencies{
		Catalog: n.manager,
		Placer:  gateway.NewPlacer(n.client, n.router, n.self.Zone),
		Engines: n.engines,
		Peers:   n.client,
		Ledger:  n.ledger,
		Answers: n.objects,
		Metrics: gateway.NewMetrics(n.registry), Quarantine: quarantined,
		MetricsPage: promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{
			MaxRequestsInFlight: 2,
		}),
		WrapHandler: n.routes.withRoutes,
		Ready:       n.ready,
		Log:         n.log,
	})
	httpguard.Register(n.registry, n.gateway.Guard())
	service := &operator.Service{
		Name: n.self.Node, Manager: n.manager, Rollout: n.rollout, Members: n.members, Router: n.router, Client: n.client, PoolsByCell: n.configuredCells,
	}
	n.operatorServer = &http.Server{
		Handler:           service.Routes(operator.NewInterceptor(n.settings.Operators.Tokens, n.log)),
		ReadHeaderTimeout: 5 * time.Second,
		Protocols:         &http.Protocols{},
	}
	// gRPC needs HTTP/2, which net/http doesn't enable by itself without TLS.
	n.operatorServer.Protocols.SetHTTP1(true)
	n.operatorServer.Protocols.SetHTTP2(true)
	n.operatorServer.Protocols.SetUnencryptedHTTP2(true)
	var err error
	if n.callerListener, err = serverSecurity(n.callerListener, n.settings.TLS.Callers, "tls.callers", "http/1.1"); err != nil {
		return err
	}
	n.operatorListener, err = serverSecurity(n.operatorListener, n.settings.TLS.Operators, "tls.operators", "h2", "http/1.1")
	return err
}

// run starts the servers and the background work.
func (n *Node) run(security *tlsConfig) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.peers.Serve(n.peerListener, security)
	for _, work := range []func(context.Context){
		n.machines.run, n.members.Run, n.rollout.Run, n.groupManager.Run, n.catchUp,
		func(ctx context.Context) { ledger.RunTicks(ctx, n.localLedgers) },
	} {
		n.running.Add(1)
		go func() {
			defer n.running.Done()
			work(ctx)
		}()
	}
	n.gateway.Serve(n.callerListener)
	go func() {
		if err := n.operatorServer.Serve(n.operatorListener); !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).Error("the server for operators failed")
		}
	}()
}

const catchUpInterval = 300 * time.Millisecond

// catchUp reads the configuration, and tries again until that succeeds; only then does the node
// accept requests.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.rollout.CatchUp(ctx); err == nil {
			n.caughtUp.Store(true)
			n.announce(ctx)
			return
		} else if ctx.Err() == nil {
			n.log.WithError(err).Warn("cannot read the configuration yet; accepting no requests")
		}
		select {
		case <-ctx.Done():
		case <-time.After(catchUpInterval):
		}
	}
}

func (n *Node) announce(ctx context.Context) {
	n.members.Announce(ctx, n.stopping.Load(), n.caughtUp.Load() && !n.stopping.Load())
}

// ready returns nil if the node accepts requests, and otherwise the reason why not.
func (n *Node) ready() error {
	if !n.caughtUp.Load() {
		return result.New(result.NotConfigured, "the node has not caught up with the configuration yet").WithRetryAfter(time.Second)
	}
	if n.manager.Revision() == 0 {
		return result.New(result.NotConfigured, "there is no configuration yet; apply one with `tinarch apply`").WithRetryAfter(time.Second)
	}
	return nil
}

// CaughtUp reports whether the node has read the configuration since its start.
func (n *Node) CaughtUp() bool { return n.caughtUp.Load() }

// Ready reports whether the node accepts requests.
func (n *Node) Ready() bool { return n.ready() == nil }

// Name returns the node's name.
func (n *Node) Name() string { return n.self.Node }

// CallersAddress returns the address of the callers' port.
func (n *Node) CallersAddress() string { return n.callerListener.Addr().String() }

// OperatorsAddress returns the address of the operators' port.
func (n *Node) OperatorsAddress() string { return n.operatorListener.Addr().String() }

// PeersAddress returns the address of the peers' port.
func (n *Node) PeersAddress() string { return n.self.Address }

// Revision returns the configuration revision in force.
func (n *Node) Revision() uint64 { return n.manager.Revision() }

// LedgerClient returns the node's client of the ledger groups.
func (n *Node) LedgerClient() *ledger.Client { return n.ledger }

// PeerClient returns the node's client of the peer protocol.
func (n *Node) PeerClient() *peer.Client { return n.client }

// PeerCounters returns the node's counters of peer traffic.
func (n *Node) PeerCounters() *peer.Counters { return n.counters }

// LedGroups returns the groups that this node leads, with their fences.
func (n *Node) LedGroups() map[string]engine.Fence {
	leads := map[string]engine.Fence{}
	for _, r := range n.host.Replicas() {
		if fence, active := r.Fence(); active {
			leads[r.Config().Group] = fence
		}
	}
	return leads
}
