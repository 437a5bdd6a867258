package site

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/settings"
)

const (
	// poison is in the body of requests that crash each worker that runs them.
	poison = "poison"
	// restartAfter is how long a crashed worker is down.
	restartAfter = 200 * time.Millisecond
	// crashesNeeded is how many workers may crash before a request is quarantined, and
	// arrivalsAllowed how many it may reach after that.
	crashesNeeded   = 3
	arrivalsAllowed = 3
	// firstStartMillis is the first start time of workers that state one, in Unix milliseconds.
	firstStartMillis = 1_764_731_647_000
)

// crashingWorkers manages workers that crash on requests with a poison body and restart at the
// same address, each time with another id.
type crashingWorkers struct {
	s  *site
	mu sync.Mutex
	// incarnations holds all workers started so far, and running those that run now.
	incarnations []*fleetworker.Worker
	running      map[string]*fleetworker.Worker
	crashes      int
	// fixed makes workers that restart no longer crash.
	fixed bool
	// keepIDs makes workers restart with the id that they had, and state when they started.
	keepIDs bool
	// part, if not empty, is a prompt part on which workers crash, after crashAfter events.
	part       string
	crashAfter int
	// sent counts the requests sent by sendAgain.
	sent int
}

// startCrashing starts a site of three nodes with workers that poison requests crash.
func startCrashing(t *testing.T) (*site, *crashingWorkers) {
	t.Helper()
	return startCrashingWith(t, func(*crashingWorkers) {})
}

// startCrashingWith is like startCrashing but applies a change before any worker starts.
func startCrashingWith(t *testing.T, change func(*crashingWorkers)) (*site, *crashingWorkers) {
	t.Helper()
	s := startUnconfigured(t)
	f := &crashingWorkers{s: s, running: make(map[string]*fleetworker.Worker)}
	change(f)
	f.add(fleetworker.Options{ID: "read-1", Service: llm, Stage: "prefill"})
	for number := range 4 {
		f.add(fleetworker.Options{ID: fmt.Sprint("write-", number+1), Service: llm, Stage: "decode"})
	}
	for number := range 3 {
		f.add(fleetworker.Options{ID: fmt.Sprint("portal-", number+1), Service: portal, Events: 1})
	}
	s.store.Put("op", "config", configuration(1))
	s.await("the first node is ready", s.node.Ready)
	s.addNodes("node-2", "node-3")
	s.awaitPeers()
	f.awaitRunning()
	return s, f
}

// add starts a worker.
func (f *crashingWorkers) add(options fleetworker.Options) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start(options)
}

// start starts a worker. The caller holds the lock.
func (f *crashingWorkers) start(options fleetworker.Options) {
	if f.keepIDs && options.Born == 0 {
		options.Born = firstStartMillis
	}
	options.Zone, options.CrashOn, options.OnCrash = "a", poison, func(w *fleetworker.Worker) { f.crash(options, w) }
	options.CrashOnPart, options.CrashAfter = f.part, f.crashAfter
	if f.fixed {
		options.CrashOn, options.CrashOnPart = "", ""
	}
	worker := fleetworker.Start(options)
	f.s.t.Cleanup(worker.Close)
	f.incarnations = append(f.incarnations, worker)
	f.running[options.ID] = worker
	f.s.store.Put("servers", options.ID, worker.Entry("ready"))
}

// crash records that a worker crashed and has it restarted.
func (f *crashingWorkers) crash(options fleetworker.Options, crashed *fleetworker.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	delete(f.running, options.ID)
	go f.restart(options, crashed)
}

// restart restarts a crashed worker after restartAfter.
func (f *crashingWorkers) restart(options fleetworker.Options, crashed *fleetworker.Worker) {
	time.Sleep(restartAfter)
	f.mu.Lock()
	defer f.mu.Unlock()
	options.Address = crashed.Address()
	if f.keepIDs {
		options.Born++
	} else {
		f.s.store.Put("servers", options.ID, nil)
		options.ID += "'"
	}
	f.start(options)
}

// fix makes running and restarted workers no longer crash.
func (f *crashingWorkers) fix() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fixed = true
	for _, worker := range f.running {
		worker.SetCrashOn("")
		worker.SetCrashOnPart("")
	}
}

// crashed returns the number of crashes so far.
func (f *crashingWorkers) crashed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// arrivals counts the runs of requests whose body contains a text.
func (f *crashingWorkers) arrivals(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, worker := range f.incarnations {
		for _, run := range worker.Runs() {
			if bytes.Contains(run.Body, []byte(text)) {
				count++
			}
		}
	}
	return count
}

// awaitRunning waits until all workers are running and known to all nodes.
func (f *crashingWorkers) awaitRunning() {
	f.s.t.Helper()
	f.s.await("all workers are running and known", func() bool {
		f.mu.Lock()
		running := len(f.running)
		f.mu.Unlock()
		for _, other := range f.s.others {
			if other.node.Workers() != running {
				return false
			}
		}
		return running == 8 && f.s.node.Workers() == running
	})
}

// awaitPeers waits until all nodes know each other.
func (s *site) awaitPeers() {
	s.t.Helper()
	s.await("all nodes know each other", func() bool {
		for _, other := range s.others {
			if other.node.Nodes() != len(s.others)+1 {
				return false
			}
		}
		return s.node.Nodes() == len(s.others)+1
	})
}

// addresses returns the addresses for callers of all nodes.
func (s *site) addresses() []string {
	addresses := []string{s.address}
	for _, other := range s.others {
		addresses = append(addresses, other.address)
	}
	return addresses
}

// sendAgain sends a request to the next node once all workers are running.
func (f *crashingWorkers) sendAgain(path, body string) answer {
	f.s.t.Helper()
	f.awaitRunning()
	nodes := f.s.addresses()
	f.sent++
	return f.s.askAt(nodes[f.sent%len(nodes)], http.MethodPost, path, nil, body)
}

// quarantine sends a poison request until it has crashed crashesNeeded workers.
func (f *crashingWorkers) quarantine(path, body string) {
	f.s.t.Helper()
	for before := f.crashed(); f.crashed() < before+crashesNeeded; {
		f.sendAgain(path, body)
	}
}

// expectQuarantined sends a poison request repeatedly. It expects that at most arrivalsAllowed
// of them reach a worker, and that the callers of the others are told at once that they weren't
// run.
func (f *crashingWorkers) expectQuarantined(path, body string) {
	f.s.t.Helper()
	before := f.arrivals(body)
	for range 4 * len(f.s.addresses()) {
		got := f.sendAgain(path, body)
		ran := len(f.runs(got.id))
		refused := got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
		if refused == (ran > 0) || got.status == http.StatusOK {
			f.s.t.Errorf("the request ran %d times: status %d, Retry-After %q, %s", ran, got.status, got.header.Get("Retry-After"), got.body)
		}
	}
	if more := f.arrivals(body) - before; more > arrivalsAllowed {
		f.s.t.Errorf("after %d workers had ended under it, it reached workers %d times more, want %d at most; %d ended in all",
			crashesNeeded, more, arrivalsAllowed, f.crashed())
	}
}

// runs returns all runs of a request at any incarnation of a worker.
func (f *crashingWorkers) runs(id string) []fleetworker.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []fleetworker.Run
	for _, worker := range f.incarnations {
		for _, run := range worker.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// expectServed sends a request to each node and expects it to be served.
func (f *crashingWorkers) expectServed(path, body string) {
	f.s.t.Helper()
	f.awaitRunning()
	for _, node := range f.s.addresses() {
		if got := f.s.askAt(node, http.MethodPost, path, nil, body); got.status != http.StatusOK || got.readErr != nil {
			f.s.t.Errorf("%s with body %q: status %d, %v, %s", path, body, got.status, got.readErr, got.body)
		}
	}
}

// quarantined returns the fingerprints of the requests that nodes have logged as quarantined.
func (s *site) quarantined() []string {
	var fingerprints []string
	for _, match := range quarantinedLine.FindAllStringSubmatch(s.logText(), -1) {
		fingerprints = append(fingerprints, match[1])
	}
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints)
}

var quarantinedLine = regexp.MustCompile(`msg="request quarantined".* fingerprint=([0-9a-f]+)`)

// storedQuarantine returns the fingerprints in the store's quarantine table.
func (s *site) storedQuarantine() []string {
	var keys []string
	for _, row := range s.store.Rows("quarantine") {
		keys = append(keys, row.Key)
	}
	return keys
}

// restartNodes ends all nodes at once and starts new ones.
func (s *site) restartNodes() {
	s.t.Helper()
	s.node.Close()
	for _, other := range s.others {
		other.node.Close()
	}
	s.others = nil
	s.node, s.address = s.startNode("node-1", func(*settings.Routed) {})
	s.await("the first node is ready", s.node.Ready)
	s.addNodes("node-2", "node-3")
}

// TestRequestThatCrashesWorkersIsStopped: a request that crashes workers is quarantined
// although it comes each time with another id and at another node.
func TestRequestThatCrashesWorkersIsStopped(t *testing.T) {
	s, f := startCrashing(t)
	nodes := s.addresses()
	body := poison + " move"
	try := 0
	again := func() answer {
		f.awaitRunning()
		try++
		return s.askAt(nodes[try%len(nodes)], http.MethodPost, "/check/same", nil, body)
	}
	for f.crashed() < crashesNeeded {
		again()
	}
	before := f.arrivals(poison)
	for range 4 * len(nodes) {
		got := again()
		if got.status == http.StatusOK {
			t.Errorf("the poison request was answered: %q", got.body)
		}
	}
	if more := f.arrivals(poison) - before; more > arrivalsAllowed {
		t.Errorf("after %d workers had ended under it, it reached workers %d times more, want %d at most; %d ended in all",
			crashesNeeded, more, arrivalsAllowed, f.crashed())
	}
	t.Logf("%d workers crashed in all", f.crashed())
	for _, node := range nodes {
		if got := s.askAt(node, http.MethodPost, "/check/same", nil, "another move"); got.status != http.StatusOK {
			t.Errorf("another request on the same path: status %d %s", got.status, got.body)
		}
	}
}

// TestWorkersThatKeepTheirNamesAreStoppedForToo: crashes count although each worker restarts
// with the id that it had, before its list entry expires.
func TestWorkersThatKeepTheirNamesAreStoppedForToo(t *testing.T) {
	_, f := startCrashingWith(t, func(f *crashingWorkers) { f.keepIDs = true })
	f.quarantine("/check/same", poison)
	f.expectQuarantined("/check/same", poison)
	f.expectServed("/check/same", "another move")
}

// TestRoutesWithoutASecondRunAreStoppedToo: a poison request is also quarantined on routes that
// never repeat a request, and on those of plain workers.
func TestRoutesWithoutASecondRunAreStoppedToo(t *testing.T) {
	for _, path := range []string{"/verdict/1", "/submit/1", "/board/1"} {
		_, f := startCrashing(t)
		f.quarantine(path, poison)
		f.expectQuarantined(path, poison)
		f.expectServed(path, "another")
	}
}

// TestNeighboursOfAPoisonRequestAreServed: requests that run on the same workers as a poison
// request, and are sent to other workers along with it, are not quarantined.
func TestNeighboursOfAPoisonRequestAreServed(t *testing.T) {
	s, f := startCrashing(t)
	var neighbours []string
	for number := range 9 {
		neighbours = append(neighbours, fmt.Sprint("neighbour ", number))
	}
	nodes := s.addresses()
	for range 3 {
		f.awaitRunning()
		var callers sync.WaitGroup
		for number, body := range append([]string{poison}, neighbours...) {
			callers.Go(func() {
				for try := range 3 {
					got := s.askAt(nodes[(number+try)%len(nodes)], http.MethodPost, "/check/1", nil, body)
					if got.status == http.StatusOK {
						return
					}
				}
			})
		}
		callers.Wait()
	}
	f.expectQuarantined("/check/1", poison)
	for _, body := range neighbours {
		f.expectServed("/check/1", body)
	}
	if got := s.quarantined(); len(got) != 1 {
		t.Errorf("%d requests were quarantined, want the poison request alone; %d workers crashed", len(got), f.crashed())
	}
}

// TestSeveralPoisonRequestsAreStopped: several poison requests at a time are told apart, also from
// sound ones with the same parts in their prompts.
func TestSeveralPoisonRequestsAreStopped(t *testing.T) {
	s, f := startCrashing(t)
	bodies := []string{poison + " 1", poison + " 2", poison + " 3"}
	for len(s.quarantined()) < len(bodies) && f.crashed() < 20 {
		for _, body := range bodies {
			f.sendAgain("/check/1", body)
			f.expectServed("/check/1", "harmless")
		}
	}
	for _, body := range bodies {
		f.expectQuarantined("/check/1", body)
	}
	f.expectServed("/check/1", "harmless")
}

// TestQuarantineOutlastsAllNodes: the quarantine is in the store and outlives the nodes.
func TestQuarantineOutlastsAllNodes(t *testing.T) {
	s, f := startCrashing(t)
	f.quarantine("/check/1", poison)
	s.await("the store holds it", func() bool { return len(s.storedQuarantine()) == 1 })
	s.restartNodes()
	f.expectQuarantined("/check/1", poison)
	f.expectServed("/check/1", "harmless")
}

func TestQuarantineOutlastsARestoreOfTheStore(t *testing.T) {
	s, f := startCrashing(t)
	copied := s.store.Version()
	f.quarantine("/check/1", poison)
	s.await("the store holds it", func() bool { return len(s.storedQuarantine()) == 1 })
	for _, row := range s.store.Restore(copied) {
		if row.Table == "servers" { // workers write theirs again
			s.store.RewriteLost(row, copied)
		}
	}
	s.await("the store holds it again", func() bool { return len(s.storedQuarantine()) == 1 })
	f.expectQuarantined("/check/1", poison)
}

// TestNodesTellEachOtherWhileTheStoreIsAway: nodes tell each other of crashes while the store
// is unavailable.
func TestNodesTellEachOtherWhileTheStoreIsAway(t *testing.T) {
	s, f := startCrashing(t)
	s.store.SetFaults(fleetstore.Faults{Down: true})
	// Restarted workers aren't known while the store is unavailable. Of the four decode engines
	// at the start, three crash and one must remain.
	nodes := s.addresses()
	s.askAt(nodes[0], http.MethodPost, "/check/1", nil, poison)
	s.await("the other nodes are told of two crashes", func() bool {
		return strings.Count(s.logText(), `crashes=2`)-strings.Count(s.logText(), `msg=planned crashes=2`) >= len(nodes)
	})
	s.askAt(nodes[1], http.MethodPost, "/check/1", nil, poison)
	for try := range 4 * len(nodes) {
		s.askAt(nodes[try%len(nodes)], http.MethodPost, "/check/1", nil, poison)
	}
	if f.crashed() != crashesNeeded {
		t.Errorf("%d workers crashed, want %d", f.crashed(), crashesNeeded)
	}
	for _, node := range nodes {
		if got := s.askAt(node, http.MethodPost, "/check/1", nil, "harmless"); got.status != http.StatusOK {
			t.Errorf("the remaining engine doesn't serve: status %d %s", got.status, got.body)
		}
	}
	if got := s.quarantined(); len(got) != 1 {
		t.Errorf("%d requests are quarantined", len(got))
	}
}

// TestLostAnswersAreNoCrashes: a worker that breaks off answers but goes on running hasn't
// crashed.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	s := start(t)
	s.setFaults("portal", fleetworker.CutEarly, -1)
	s.setFaults("write", fleetworker.CutMidway, -1)
	for range 6 {
		for _, path := range []string{"/board/1", "/check/1"} {
			s.ask(http.MethodPost, path, nil, "x")
		}
	}
	s.setFaults("", fleetworker.NoFault, 0)
	for _, path := range []string{"/board/1", "/check/1"} {
		if got := s.ask(http.MethodPost, path, nil, "x"); got.status != http.StatusOK {
			t.Errorf("%s: status %d %s", path, got.status, got.body)
		}
	}
	if got := s.quarantined(); len(got) != 0 || len(s.storedQuarantine()) != 0 {
		t.Errorf("%d requests were quarantined, %d stored", len(got), len(s.storedQuarantine()))
	}
}

// TestOperatorReleasesARequest: an operator releases a request by removing its row from the
// quarantine table.
func TestOperatorReleasesARequest(t *testing.T) {
	s, f := startCrashing(t)
	f.quarantine("/check/1", poison)
	s.await("the store holds it", func() bool { return len(s.storedQuarantine()) == 1 })
	f.awaitRunning()
	f.fix()
	if got := s.ask(http.MethodPost, "/check/1", nil, poison); got.status != http.StatusServiceUnavailable {
		t.Errorf("before the release: status %d %s", got.status, got.body)
	}
	s.store.Put("quarantine", s.storedQuarantine()[0], nil)
	for _, node := range s.addresses() {
		s.await("it is served at "+node, func() bool { return s.askAt(node, http.MethodPost, "/check/1", nil, poison).status == http.StatusOK })
	}
	f.expectServed("/check/1", poison)
}
