package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetapi"
	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/lab/process"
)

// Durations of the injected faults.
const (
	meanFaultPause = 400 * time.Millisecond
	minFault       = 200 * time.Millisecond
	maxFault       = 2500 * time.Millisecond
)

// injectFaults injects faults for Options.Length and then ends all of them.
func (s *site) injectFaults(ctx context.Context) {
	end := time.Now().Add(s.options.Length)
	kinds := []func(context.Context, time.Duration) string{
		s.killNode, s.pauseNode, s.stopNode, s.killAll, s.faultWorkerConnections, s.faultWorkerConnections, s.faultStoreConnections, s.faultStore, s.failWorker, s.failWorker, s.drainWorker, s.removeEntries, s.configure, s.faultAPI,
	}
	if s.options.Storms {
		stormCtx, endStorm := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); s.runStorm(stormCtx) }()
		defer s.endFaults() // after the storm, which also changes the proxies to the store
		defer func() { endStorm(); <-ended }()
		// A fault of the whole store would leave no node that could tell the others of a
		// change.
		kinds = []func(context.Context, time.Duration) string{s.killNode, s.pauseNode, s.stopNode, s.restartWithStaleReads, s.faultWorkerConnections, s.failWorker}
	}
	if s.options.Restores {
		restoreCtx, endRestores := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); s.restoreRepeatedly(restoreCtx) }()
		defer s.endFaults()
		defer func() { endRestores(); <-ended }()
	}
	if s.options.Cuts {
		cutCtx, stopCuts := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); s.cutRepeatedly(cutCtx) }()
		defer func() { stopCuts(); <-ended }()
	}
	if s.options.Crowds {
		crowdCtx, stopCrowds := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); s.crowdRepeatedly(crowdCtx) }()
		defer func() { stopCrowds(); <-ended }()
	}
	if s.options.Unending {
		kinds = append(kinds, s.sendWithoutEnd, s.sendWithoutEnd, s.sendWithoutEnd, s.sendWithoutEnd)
	}
	if s.options.Broken {
		kinds = append(kinds, s.sendBroken, s.sendBroken, s.sendBroken, s.sendBroken, s.sendBroken, s.sendBroken)
	}
	if s.options.Limits {
		kinds = append(kinds, s.changeLimit, s.changeLimit, s.changeLimit, s.changeLimit)
	}
	if s.options.Notices {
		kinds = append(kinds, s.announceEnd, s.announceEnd, s.askForBackoff, s.askForBackoff, s.askForBackoff)
	}
	if s.options.Versions {
		kinds = append(kinds, s.releaseEngine, s.releaseEngine, s.releaseEngine, s.crashEngine, s.crashEngine, s.killNode, s.killNode)
	}
	if s.options.Ends {
		kinds = append(kinds, s.endAllAroundARelease, s.endAllAroundARelease, s.endAllAroundARelease, s.endAllAroundARelease)
	}
	if s.options.Earlier != "" {
		kinds = append(kinds, s.rollNode, s.rollNode, s.rollNode)
	}
	if s.options.Handovers {
		kinds = append(kinds, s.replaceAllAndRestore, s.replaceAllAndRestore, s.replaceAllAndRestore, s.replaceAllAndRestore, s.replaceAllAndRestore)
	}
	if s.options.Uneven {
		kinds = append(kinds, s.slowHost, s.slowHost)
	}
	if s.options.Unframed {
		kinds = append(kinds, s.varyDeliveries, s.varyDeliveries, s.varyDeliveries, s.varyDeliveries, s.crashWorker, s.crashWorker, s.crashWorker)
	}
	if s.options.Unfenced {
		kinds = append(kinds, s.lateOrders, s.lateAPI, s.pauseNode)
	}
	for ctx.Err() == nil && time.Now().Before(end) {
		length := minFault + time.Duration(s.random.Int64N(int64(maxFault-minFault)))
		fault := kinds[s.random.IntN(len(kinds))]
		what := fault(ctx, length)
		_, _ = fmt.Fprintf(s.options.Out, "%7.2f s  %s\n", time.Since(s.started).Seconds(), what)
		sleep(ctx, time.Duration(s.random.Int64N(int64(2*meanFaultPause))))
	}
	s.endFaults()
}

// endFaults ends all faults and starts nodes that aren't running.
func (s *site) endFaults() {
	s.endLimits()
	s.store.SetFaults(fleetstore.Faults{})
	s.api.SetFaults(fleetapi.Faults{})
	for _, proxy := range s.storeProxies {
		proxy.SetMode(Pass)
	}
	for _, worker := range s.runningWorkers() {
		worker.SetLateOrders(0)
		worker.proxy.SetMode(Pass)
		worker.SetFault(fleetworker.NoFault, 0)
		worker.SetDeliveries(nil)
		worker.SetBackoff("")
		s.list(worker, "ready")
	}
	for _, node := range s.nodes {
		s.resume(node)
		_ = node.Start()
	}
}

func (s *site) killNode(ctx context.Context, length time.Duration) string {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	begun := time.Now()
	node.Kill()
	sleep(ctx, length/4)
	_ = node.Start()
	s.recordNodeFault(node.Name, begun, time.Now())
	return "killed " + node.Name
}

func (s *site) killAll(ctx context.Context, length time.Duration) string {
	if s.random.IntN(3) > 0 {
		return s.killNode(ctx, length)
	}
	begun := time.Now()
	for _, node := range s.nodes {
		node.Kill()
	}
	sleep(ctx, length/4)
	for _, node := range s.nodes {
		_ = node.Start()
		s.recordNodeFault(node.Name, begun, time.Now())
	}
	return "killed all nodes"
}

func (s *site) pauseNode(ctx context.Context, length time.Duration) string {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	begun := time.Now()
	node.Signal(syscall.SIGSTOP)
	sleep(ctx, length)
	s.resume(node)
	s.recordNodeFault(node.Name, begun, time.Now())
	return fmt.Sprintf("paused %s for %v", node.Name, length.Round(time.Millisecond))
}

// resume resumes a paused node. The API ignores its calls for resumeSlack. Engines ignore all
// calls for that time, since they know lease holders by ids that the run doesn't know.
func (s *site) resume(node *process.Node) {
	until := time.Now().Add(resumeSlack)
	s.api.Fences().IgnoreUntil(node.Name, until)
	for _, worker := range s.runningWorkers() {
		worker.Fences().IgnoreAllUntil(until)
	}
	node.Signal(syscall.SIGCONT)
}

// rollNode restarts a node with one of the two builds, possibly the one that it ran. One node of this
// build is always left: what a fleet of the earlier build alone promises isn't checked.
func (s *site) rollNode(ctx context.Context, _ time.Duration) string {
	number := s.random.IntN(len(s.nodes))
	node := s.nodes[number]
	build := []string{s.options.Program, s.options.Earlier}[s.random.IntN(2)]
	if !s.runsElsewhere(number) {
		build = s.options.Program
	}
	node.SetProgram(build)
	node.SetSettings(s.options.withOutbound(s.settings[number], number, build))
	return s.restart(ctx, node) + " with the build " + build
}

// runsElsewhere reports whether another node than this one runs this build.
func (s *site) runsElsewhere(number int) bool {
	for other, node := range s.nodes {
		if other != number && node.Runs(s.options.Program) {
			return true
		}
	}
	return false
}

// stopNode shuts a node down gracefully and starts it again.
func (s *site) stopNode(ctx context.Context, _ time.Duration) string {
	return s.restart(ctx, s.nodes[s.random.IntN(len(s.nodes))])
}

// restart shuts a node down gracefully, kills it if that takes too long, and starts it again.
func (s *site) restart(ctx context.Context, node *process.Node) string {
	node.Signal(syscall.SIGTERM)
	stopCtx, cancel := context.WithTimeout(ctx, stopMillis*time.Millisecond)
	defer cancel()
	begun := time.Now()
	if !node.Wait(stopCtx) {
		node.Kill()
	}
	_ = node.Start()
	s.recordNodeFault(node.Name, begun, time.Now())
	return fmt.Sprintf("stopped %s in %v", node.Name, time.Since(begun).Round(time.Millisecond))
}

func (s *site) faultWorkerConnections(ctx context.Context, length time.Duration) string {
	worker := s.randomWorker()
	mode := []Mode{Slow, Reset, Silent, OneWay}[s.random.IntN(4)]
	begun := time.Now()
	worker.proxy.SetMode(mode)
	sleep(ctx, length)
	s.limits.recordFault(worker.ID(), begun, time.Now())
	worker.Fences().IgnoreAllUntil(time.Now().Add(resumeSlack)) // the proxy forwards what it held
	worker.proxy.SetMode(Pass)
	return fmt.Sprintf("connections to %s were %s for %v", worker.ID(), mode, length.Round(time.Millisecond))
}

// faultStoreConnections injects a fault into one node's connections to the store; the others
// still reach it.
func (s *site) faultStoreConnections(ctx context.Context, length time.Duration) string {
	number := s.random.IntN(len(s.storeProxies))
	mode := []Mode{Slow, Reset, Silent, OneWay}[s.random.IntN(4)]
	begun := time.Now()
	s.storeProxies[number].SetMode(mode)
	sleep(ctx, length)
	s.storeProxies[number].SetMode(Pass)
	s.cuts.recordFault(s.nodes[number].Name, begun, time.Now())
	return fmt.Sprintf("connections of %s to the store were %s for %v", s.nodes[number].Name, mode, length.Round(time.Millisecond))
}

func (s *site) faultStore(ctx context.Context, length time.Duration) string {
	faults := []fleetstore.Faults{{Down: true}, {Throttled: true}, {LoseWrites: true}, {StaleReads: 1}}[s.random.IntN(4)]
	s.store.SetFaults(faults)
	sleep(ctx, length)
	s.store.Compact()
	s.store.SetFaults(fleetstore.Faults{})
	return fmt.Sprintf("the store had the faults %+v for %v and then dropped its change history", faults, length.Round(time.Millisecond))
}

// slowAPI is the duration of a call to a slow API. It is well below the time that remains of a
// lease after its holder's last operation.
const slowAPI = 200 * time.Millisecond

// faultAPI makes the platform's API refuse calls, lose answers or be slow.
func (s *site) faultAPI(ctx context.Context, length time.Duration) string {
	faults := []fleetapi.Faults{{Down: true}, {LoseAnswers: true}, {Delay: slowAPI}}[s.random.IntN(3)]
	s.api.SetFaults(faults)
	sleep(ctx, length)
	s.api.SetFaults(fleetapi.Faults{})
	return fmt.Sprintf("the API had the faults %+v for %v", faults, length.Round(time.Millisecond))
}

// lateOrders makes all engines leave orders unanswered and carry them out later.
func (s *site) lateOrders(ctx context.Context, length time.Duration) string {
	for _, worker := range s.runningWorkers() {
		worker.SetLateOrders(length)
	}
	sleep(ctx, length)
	for _, worker := range s.runningWorkers() {
		worker.SetLateOrders(0)
	}
	return fmt.Sprintf("orders were carried out %v late", length.Round(time.Millisecond))
}

// lateAPI makes the platform's API leave calls unanswered and carry them out later.
func (s *site) lateAPI(ctx context.Context, length time.Duration) string {
	s.api.SetFaults(fleetapi.Faults{Late: length})
	sleep(ctx, length)
	s.api.SetFaults(fleetapi.Faults{})
	return fmt.Sprintf("the API carried calls out %v late", length.Round(time.Millisecond))
}

// orderViolations returns the violations found in the orders to engines. They are checked only
// in unfenced runs.
func (s *site) orderViolations() []string {
	if !s.options.Unfenced {
		return nil
	}
	var violations []string
	for _, worker := range s.allWorkers() {
		violations = append(violations, worker.Fences().Violations(configuredLease)...)
	}
	return violations
}

func (s *site) failWorker(_ context.Context, _ time.Duration) string {
	worker := s.randomWorker()
	fault := []fleetworker.Fault{
		fleetworker.Full, fleetworker.Failing, fleetworker.CutEarly, fleetworker.CutMidway, fleetworker.Hanging, fleetworker.LosesHandles,
	}[s.random.IntN(6)]
	count := 1 + s.random.IntN(6)
	worker.SetFault(fault, count)
	return fmt.Sprintf("%s has the fault %s for %d requests", worker.ID(), fault, count)
}

func (s *site) drainWorker(ctx context.Context, length time.Duration) string {
	worker := s.randomWorker()
	s.list(worker, "draining")
	sleep(ctx, length)
	s.list(worker, "ready")
	return fmt.Sprintf("%s drained for %v", worker.ID(), length.Round(time.Millisecond))
}

// removeEntries removes all entries from the worker list, as a store may after an outage, and
// writes them again.
func (s *site) removeEntries(ctx context.Context, length time.Duration) string {
	for _, worker := range s.runningWorkers() {
		s.store.Put("servers", worker.ID(), nil)
	}
	sleep(ctx, length/2)
	for _, worker := range s.runningWorkers() {
		s.list(worker, "ready")
	}
	return fmt.Sprintf("all worker list entries were removed for %v", (length / 2).Round(time.Millisecond))
}
