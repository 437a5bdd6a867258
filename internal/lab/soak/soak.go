// Package soak runs real nodes as separate processes on one machine, against fakes of the
// platform, and injects faults that a seed determines. Proxies delay, reset and stall
// connections; signals stop, pause and kill processes; the store fails, throttles, drops its
// change history and loses answers; workers fail. From what callers and workers see, it checks
// that the guarantees hold.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetapi"
	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/lab/process"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

// Options configure a soak run.
type Options struct {
	// Program is the path of tinarchd.
	Program string
	// Directory holds the nodes' settings and logs.
	Directory string
	Seed      uint64
	// Length is the time during which faults are injected; a quiet period without faults
	// follows.
	Length time.Duration
	Out    io.Writer
	// Unfenced runs against a platform on which neither the API nor the engines compare fencing
	// tokens, and checks that no stale token reaches them.
	Unfenced bool
	// Quotas gives one tenant a quota and checks that it holds over all nodes.
	Quotas bool
	// Poison makes one caller repeat a request that crashes each worker that runs it.
	Poison bool
	// Parts makes one caller send requests that share a part of their prompts which crashes each worker,
	// and nothing else.
	Parts bool
	// Crowds makes all callers come to one node for some seconds, again and again, and in the quiet
	// period.
	Crowds bool
	// Unending adds workers that answer with bytes without end, and checks the memory of the nodes.
	Unending bool
	// Broken adds workers whose answers aren't in the protocol, and entries that name no worker, and checks that no
	// caller gets such an answer and that no node ends by itself.
	Broken bool
	// Limits makes workers state rate limits, and checks how many requests reach them.
	Limits bool
	// Notices makes workers announce that they are about to end or ask for a backoff, and
	// checks which requests still reach them.
	Notices bool
	// Storms changes the configuration in quick succession while the store is unreachable for
	// some nodes, and checks how soon each node has each version.
	Storms bool
	// Restores makes the store unreachable and then restores it from a backup that is some
	// seconds old.
	Restores bool
	// Handovers restarts all nodes one after the other once a usage window has been reported, and
	// then restores the store from a backup that is older than the report.
	Handovers bool
	// Uneven makes workers state the slowdown of their hosts, which differ and change.
	Uneven bool
	// Overload makes prefill take time and one tenant send bursts that the engines can't read in
	// time, turns on the decisions under overload, and checks who is served and who is kept
	// waiting. It implies Uneven.
	Overload bool
	// Unframed makes workers answer with a length, in chunks or with neither, break answers off
	// in order and with a reset, and crash while they answer.
	Unframed bool
	// Cuts cuts some nodes off from all or some workers while other nodes reach them, and checks that
	// they serve their callers like the others.
	Cuts bool
	// Versions gives engines several software versions, replaces them by ones of other versions, and
	// makes callers take streams up again, at other nodes too. It checks that no stream holds events
	// of two versions, and that streams go on.
	Versions bool
	// Ends kills all nodes around releases of a software version. It needs Versions.
	Ends bool
	// Nodes is the number of nodes.
	Nodes int
	// Earlier is the path of an earlier build of tinarchd. If it is set, half of the nodes
	// start with it, and nodes are upgraded and downgraded during the run.
	Earlier string
}

// programOf returns the program that a node starts with.
func (o Options) programOf(number int) string {
	if o.Earlier != "" && number%2 == 1 {
		return o.Earlier
	}
	return o.Program
}

// Durations and sizes of a run.
const (
	// quietPeriod is the length of the period without faults at the end. In its second half at
	// least quietShare of the requests must be served again.
	quietPeriod  = 10 * time.Second
	startTimeout = 20 * time.Second
	stopMillis   = 8000
	eventPause   = 15 * time.Millisecond
	eventCount   = 8
	// usageWindow and usageLate are the nodes' settings for usage reports.
	usageWindow = 2 * time.Second
	usageLate   = 10 * time.Second
	// configuredLease is the lifetime of a lease in the nodes' settings.
	configuredLease = 3 * time.Second
	// resumeSlack is how long after a node resumes, or its connection works again, its calls are
	// ignored: calls that were in transit may still arrive.
	resumeSlack = 300 * time.Millisecond
)

// The host and services of a run.
const (
	host    = "soak.example"
	engines = "engines"
	plain   = "plain"
)

// site holds the processes and fakes of a run.
type site struct {
	options Options
	random  *rand.Rand
	store   *fleetstore.Store
	api     *fleetapi.API
	// storeProxies holds each node's proxy to the store.
	storeProxies []*Proxy
	nodes        []*process.Node
	// settings are the nodes' settings, without the address that they connect from.
	settings []settings.Routed
	callers  []string
	poison   poison
	parts    poison
	crowd    crowd
	limits   limits
	cuts     cuts
	notices  notices
	releases releases
	started  time.Time

	mu sync.Mutex
	// workers are the running workers, ended the ended ones.
	workers, ended []*soakWorker

	watch *watch
	storm storm
	// configuring is held while a configuration is written.
	configuring sync.Mutex
	// restoring is held while the store is restored.
	restoring sync.Mutex
}

// soakWorker is a worker and the proxy whose address is in its list entry.
type soakWorker struct {
	*fleetworker.Worker
	options fleetworker.Options
	proxy   *Proxy
	// leaving reports whether the worker announces that it is about to end.
	leaving atomic.Bool
	// state is the state in its list entry.
	state atomic.Pointer[string]
	// ended reports whether the worker has ended; its list entry is no longer written.
	ended atomic.Bool
}

// Run performs one run with the seed in options.
func Run(ctx context.Context, options Options) (*Report, error) {
	options.Uneven = options.Uneven || options.Overload
	s := &site{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)), started: time.Now(), watch: newWatch()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	load := newLoad(s)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	ended := make(chan struct{})
	go func() { defer close(ended); load.run(loadCtx) }()
	memoryUsed := make(chan memory, 1)
	go func() { memoryUsed <- s.watchMemory(loadCtx) }()
	s.injectFaults(ctx)
	load.markQuiet()
	s.poison.markQuiet()
	s.parts.markQuiet()
	if options.Crowds {
		s.crowd.node.Store(1 + int64(s.random.IntN(len(s.callers))))
	}
	sleep(ctx, quietPeriod/2)
	s.lastChange()
	sleep(ctx, quietPeriod/2)
	stopLoad()
	<-ended
	report := load.report()
	report.Seed = options.Seed
	report.Unfenced = options.Unfenced
	report.Broken = append(report.Broken, s.api.Violations(configuredLease)...)
	report.Broken = append(report.Broken, s.orderViolations()...)
	if options.Quotas {
		report.LimitedPeak = busiestWindow(s.allRuns(), tenantOf(limitedTenant), quotaTolerance.Window)
		report.Broken = append(report.Broken, overQuota(s.allRuns(), tenantOf(limitedTenant), tenantLimit, quotaTolerance)...)
	}
	report.Broken = append(report.Broken, s.limits.violations(s.allWorkers(), load.traces())...)
	report.Broken = append(report.Broken, s.noticeViolations(load.traces())...)
	if options.Overload {
		report.Broken = append(report.Broken, load.overloadViolations()...)
	}
	if options.Cuts {
		report.Broken = append(report.Broken, s.cutViolations(load.all())...)
	}
	if options.Storms {
		summary, violations := s.storm.report(s.limits.inFault)
		report.Storm = &summary
		report.Broken = append(report.Broken, violations...)
	}
	if options.Versions {
		report.Streams = streamReportOf(load.followedStreams())
		report.Broken = append(report.Broken, report.Streams.violations()...)
	}
	report.Limited = len(s.limits.stated)
	report.Leaving, report.Paused = s.notices.counted()
	report.Ended = len(s.endedWorkers())
	report.Broken = append(report.Broken, s.poison.violations(s.allRuns())...)
	if options.Parts {
		report.Broken = append(report.Broken, s.partViolations()...)
	}
	if used := <-memoryUsed; options.Unending {
		report.Broken = append(report.Broken, used.violations()...)
	}
	if options.Broken {
		report.Broken = append(report.Broken, s.brokenViolations(load.all())...)
	}
	report.Windows = len(s.api.Reports())
	if report.Windows == 0 {
		report.Broken = append(report.Broken, "no usage window was reported")
	}
	for _, node := range s.nodes {
		report.Starts += node.Starts()
	}
	return report, ctx.Err()
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *site) start(ctx context.Context) error {
	s.store = fleetstore.Start()
	startAPI := fleetapi.Start
	if s.options.Unfenced {
		startAPI = fleetapi.StartUnfenced
	}
	s.api = startAPI()
	s.api.DescribeCallers(s.incarnationAt)
	for _, options := range []fleetworker.Options{
		{ID: "read-1", Service: engines, Stage: "prefill"}, {ID: "read-2", Service: engines, Stage: "prefill"},
		{ID: "write-1", Service: engines, Stage: "decode"}, {ID: "write-2", Service: engines, Stage: "decode"}, {ID: "write-3", Service: engines, Stage: "decode"},
		{ID: "plain-1", Service: plain}, {ID: "plain-2", Service: plain}, {ID: "plain-3", Service: plain},
	} {
		options = s.versioned(options)
		if err := s.addWorker(options); err != nil {
			return err
		}
	}
	s.store.Put("op", "config", s.configuration(0, 0))
	for i := range s.options.Nodes {
		if err := s.addNode(i); err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, node := range s.nodes {
		for !node.Ready(startCtx) {
			if startCtx.Err() != nil {
				return result.New(result.Internal, "node %s was not ready in %v; see %s", node.Name, startTimeout, s.options.Directory)
			}
			sleep(startCtx, pollInterval)
		}
	}
	return nil
}

func (s *site) addWorker(options fleetworker.Options) error {
	options.Zone, options.Events, options.Pause = "a", eventCount, eventPause
	worker := &soakWorker{}
	if s.options.Poison {
		options.CrashOn = poisonBody
	}
	if s.options.Parts {
		options.CrashOnPart = badPart
	}
	if s.options.Poison || s.options.Parts || s.options.Unframed {
		options.OnCrash = func(*fleetworker.Worker) { s.replaceEnded(worker, options) }
	}
	options.OnStageChange = func(*fleetworker.Worker) { s.relist(worker) }
	options = s.options.overloadOptions(options)
	worker.Worker, worker.options = fleetworker.Start(options), options
	s.makeUneven(worker)
	proxy, err := StartProxy(worker.Address())
	if err != nil {
		worker.Close()
		return err
	}
	worker.proxy = proxy
	s.mu.Lock()
	s.workers = append(s.workers, worker)
	s.mu.Unlock()
	s.applyCuts(worker)
	s.list(worker, "ready")
	return nil
}

// list writes a worker's list entry in a state, with the address of its proxy.
func (s *site) list(worker *soakWorker, state string) {
	worker.state.Store(&state)
	s.relist(worker)
}

// relist writes a worker's list entry again in its current state.
func (s *site) relist(worker *soakWorker) {
	if worker.ended.Load() {
		return
	}
	entry := worker.Entry(*worker.state.Load())
	entry["Address"] = worker.proxy.Address()
	s.store.Put("servers", worker.ID(), entry)
}

func (s *site) addNode(number int) error {
	proxy, err := StartProxy(s.store.Address())
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, proxy)
	name := fmt.Sprintf("node-%d", number+1)
	configured := settings.DefaultRouted()
	configured.Node = settings.RoutedNode{Name: name, Zone: s.zoneOf(number)}
	configured.Store.Address = proxy.Address()
	configured.Bounds.StopMillis = stopMillis
	configured.API = settings.RoutedAPI{Address: s.api.Address(), Duties: []string{settings.DutyUsageReport, settings.DutyAutoscale}}
	configured.Bounds.LeaseMillis = int(configuredLease.Milliseconds())
	configured.Bounds.Fencing = !s.options.Unfenced
	configured.Overload = s.options.overloadSettings()
	configured.Quota = settings.RoutedQuota{
		WindowSeconds: quotaTolerance.Window.Seconds(), Overshoot: quotaTolerance.Overshoot, Slack: quotaTolerance.Slack,
	}
	configured.Usage = settings.RoutedUsage{WindowSeconds: usageWindow.Seconds(), LateSeconds: usageLate.Seconds()}
	if s.options.Earlier != "" {
		configured.Overload = settings.RoutedOverload{} // left out, since earlier builds reject it
	}
	for _, address := range []*string{&configured.Listen.Callers, &configured.Listen.Readiness, &configured.Listen.Exchange, &configured.Listen.Metrics} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	if s.options.Cuts {
		configured.Listen.Exchange = exchangeAddress(configured.Listen.Exchange, number)
	}
	s.settings = append(s.settings, configured)
	program := s.options.programOf(number)
	node := &process.Node{
		Program: program, Arguments: []string{"--routed"}, Directory: s.options.Directory, Name: name,
		Settings: s.options.withOutbound(configured, number, program), ReadyURL: "http://" + configured.Listen.Readiness + "/v1/ready",
	}
	s.nodes = append(s.nodes, node)
	s.callers = append(s.callers, configured.Listen.Callers)
	return node.Start()
}

// incarnationAt describes the incarnation of a node that had been started last at a time.
func (s *site) incarnationAt(name string, at time.Time) string {
	for _, node := range s.nodes {
		if node.Name == name {
			return node.IncarnationAt(at)
		}
	}
	return name
}

// zoneOf returns a node's zone: one of three with Options.Storms, else always the same.
func (s *site) zoneOf(number int) string {
	if !s.options.Storms {
		return "a"
	}
	return []string{"a", "b", "c"}[number%3]
}

func (s *site) close() {
	for _, node := range s.nodes {
		node.Kill()
	}
	for _, proxy := range s.storeProxies {
		proxy.Close()
	}
	for _, worker := range s.runningWorkers() {
		worker.proxy.Close()
		worker.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.api != nil {
		s.api.Close()
	}
}

// configuration returns the operator's configuration: one route of each class, the routes added
// so far, and the routes of a version of a storm.
func (s *site) configuration(added, stormVersion int) map[string]any {
	route := func(kind class) map[string]any {
		return map[string]any{
			"Name": kind.name, "Host": host, "PathPrefix": kind.prefix, "Kind": kind.routeKind, "Service": kind.service,
			"TimeoutMs": 5000, "TargetLatencyMs": 1500, "Priority": 1, "MaxAttempts": 2, "Resumable": kind.resumable,
		}
	}
	var routes []any
	for _, kind := range classes {
		routes = append(routes, route(kind))
	}
	for number := range added {
		kind := probeClass
		kind.name, kind.prefix = fmt.Sprintf("added-%d", number+1), fmt.Sprintf("%s%d/", probeClass.prefix, number+1)
		routes = append(routes, route(kind))
	}
	for _, kind := range s.stormRoutes(stormVersion) {
		routes = append(routes, route(kind))
	}
	return map[string]any{
		"Version": 1 + added + stormVersion, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": engines, "MaxConnections": s.options.maxConnections(), "HealthPath": fleetworker.HealthPath, "Engine": map[string]any{"Slots": 8, "KvCapacityTokens": 100_000, "RoleSwitchS": 1.0}, "Autoscale": autoscale()},
			map[string]any{"Name": plain, "MaxConnections": 200},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 8192, "MaxBodyBytes": 100_000},
		"Tenants": tenants(s.options.Quotas),
	}
}

// autoscale returns the autoscaling settings of a service. The fake API records scaling orders
// and changes nothing.
func autoscale() map[string]any {
	return map[string]any{"Min": 1, "Max": 8, "BootTimeoutS": 4.0, "SpotPrice": 0.2, "ZonePrices": map[string]any{"a": 1.0}}
}

// tenantCount is the number of tenants; each caller belongs to one.
const tenantCount = 3

// tenants returns the tenants' configuration, with a quota for one of them if limited is set.
func tenants(limited bool) []any {
	var all []any
	for number := range tenantCount {
		entry := map[string]any{"Name": tenantOf(number), "ApiKeys": []string{keyOf(number)}}
		if limited && number == limitedTenant {
			entry["RatePerS"], entry["Burst"] = tenantLimit.Rate, tenantLimit.Burst
		}
		all = append(all, entry)
	}
	return all
}

func tenantOf(caller int) string { return fmt.Sprintf("tenant-%d", caller%tenantCount) }

func keyOf(caller int) string { return fmt.Sprintf("secret-%d", caller%tenantCount) }
